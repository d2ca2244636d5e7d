"""Metrics for a statsd server, sent over UDP."""

import statsd

from poplarloft import state

__all__ = ["NoMetrics", "StatsdMetrics"]


class NoMetrics:
    """Discards all metrics; used where no statsd address is configured."""

    def count(self, name: str, amount: int = 1) -> None:
        """Discard a count."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Discard a duration."""


class StatsdMetrics:
    """Sends counters and timings to a statsd server.

    Parameters
    ----------
    address : state.Address
        UDP address of the server.
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
