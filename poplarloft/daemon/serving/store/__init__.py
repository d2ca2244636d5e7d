"""The platform's store: access, relayed calls and local views."""
