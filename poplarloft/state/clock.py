"""Clocks. All times in the project are integers in milliseconds."""

import collections
import statistics
import time
import typing

__all__ = [
    "BootClock",
    "Clock",
    "ManualClock",
    "MonotonicClock",
    "SteadyWallClock",
    "WallClock",
]

NANOSECONDS_PER_MS = 1_000_000
SAMPLE_INTERVAL_MS = 1_000
SAMPLES = 61  # a step counts once it has lasted half a minute


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


class SteadyWallClock:
    """Unix time that does not follow the steps of a machine's clock.

    It runs like a monotonic clock, at the median of the differences from
    the wall clock that were seen in the last minute.

    Parameters
    ----------
    wall_clock : Clock
        Unix time, which may be stepped.
    boot_clock : Clock
        Monotonic time that also advances while the machine is suspended.
    """

    def __init__(self, wall_clock: Clock, boot_clock: Clock) -> None:
        self.wall_clock = wall_clock
        self.boot_clock = boot_clock
        self.differences: collections.deque[int] = collections.deque(
            maxlen=SAMPLES
        )
        self.sampled_at_ms: int | None = None

    def now_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        boot_ms = self.boot_clock.now_ms()
        last_ms = self.sampled_at_ms
        if last_ms is None or boot_ms - last_ms >= SAMPLE_INTERVAL_MS:
            self.sampled_at_ms = boot_ms
            self.differences.append(self.wall_clock.now_ms() - boot_ms)
        return boot_ms + statistics.median_low(self.differences)


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
