"""Detection of requests that crash the upstreams on which they run.

When a run of an upstream ends in a crash, the crash counts for the
fingerprint of each request in flight on it, which makes the fingerprint a
suspect. A suspect runs only on an upstream without other suspects, so that
another crash identifies the cause. A suspect that runs to completion is
cleared. What instances tell each other is a set of crashes, so that news may
arrive twice, late and in any order.
"""

from collections import abc
import heapq

import xxhash

from poplarloft.coordination import crash_history
from poplarloft.coordination import routing
from poplarloft import state

__all__ = ["PoisonGuard"]

Run = crash_history.Run
FingerprintStatus = crash_history.FingerprintStatus


class PoisonGuard:
    """Crashes and quarantines known to one instance.

    Parameters
    ----------
    clock, wall_clock : state.Clock
        Monotonic and Unix time.
    settings : crash_history.PoisonSettings
        Limits and durations.
    """

    def __init__(
        self,
        clock: state.Clock,
        wall_clock: state.Clock,
        settings: crash_history.PoisonSettings | None = None,
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.settings = settings or crash_history.PoisonSettings()
        self.in_flight: dict[Run, dict[int, str]] = {}
        # fingerprints in flight when a connection was lost, while it is not
        # known whether the run has ended; empty once its crash is counted
        self.resets: dict[Run, tuple[str, ...]] = {}
        self.histories: dict[str, crash_history.CrashHistory] = {}
        self.quarantined: dict[str, state.QuarantineUpdate] = {}
        self.next_ticket = 0
        self.cached_digest: int | None = None

    def status_of(self, fingerprint: str) -> FingerprintStatus:
        """Return the restriction on requests of a fingerprint."""
        quarantine = self.quarantined.get(fingerprint)
        now_ms = self.wall_clock.now_ms()
        if quarantine is not None and quarantine.until_ms > now_ms:
            return FingerprintStatus.QUARANTINED
        crashes = self.crashes_of(fingerprint)
        if self.resets:
            possible = sum(fingerprint in s for s in self.resets.values())
            if crashes + possible >= self.settings.crash_limit:
                return FingerprintStatus.ON_HOLD
        if crashes > 0:
            return FingerprintStatus.SUSPECT
        return FingerprintStatus.CLEAR

    def crashes_of(self, fingerprint: str) -> int:
        """Return the number of crashes that count for a fingerprint."""
        history = self.histories.get(fingerprint)
        return 0 if history is None else len(history.counted())

    def has_scope(self, scope: str) -> bool:
        """Return whether a request of a caller and target is restricted.

        `scope` is the first half of the fingerprints of these requests.
        """
        known = {*self.histories, *self.quarantined}
        for suspects in self.resets.values():
            known.update(suspects)
        return any(fingerprint.startswith(scope) for fingerprint in known)

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
        status = self.status_of(fingerprint)
        if status is FingerprintStatus.QUARANTINED:
            return []
        history = self.histories.get(fingerprint)
        if history is None or not history.counted():
            return []
        update = state.ClearedUpdate(
            fingerprint, self.wall_clock.now_ms(), tuple(history.crashes)
        )
        self.on_update(update)
        return [update]

    def on_reset(self, upstream: str, incarnation: int) -> None:
        """Record the requests in flight when a connection was lost.

        A request that was sent since an earlier loss, and is lost as well,
        is recorded with those of the earlier one.
        """
        run = upstream, incarnation
        before = self.resets.get(run)
        if before == ():
            return
        running = self.in_flight.get(run, {})
        self.resets[run] = tuple(sorted({*(before or ()), *running.values()}))

    def on_reset_without_crash(self, upstream: str, incarnation: int) -> None:
        """Discard the losses of connections to a run that goes on."""
        if self.resets.get((upstream, incarnation)):
            del self.resets[(upstream, incarnation)]

    def on_crash(
        self, upstream: str, incarnation: int
    ) -> list[state.GossipUpdate]:
        """Count a crash for each request in flight at the connection's loss.

        The crash of a run is counted once.
        """
        run = upstream, incarnation
        suspects = self.resets.get(run, ())
        self.resets[run] = ()
        known = [f for f in suspects if self.crashes_of(f) > 0]
        updates: list[state.GossipUpdate] = []
        for fingerprint in suspects:
            is_sole = suspects == (fingerprint,) or known == [fingerprint]
            crash = state.CrashUpdate(
                fingerprint, upstream, incarnation, is_sole
            )
            updates.append(crash)
            self.on_update(crash)
            quarantine = self.quarantined.get(fingerprint)
            if quarantine is not None and quarantine.until_ms:
                updates.append(quarantine)
        return updates

    def on_update(self, update: state.GossipUpdate) -> None:
        """Apply a crash, a clearance or a quarantine."""
        self.cached_digest = None
        match update:
            case state.CrashUpdate(fingerprint):
                self._add_crash(update)
                self._quarantine_if_due(fingerprint)
            case state.ClearedUpdate(fingerprint, runs=runs):
                self._history_of(fingerprint).cleared.update(runs)
            case state.QuarantineUpdate(fingerprint):
                known = self.quarantined.get(fingerprint)
                if known is None or known.order < update.order:
                    self.quarantined[fingerprint] = update
                if update.until_ms == 0:
                    self._clear_all(fingerprint)

    def restore(self, updates: abc.Iterable[state.GossipUpdate]) -> None:
        """Apply recorded updates, in any order.

        Quarantines come last, so that a release clears the crashes that led
        to its quarantine.
        """
        for update in sorted(updates, key=_application_order):
            self.on_update(update)

    def release(self, fingerprint: str) -> state.QuarantineUpdate:
        """End a quarantine at an operator's request and clear its crashes."""
        known = self.quarantined.get(fingerprint)
        generation = known.generation + 1 if known is not None else 1
        update = state.QuarantineUpdate(fingerprint, 0, generation)
        self.on_update(update)
        return update

    def drop_expired(self) -> list[tuple[str, str]]:
        """Drop expired crashes and quarantines.

        Returns
        -------
        list of tuple of str
            Keys of their gossip updates.
        """
        dropped = []
        self.cached_digest = None
        oldest_ms = self.clock.now_ms() - self.settings.retention_ms
        for fingerprint, history in list(self.histories.items()):
            if history.updated_at_ms < oldest_ms:
                dropped += self._forget(fingerprint)
        now_ms = self.wall_clock.now_ms()
        for fingerprint, quarantine in list(self.quarantined.items()):
            if quarantine.until_ms + self.settings.retention_ms < now_ms:
                del self.quarantined[fingerprint]
                dropped.append(quarantine.key)
        self.resets = {p: s for p, s in self.resets.items() if s}
        return dropped

    def digest(self) -> int:
        """Return a digest of the crashes that count and of the quarantines.

        Instances that know the same have the same digest, 0 if it is
        nothing.
        """
        if self.cached_digest is None:
            self.cached_digest = self._compute_digest()
        return self.cached_digest

    def _compute_digest(self) -> int:
        rows = [
            f"{fingerprint}/{upstream}#{incarnation}"
            for fingerprint, history in self.histories.items()
            for upstream, incarnation in history.counted()
        ]
        rows += [
            f"{fingerprint}/{quarantine.generation}"
            for fingerprint, quarantine in self.quarantined.items()
        ]
        combined = 0
        for row in rows:
            combined ^= xxhash.xxh64_intdigest(row.encode())
        return combined

    def _active_suspects(self) -> list[str]:
        """Return the suspects that are likely to be running again."""
        oldest_ms = self.clock.now_ms() - self.settings.isolation_ms
        return [
            fingerprint
            for fingerprint, history in self.histories.items()
            if history.updated_at_ms >= oldest_ms
            and self.status_of(fingerprint) is FingerprintStatus.SUSPECT
        ]

    def _add_crash(self, update: state.CrashUpdate) -> None:
        history = self._history_of(update.fingerprint)
        is_sole = history.crashes.get(update.run, True)
        history.crashes[update.run] = is_sole and update.is_sole_suspect
        history.updated_at_ms = self.clock.now_ms()

    def _quarantine_if_due(self, fingerprint: str) -> None:
        """Quarantine a fingerprint once its crashes reach a limit.

        Every instance decides so by itself, from the crashes that it knows.
        """
        history = self.histories[fingerprint]
        settings = self.settings
        if (
            len(history.counted()) < settings.crash_limit
            and history.as_sole_suspect() < settings.sole_suspect_limit
        ):
            return
        known = self.quarantined.get(fingerprint)
        now_ms = self.wall_clock.now_ms()
        if known is not None and known.until_ms > now_ms:
            return
        self.quarantined[fingerprint] = state.QuarantineUpdate(
            fingerprint,
            now_ms + settings.quarantine_ms,
            known.generation if known is not None else 0,
        )

    def _clear_all(self, fingerprint: str) -> None:
        history = self.histories.get(fingerprint)
        if history is not None:
            history.cleared.update(history.crashes)

    def _history_of(self, fingerprint: str) -> crash_history.CrashHistory:
        history = self.histories.get(fingerprint)
        if history is None:
            if len(self.histories) >= self.settings.max_fingerprints:
                self._make_room()
            history = crash_history.CrashHistory(
                updated_at_ms=self.clock.now_ms()
            )
            self.histories[fingerprint] = history
        return history

    def _make_room(self) -> None:
        """Forget the least important tenth, so that this is seldom due."""
        count = max(1, self.settings.max_fingerprints // 10)
        for fingerprint in heapq.nsmallest(
            count, self.histories, key=self._importance
        ):
            self._forget(fingerprint)

    def _importance(self, fingerprint: str) -> tuple[int, int]:
        history = self.histories[fingerprint]
        return len(history.counted()), history.updated_at_ms

    def _forget(self, fingerprint: str) -> list[tuple[str, str]]:
        """Forget the crashes of a fingerprint; return their updates' keys."""
        history = self.histories.pop(fingerprint)
        keys = [
            state.CrashUpdate(fingerprint, *run, False).key
            for run in history.crashes
        ]
        if history.cleared:
            keys.append(state.ClearedUpdate(fingerprint, 0, ()).key)
        return keys


def _application_order(update: state.GossipUpdate) -> tuple[int, ...]:
    if isinstance(update, state.QuarantineUpdate):
        return 1, *update.order
    return (0,)
