"""Single requests of clients: forwarding, retries, crashes of upstreams."""
