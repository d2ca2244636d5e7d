"""Checks the rate of requests at an upstream that has named a limit."""

import collections
import time

__all__ = ["RateCheck"]

WINDOW_S = 4.0
TOLERANCE = 1.5
BURST = 5
SETTLING_S = 1.0  # requests sent before the limit was known arrive meanwhile


class RateCheck:
    """Counts requests in a sliding window while a limit is named.

    Attributes
    ----------
    limit_per_s : float or None
        The limit that responses name; None for none.
    most : int
        Largest number of requests in a window since the limit settled.
    exceeded : list of str
        A line for each request that was one too many.
    """

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.counted_from_s = 0.0
        self.arrivals: collections.deque[float] = collections.deque()
        self.most = 0
        self.exceeded: list[str] = []

    def set_limit(self, limit_per_s: float | None) -> None:
        """Name another limit from now on, or none."""
        self.limit_per_s = limit_per_s
        self.arrivals.clear()
        self.counted_from_s = time.monotonic() + SETTLING_S
        self.most = 0

    def settle(self, seconds: float) -> None:
        """Count no request for a while.

        Called when a sender is restarted or stopped, as it may send
        requests before it learns of the limit again.
        """
        self.arrivals.clear()
        self.counted_from_s = max(
            self.counted_from_s, time.monotonic() + seconds
        )

    def on_request(self, request_id: str) -> None:
        """Count one request."""
        now_s = time.monotonic()
        if self.limit_per_s is None or now_s < self.counted_from_s:
            return
        self.arrivals.append(now_s)
        while self.arrivals[0] <= now_s - WINDOW_S:
            self.arrivals.popleft()
        count = len(self.arrivals)
        self.most = max(self.most, count)
        allowed = TOLERANCE * self.limit_per_s * WINDOW_S + BURST
        if count > allowed:
            self.exceeded.append(
                f"request {request_id!r} is number {count} in {WINDOW_S} s at "
                f"a limit of {self.limit_per_s} a second"
            )

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that name the limit."""
        if self.limit_per_s is None:
            return ()
        return (("Server-Limit", f"{self.limit_per_s:g}"),)
