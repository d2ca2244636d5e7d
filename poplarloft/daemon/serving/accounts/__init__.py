"""Client accounts: admits requests by their API keys."""
