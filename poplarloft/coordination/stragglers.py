"""Which running samples are late enough to be started a second time."""

from collections import abc
import dataclasses
import typing

__all__ = [
    "NoRedispatch",
    "QuantileRedispatch",
    "RedispatchPolicy",
    "Running",
]

MIN_OBSERVATIONS = 8
HISTORY = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A generation in progress."""

    attempt: int
    elapsed_ms: int
    copies: int


class RedispatchPolicy(typing.Protocol):
    """Learns from durations and names late generations."""

    def on_finished(self, duration_ms: int) -> None:
        """Learn the duration of a whole generation."""

    def late(self, running: abc.Sequence[Running]) -> list[int]:
        """Return attempts to start again, the latest first."""


class NoRedispatch:
    """Baseline: waits for every straggler."""

    def on_finished(self, duration_ms: int) -> None:
        """Learn nothing."""

    def late(self, running: abc.Sequence[Running]) -> list[int]:
        """Return nothing."""
        return []


class QuantileRedispatch:
    """Starts again what runs longer than a quantile of the lot's past.

    Parameters
    ----------
    quantile : float
        Fraction of past durations that counts as usual.
    factor : float
        How many times that duration a generation may take.
    max_copies : int
        Generations of one slot at a time.
    """

    def __init__(
        self,
        quantile: float = 0.95,
        factor: float = 1.2,
        max_copies: int = 2,
    ) -> None:
        self.quantile = quantile
        self.factor = factor
        self.max_copies = max_copies
        self.durations_ms: list[int] = []

    def on_finished(self, duration_ms: int) -> None:
        """Learn a duration; only the newest ones are kept."""
        self.durations_ms.append(duration_ms)
        del self.durations_ms[:-HISTORY]

    def late(self, running: abc.Sequence[Running]) -> list[int]:
        """Return attempts beyond the limit, the longest first."""
        if len(self.durations_ms) < MIN_OBSERVATIONS:
            return []
        ordered = sorted(self.durations_ms)
        position = int(self.quantile * (len(ordered) - 1))
        limit_ms = ordered[position] * self.factor
        late = [
            r
            for r in running
            if r.elapsed_ms > limit_ms and r.copies < self.max_copies
        ]
        late.sort(key=lambda r: r.elapsed_ms, reverse=True)
        return [r.attempt for r in late]
