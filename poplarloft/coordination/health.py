"""Passive ejection of failing upstreams, with half-open probes."""

from collections import abc
import dataclasses

from poplarloft import state

__all__ = ["HealthTracker", "HealthSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class HealthSettings:
    """When an upstream is ejected, and for how long.

    Parameters
    ----------
    failures : int
        Consecutive failures after which an upstream is ejected.
    ejection_ms : int
        Duration of the first ejection; doubled for each further one.
    max_ejection_ms : int
        Upper limit of the duration.
    max_ejected_share : float
        Maximum fraction of a service's upstreams ejected at a time.
    """

    failures: int = 3
    ejection_ms: int = 1_000
    max_ejection_ms: int = 30_000
    max_ejected_share: float = 0.5


@dataclasses.dataclass(slots=True)
class _Record:
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    probing: bool = False


class HealthTracker:
    """Consecutive failures per upstream, as observed by this instance.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    settings : HealthSettings
        Limits and durations.
    """

    def __init__(
        self, clock: state.Clock, settings: HealthSettings | None = None
    ) -> None:
        self.clock = clock
        self.settings = settings or HealthSettings()
        self.records: dict[str, _Record] = {}

    def on_success(self, upstream: str) -> None:
        """Clear the failures and ejections of an upstream that answered."""
        self.records.pop(upstream, None)

    def on_failure(self, upstream: str, is_down: bool = False) -> None:
        """Count a failure; eject at the limit or after a failed probe.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        is_down : bool
            Whether it refuses connections; ejects it at once.
        """
        record = self.records.setdefault(upstream, _Record())
        record.failures += 1
        reached = record.failures >= self.settings.failures
        if not reached and not record.probing and not is_down:
            return
        if record.ejected_until_ms > self.clock.now_ms():
            return
        duration_ms = min(
            self.settings.ejection_ms * 2**record.ejections,
            self.settings.max_ejection_ms,
        )
        record.ejections += 1
        record.failures = 0
        record.probing = False
        record.ejected_until_ms = self.clock.now_ms() + duration_ms

    def usable(self, names: abc.Sequence[str]) -> list[str]:
        """Return the upstreams that may receive requests.

        No more than `max_ejected_share` of `names` is excluded; those
        with the longest remaining ejection go first. An upstream whose
        ejection has ended receives a single request as a probe.
        """
        ejected = [name for name in names if self._is_ejected(name)]
        ejected.sort(key=lambda n: self.records[n].ejected_until_ms)
        allowed = int(len(names) * self.settings.max_ejected_share)
        excluded = set(ejected[len(ejected) - allowed :] if allowed else ())
        return [name for name in names if name not in excluded]

    def on_chosen(self, upstream: str) -> None:
        """Mark an upstream that was ejected before as being probed."""
        record = self.records.get(upstream)
        if record is not None and record.ejections:
            record.probing = True

    def _is_ejected(self, name: str) -> bool:
        record = self.records.get(name)
        if record is None or not record.ejections:
            return False
        if record.ejected_until_ms > self.clock.now_ms():
            return True
        return record.probing
