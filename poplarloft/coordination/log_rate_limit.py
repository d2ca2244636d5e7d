"""Rate limit of log lines, per kind of line."""

import collections
import dataclasses

from poplarloft import state

__all__ = ["LogRateLimiter", "OmittedLines"]

LINES_PER_S = 50.0
BURST_LINES = 200.0
FAILURE_FACTOR = 4.0  # lines that report failures are omitted last
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class OmittedLines:
    """Number of lines of one kind that were omitted."""

    kind: str
    count: int


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at_ms: int


class LogRateLimiter:
    """Token bucket per kind of line, larger for lines that report failures.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.buckets: dict[tuple[str, bool], _Bucket] = {}
        self.omitted: collections.Counter[str] = collections.Counter()

    def allows(self, kind: str, is_failure: bool) -> bool:
        """Return whether a line may be written, and count it if not."""
        now_ms = self.clock.now_ms()
        factor = FAILURE_FACTOR if is_failure else 1.0
        capacity = BURST_LINES * factor
        bucket = self.buckets.setdefault(
            (kind, is_failure), _Bucket(capacity, now_ms)
        )
        elapsed_s = (now_ms - bucket.filled_at_ms) / MS_PER_S
        filled = bucket.tokens + elapsed_s * LINES_PER_S * factor
        bucket.tokens = min(capacity, filled)
        bucket.filled_at_ms = now_ms
        if bucket.tokens < 1:
            self.omitted[kind] += 1
            return False
        bucket.tokens -= 1
        return True

    def take_omitted(self) -> list[OmittedLines]:
        """Return the numbers of lines omitted since the last call."""
        rows = [OmittedLines(k, n) for k, n in sorted(self.omitted.items())]
        self.omitted.clear()
        return rows
