"""Clocks. All times in the project are integers in milliseconds."""

import time
import typing

__all__ = ["BootClock", "Clock", "ManualClock", "MonotonicClock", "WallClock"]

NANOSECONDS_PER_MS = 1_000_000


class Clock(typing.Protocol):
    """A source of the current time."""

    def now_ms(self) -> int:
        """Return the current time in milliseconds."""


class MonotonicClock:
    """Monotonic time since an arbitrary origin, for durations."""

    def now_ms(self) -> int:
        """Return milliseconds since the origin of the system's clock."""
        return time.monotonic_ns() // NANOSECONDS_PER_MS


class BootClock:
    """Monotonic time that also advances while the machine is suspended.

    For leases, which expire elsewhere meanwhile.
    """

    def now_ms(self) -> int:
        """Return milliseconds since the machine's start."""
        now_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return now_ns // NANOSECONDS_PER_MS


class WallClock:
    """Time since the Unix epoch, for values that instances compare."""

    def now_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NANOSECONDS_PER_MS


class ManualClock:
    """A clock that moves only when advanced, for tests and experiments.

    Parameters
    ----------
    start_ms : int
        Initial time.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self.time_ms = start_ms

    def now_ms(self) -> int:
        """Return the simulated time in milliseconds."""
        return self.time_ms

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward by `duration_ms` milliseconds.

        Raises
        ------
        ValueError
            If `duration_ms` is negative.
        """
        if duration_ms < 0:
            raise ValueError(f"duration_ms is {duration_ms}, expected >= 0")
        self.time_ms += duration_ms
