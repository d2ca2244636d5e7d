"""Straggler mitigation: which running generations to start again.

A speculative copy uses the seed of its slot, so it has the same length as
the original, and taking the first complete one does not bias the samples
towards short ones. A copy helps if the engine is slow or stuck, not if the
sample is long.
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
MAX_OBSERVATIONS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class RunningGeneration:
    """A generation in progress.

    Parameters
    ----------
    attempt : int
        Number of the attempt.
    elapsed_ms : int
        Time since the start of the attempt.
    tokens : int
        Number of tokens received so far.
    copies : int
        Number of attempts at the same slot, including this one.
    """

    attempt: int
    elapsed_ms: int
    tokens: int
    copies: int


class RedispatchPolicy(typing.Protocol):
    """Selects slow generations, based on those that have finished."""

    def on_finished(self, duration_ms: int, tokens: int) -> None:
        """Record the duration and length of a complete generation."""

    def slow_attempts(
        self, running: abc.Sequence[RunningGeneration]
    ) -> list[int]:
        """Return the attempts to duplicate, the most urgent first."""


class NoRedispatch:
    """Baseline policy that never duplicates a generation."""

    def on_finished(self, duration_ms: int, tokens: int) -> None:
        """Do nothing."""

    def slow_attempts(
        self, running: abc.Sequence[RunningGeneration]
    ) -> list[int]:
        """Return an empty list."""
        return []


class RateRedispatch:
    """Duplicates generations that are much slower than the median.

    Parameters
    ----------
    factor : float
        A generation is slow if its time per token exceeds the median by
        this factor.
    min_elapsed_ms : int
        Minimum age at which a generation can be considered slow.
    max_copies : int
        Maximum number of concurrent attempts at one slot.
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
        """Record the time per token; keep only the latest observations."""
        self.ms_per_token.append(duration_ms / max(1, tokens))
        del self.ms_per_token[:-MAX_OBSERVATIONS]

    def slow_attempts(
        self, running: abc.Sequence[RunningGeneration]
    ) -> list[int]:
        """Return attempts above the slowness limit, the slowest first."""
        if len(self.ms_per_token) < MIN_OBSERVATIONS:
            return []
        median = statistics.median(self.ms_per_token)
        slow = [
            r
            for r in running
            if r.elapsed_ms >= self.min_elapsed_ms
            and r.copies < self.max_copies
            and _ms_per_token(r) > self.factor * median
        ]
        slow.sort(key=_ms_per_token, reverse=True)
        return [r.attempt for r in slow]


def _ms_per_token(running: RunningGeneration) -> float:
    """Return the average milliseconds per token so far."""
    return running.elapsed_ms / max(1, running.tokens)
