"""Messages between daemons: changes, limits, permits, leaving upstreams."""
