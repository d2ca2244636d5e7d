"""Metrics by statsd, over UDP."""

import statsd

from poplarloft import state

__all__ = ["NoMetrics", "StatsdMetrics"]


class NoMetrics:
    """Drops everything; for instances without a statsd address."""

    def count(self, name: str, amount: int = 1) -> None:
        """Drop a count."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Drop a duration."""


class StatsdMetrics:
    """Sends counters and timers to a statsd server.

    Parameters
    ----------
    address : state.Address
        Where the server listens for UDP.
    """

    def __init__(self, address: state.Address) -> None:
        self.client = statsd.StatsClient(
            address.host, address.port, prefix="poplarloft"
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self.client.incr(name, amount)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record one duration in milliseconds."""
        self.client.timing(name, duration_ms)
