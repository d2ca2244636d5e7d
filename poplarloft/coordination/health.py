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
        Failures in a row that eject.
    ejection_ms : int
        Length of the first ejection; doubled by each further one.
    max_ejection_ms : int
        Longest ejection.
    max_ejected_share : float
        Fraction of a service's upstreams that may be ejected.
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
    """Failures in a row per upstream, as this instance saw them.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    settings : HealthSettings
        Limits.
    """

    def __init__(
        self, clock: state.Clock, settings: HealthSettings | None = None
    ) -> None:
        self.clock = clock
        self.settings = settings or HealthSettings()
        self.records: dict[str, _Record] = {}

    def on_success(self, upstream: str) -> None:
        """Forget the failures of an upstream that answers."""
        self.records.pop(upstream, None)

    def on_failure(self, upstream: str, is_down: bool = False) -> None:
        """Count a failure; eject at the limit or after a failed probe.

        Parameters
        ----------
        upstream : str
            What failed.
        is_down : bool
            Whether it refuses connections, which ejects it at once.
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
        """Return the names that may get a request.

        At most the allowed share is left out: those ejected for the
        longest time still. An upstream whose time is over gets one
        request as a probe.
        """
        ejected = [name for name in names if self._is_ejected(name)]
        ejected.sort(key=lambda n: self.records[n].ejected_until_ms)
        allowed = int(len(names) * self.settings.max_ejected_share)
        left_out = set(ejected[len(ejected) - allowed :] if allowed else ())
        return [name for name in names if name not in left_out]

    def on_chosen(self, upstream: str) -> None:
        """Note that a request goes to `upstream`, perhaps as a probe."""
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
