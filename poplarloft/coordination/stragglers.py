"""Which running samples are worth starting a second time.

A copy uses the slot's own seed, so it is as long as the original: taking
the first whole one does not favour short samples. It pays where the
engine is slow or stuck, not where the sample is long.
"""

from collections import abc
import dataclasses
import statistics
import typing

__all__ = [
    "NoRedispatch",
    "RateRedispatch",
    "RedispatchPolicy",
    "RunningGeneration",
]

MIN_OBSERVATIONS = 8
HISTORY = 256


@dataclasses.dataclass(frozen=True, slots=True)
class RunningGeneration:
    """A generation in progress.

    Parameters
    ----------
    attempt : int
        Its number.
    elapsed_ms : int
        Time since its start.
    tokens : int
        Tokens received so far.
    copies : int
        Generations of the same slot, this one included.
    """

    attempt: int
    elapsed_ms: int
    tokens: int
    copies: int


class RedispatchPolicy(typing.Protocol):
    """Learns from whole generations and names slow ones."""

    def on_finished(self, duration_ms: int, tokens: int) -> None:
        """Learn the duration and length of a whole generation."""

    def slow_attempts(
        self, running: abc.Sequence[RunningGeneration]
    ) -> list[int]:
        """Return attempts to start again, the most urgent first."""


class NoRedispatch:
    """Baseline: waits for every engine."""

    def on_finished(self, duration_ms: int, tokens: int) -> None:
        """Learn nothing."""

    def slow_attempts(
        self, running: abc.Sequence[RunningGeneration]
    ) -> list[int]:
        """Return nothing."""
        return []


class RateRedispatch:
    """Starts again what runs at a fraction of the usual rate.

    Parameters
    ----------
    factor : float
        How many times the median time per token is slow.
    min_elapsed_ms : int
        Age from which a generation is judged.
    max_copies : int
        Generations of one slot at a time.
    """

    def __init__(
        self,
        factor: float = 2.0,
        min_elapsed_ms: int = 500,
        max_copies: int = 2,
    ) -> None:
        self.factor = factor
        self.min_elapsed_ms = min_elapsed_ms
        self.max_copies = max_copies
        self.ms_per_token: list[float] = []

    def on_finished(self, duration_ms: int, tokens: int) -> None:
        """Learn a rate; only the newest ones are kept."""
        self.ms_per_token.append(duration_ms / max(1, tokens))
        del self.ms_per_token[:-HISTORY]

    def slow_attempts(
        self, running: abc.Sequence[RunningGeneration]
    ) -> list[int]:
        """Return attempts beyond the limit, the slowest first."""
        if len(self.ms_per_token) < MIN_OBSERVATIONS:
            return []
        usual = statistics.median(self.ms_per_token)
        slow = [
            r
            for r in running
            if r.elapsed_ms >= self.min_elapsed_ms
            and r.copies < self.max_copies
            and _rate(r) > self.factor * usual
        ]
        slow.sort(key=_rate, reverse=True)
        return [r.attempt for r in slow]


def _rate(running: RunningGeneration) -> float:
    """Return milliseconds per token so far."""
    return running.elapsed_ms / max(1, running.tokens)
