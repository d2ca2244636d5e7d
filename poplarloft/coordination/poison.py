"""Detection of requests that crash the upstreams on which they run.

A crash is current for the fingerprint of each request in flight on that
upstream, which makes the fingerprint a suspect. A suspect runs only on an
upstream without other suspects, so that the next crash singles out the
culprit. A suspect that runs to completion is cleared.
"""

from collections import abc
import dataclasses
import enum

from poplarloft.coordination import routing
from poplarloft import state

__all__ = ["FingerprintStatus", "PoisonGuard", "PoisonSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonSettings:
    """When a fingerprint is quarantined, and for how long.

    Parameters
    ----------
    sole_suspect_limit : int
        Crashes as the sole suspect after which it is quarantined.
    crash_limit : int
        Crashes in total after which it is quarantined.
    quarantine_ms : int
        Duration of the quarantine.
    retention_ms : int
        Time after which crash counts and ended quarantines expire.
    isolation_ms : int
        Time after a crash for which a suspect's upstream is kept free
        of other suspects.
    """

    sole_suspect_limit: int = 2
    crash_limit: int = 3
    quarantine_ms: int = 3_600_000
    retention_ms: int = 600_000
    isolation_ms: int = 2_000


class FingerprintStatus(enum.Enum):
    """Restriction on running requests of a fingerprint.

    A clear one may run on any upstream, a suspect only on an upstream
    without other suspects, and a quarantined one is refused.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(slots=True)
class _CrashCounts:
    """Crashes seen by one observer, and how many of them were cleared."""

    crashes: int = 0
    sole_suspect_crashes: int = 0
    updated_at_ms: int = 0
    cleared_crashes: int = 0
    cleared_sole_suspect_crashes: int = 0

    def clear(self) -> None:
        self.cleared_crashes = self.crashes
        self.cleared_sole_suspect_crashes = self.sole_suspect_crashes


class PoisonGuard:
    """Crash counts and quarantines known to one instance.

    Parameters
    ----------
    clock, wall_clock : state.Clock
        Monotonic and Unix time.
    observer : str
        Name and incarnation of this instance.
    settings : PoisonSettings
        Limits and durations.
    """

    def __init__(
        self,
        clock: state.Clock,
        wall_clock: state.Clock,
        observer: str,
        settings: PoisonSettings | None = None,
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.observer = observer
        self.settings = settings or PoisonSettings()
        self.in_flight: dict[tuple[str, int], dict[int, str]] = {}
        self.resets: dict[tuple[str, int], tuple[str, ...]] = {}
        self.crash_counts: dict[str, dict[str, _CrashCounts]] = {}
        self.quarantined: dict[str, state.QuarantineUpdate] = {}
        self.next_ticket = 0

    def status_of(self, fingerprint: str) -> FingerprintStatus:
        """Return whether a fingerprint is clear, suspect or quarantined."""
        quarantine = self.quarantined.get(fingerprint)
        now_ms = self.wall_clock.now_ms()
        if quarantine is not None and quarantine.until_ms > now_ms:
            return FingerprintStatus.QUARANTINED
        if self._totals(fingerprint)[0] > 0:
            return FingerprintStatus.SUSPECT
        return FingerprintStatus.CLEAR

    def placement(
        self, fingerprint: str, upstreams: abc.Collection[str]
    ) -> str | None:
        """Return the upstream on which a suspect may run, if any.

        Instances that know the same suspects and upstreams assign each
        suspect the same separate upstream, without communication.
        """
        taken: set[str] = set()
        for suspect in sorted({*self._active_suspects(), fingerprint}):
            ranked = routing.rendezvous_rank(suspect, upstreams)
            free = [name for name in ranked if name not in taken]
            if suspect == fingerprint:
                return free[0] if free else None
            taken.update(free[:1])
        return None

    def _active_suspects(self) -> list[str]:
        """Return the suspects that are likely to be running again."""
        oldest_ms = self.clock.now_ms() - self.settings.isolation_ms
        return [
            fingerprint
            for fingerprint, observers in self.crash_counts.items()
            if any(n.updated_at_ms >= oldest_ms for n in observers.values())
            and self.status_of(fingerprint) is FingerprintStatus.SUSPECT
        ]

    def on_dispatch(
        self, upstream: str, incarnation: int, fingerprint: str
    ) -> int:
        """Record a request in flight; return a ticket for `on_done`."""
        self.next_ticket += 1
        running = self.in_flight.setdefault((upstream, incarnation), {})
        running[self.next_ticket] = fingerprint
        return self.next_ticket

    def on_done(self, upstream: str, incarnation: int, ticket: int) -> None:
        """Remove a request that is no longer in flight."""
        running = self.in_flight.get((upstream, incarnation))
        if running is None:
            return
        running.pop(ticket, None)
        if not running:
            del self.in_flight[(upstream, incarnation)]

    def on_completed(self, fingerprint: str) -> list[state.GossipUpdate]:
        """Clear a suspect that ran to completion."""
        if self.status_of(fingerprint) is not FingerprintStatus.SUSPECT:
            return []
        update = state.ClearedUpdate(fingerprint, self.wall_clock.now_ms())
        self.on_update(update)
        return [update]

    def on_reset(self, upstream: str, incarnation: int) -> None:
        """Record the requests in flight when a connection was lost."""
        reset = (upstream, incarnation)
        if reset not in self.resets:
            running = self.in_flight.get(reset, {})
            self.resets[reset] = tuple(sorted(set(running.values())))

    def on_reset_without_crash(self, upstream: str, incarnation: int) -> None:
        """Discard a reset that was no crash: the upstream still listens."""
        if self.resets.get((upstream, incarnation)):
            del self.resets[(upstream, incarnation)]

    def on_crash(
        self, upstream: str, incarnation: int
    ) -> list[state.GossipUpdate]:
        """Count a crash, once, for each request in flight at the reset."""
        suspects = self.resets.get((upstream, incarnation), ())
        self.resets[(upstream, incarnation)] = ()
        known = [
            f
            for f in suspects
            if self.status_of(f) is not FingerprintStatus.CLEAR
        ]
        updates: list[state.GossipUpdate] = []
        for fingerprint in suspects:
            is_sole = suspects == (fingerprint,) or known == [fingerprint]
            updates += self._count_crash(fingerprint, is_sole)
        return updates

    def on_update(self, update: state.GossipUpdate) -> None:
        """Apply a crash count, a clearance or a quarantine."""
        match update:
            case state.CrashCountUpdate(fingerprint, observer, total, sole):
                counts = self._counts_of(fingerprint, observer)
                counts.crashes, counts.sole_suspect_crashes = total, sole
                counts.updated_at_ms = self.clock.now_ms()
            case state.ClearedUpdate(fingerprint):
                for counts in self.crash_counts.get(fingerprint, {}).values():
                    counts.clear()
            case state.QuarantineUpdate(fingerprint):
                known = self.quarantined.get(fingerprint)
                if known is None or known.order < update.order:
                    self.quarantined[fingerprint] = update
                if update.until_ms == 0:
                    for counts in self.crash_counts.get(
                        fingerprint, {}
                    ).values():
                        counts.clear()

    def release(self, fingerprint: str) -> state.QuarantineUpdate:
        """End a quarantine on an operator's order and clear its crashes."""
        known = self.quarantined.get(fingerprint)
        generation = known.generation + 1 if known is not None else 1
        update = state.QuarantineUpdate(fingerprint, 0, generation)
        self.on_update(update)
        return update

    def drop_expired(self) -> list[tuple[str, str]]:
        """Drop expired crash counts and quarantines.

        Returns
        -------
        list of tuple of str
            Keys of their gossip updates.
        """
        dropped = self._drop_crash_counts()
        now_ms = self.wall_clock.now_ms()
        for fingerprint, quarantine in list(self.quarantined.items()):
            if quarantine.until_ms + self.settings.retention_ms < now_ms:
                del self.quarantined[fingerprint]
                dropped.append(quarantine.key)
        self.resets = {p: s for p, s in self.resets.items() if s}
        return dropped

    def _drop_crash_counts(self) -> list[tuple[str, str]]:
        oldest_ms = self.clock.now_ms() - self.settings.retention_ms
        dropped = []
        for fingerprint, observers in list(self.crash_counts.items()):
            for observer, counts in list(observers.items()):
                if counts.updated_at_ms < oldest_ms:
                    del observers[observer]
                    dropped.append(("strike", f"{fingerprint}/{observer}"))
            if not observers:
                del self.crash_counts[fingerprint]
                dropped.append(("absolved", fingerprint))
        return dropped

    def _count_crash(
        self, fingerprint: str, is_sole: bool
    ) -> list[state.GossipUpdate]:
        counts = self._counts_of(fingerprint, self.observer)
        counts.crashes += 1
        counts.sole_suspect_crashes += is_sole
        counts.updated_at_ms = self.clock.now_ms()
        updates: list[state.GossipUpdate] = [
            state.CrashCountUpdate(
                fingerprint,
                self.observer,
                counts.crashes,
                counts.sole_suspect_crashes,
            )
        ]
        crashes, sole_suspect_crashes = self._totals(fingerprint)
        settings = self.settings
        if (
            crashes >= settings.crash_limit
            or sole_suspect_crashes >= settings.sole_suspect_limit
        ):
            updates.append(self._quarantine(fingerprint))
        return updates

    def _counts_of(self, fingerprint: str, observer: str) -> _CrashCounts:
        observers = self.crash_counts.setdefault(fingerprint, {})
        return observers.setdefault(observer, _CrashCounts())

    def _quarantine(self, fingerprint: str) -> state.QuarantineUpdate:
        known = self.quarantined.get(fingerprint)
        update = state.QuarantineUpdate(
            fingerprint,
            self.wall_clock.now_ms() + self.settings.quarantine_ms,
            known.generation if known is not None else 0,
        )
        self.quarantined[fingerprint] = update
        return update

    def _totals(self, fingerprint: str) -> tuple[int, int]:
        """Return the crashes in total and those as the sole suspect."""
        oldest_ms = self.clock.now_ms() - self.settings.retention_ms
        current = [
            counts
            for counts in self.crash_counts.get(fingerprint, {}).values()
            if counts.updated_at_ms >= oldest_ms
        ]
        return (
            sum(n.crashes - n.cleared_crashes for n in current),
            sum(
                n.sole_suspect_crashes - n.cleared_sole_suspect_crashes
                for n in current
            ),
        )
