"""Requests that crash the upstreams which run them.

A crash gives each request in flight on that upstream a strike under its
fingerprint. A struck request runs only where it is the only suspect, so
the next crash tells it from the bystanders; one that runs whole is
absolved.
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
    alone_limit : int
        Strikes as the only suspect that quarantine.
    total_limit : int
        Strikes in all that quarantine.
    quarantine_ms : int
        Length of the quarantine.
    memory_ms : int
        Time for which strikes count.
    active_ms : int
        Time after a strike for which a suspect's upstream is kept free
        of other suspects.
    """

    alone_limit: int = 2
    total_limit: int = 3
    quarantine_ms: int = 3_600_000
    memory_ms: int = 600_000
    active_ms: int = 2_000


class FingerprintStatus(enum.Enum):
    """How a fingerprint may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(slots=True)
class _Strikes:
    """One witness's counts, and what of them no longer counts."""

    strikes: int = 0
    alone: int = 0
    noted_at_ms: int = 0
    past_strikes: int = 0
    past_alone: int = 0

    def absolve(self) -> None:
        self.past_strikes = self.strikes
        self.past_alone = self.alone


class PoisonGuard:
    """Strikes and quarantines as one instance knows them.

    Parameters
    ----------
    clock, wall_clock : state.Clock
        Monotonic and Unix time.
    witness : str
        This instance's incarnation.
    settings : PoisonSettings
        Limits.
    """

    def __init__(
        self,
        clock: state.Clock,
        wall_clock: state.Clock,
        witness: str,
        settings: PoisonSettings | None = None,
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.witness = witness
        self.settings = settings or PoisonSettings()
        self.in_flight: dict[tuple[str, int], dict[int, str]] = {}
        self.resets: dict[tuple[str, int], tuple[str, ...]] = {}
        self.crash_counts: dict[str, dict[str, _Strikes]] = {}
        self.quarantined: dict[str, state.QuarantineUpdate] = {}
        self.next_ticket = 0

    def status_of(self, fingerprint: str) -> FingerprintStatus:
        """Return how a fingerprint may run now."""
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

        All instances that know the same suspects and upstreams give each
        suspect an upstream of its own without asking each other.
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
        oldest_ms = self.clock.now_ms() - self.settings.active_ms
        return [
            fingerprint
            for fingerprint, witnesses in self.crash_counts.items()
            if any(n.noted_at_ms >= oldest_ms for n in witnesses.values())
            and self.status_of(fingerprint) is FingerprintStatus.SUSPECT
        ]

    def on_dispatch(
        self, upstream: str, incarnation: int, fingerprint: str
    ) -> int:
        """Note a request in flight; return a ticket for `on_done`."""
        self.next_ticket += 1
        running = self.in_flight.setdefault((upstream, incarnation), {})
        running[self.next_ticket] = fingerprint
        return self.next_ticket

    def on_done(self, upstream: str, incarnation: int, ticket: int) -> None:
        """Note that a request has ended."""
        running = self.in_flight.get((upstream, incarnation))
        if running is None:
            return
        running.pop(ticket, None)
        if not running:
            del self.in_flight[(upstream, incarnation)]

    def on_completed(self, fingerprint: str) -> list[state.GossipUpdate]:
        """Absolve a suspect that ran whole."""
        if self.status_of(fingerprint) is not FingerprintStatus.SUSPECT:
            return []
        rumour = state.ClearedUpdate(fingerprint, self.wall_clock.now_ms())
        self.on_update(rumour)
        return [rumour]

    def on_reset(self, upstream: str, incarnation: int) -> None:
        """Note who was in flight when a connection was lost."""
        place = (upstream, incarnation)
        if place not in self.resets:
            running = self.in_flight.get(place, {})
            self.resets[place] = tuple(sorted(set(running.values())))

    def on_reset_without_crash(self, upstream: str, incarnation: int) -> None:
        """Drop a reset that was no crash: the upstream still listens."""
        if self.resets.get((upstream, incarnation)):
            del self.resets[(upstream, incarnation)]

    def on_crash(
        self, upstream: str, incarnation: int
    ) -> list[state.GossipUpdate]:
        """Strike whoever was in flight at the reset, once per crash."""
        suspects = self.resets.get((upstream, incarnation), ())
        self.resets[(upstream, incarnation)] = ()
        known = [
            f
            for f in suspects
            if self.status_of(f) is not FingerprintStatus.CLEAR
        ]
        rumours: list[state.GossipUpdate] = []
        for fingerprint in suspects:
            alone = suspects == (fingerprint,) or known == [fingerprint]
            rumours += self._strike(fingerprint, alone)
        return rumours

    def on_update(self, rumour: state.GossipUpdate) -> None:
        """Take a strike or quarantine that another instance tells of."""
        match rumour:
            case state.CrashCountUpdate(fingerprint, witness, strikes, alone):
                noted = self._noted(fingerprint, witness)
                noted.strikes, noted.alone = strikes, alone
                noted.noted_at_ms = self.clock.now_ms()
            case state.ClearedUpdate(fingerprint):
                for noted in self.crash_counts.get(fingerprint, {}).values():
                    noted.absolve()
            case state.QuarantineUpdate(fingerprint):
                known = self.quarantined.get(fingerprint)
                if known is None or known.order < rumour.order:
                    self.quarantined[fingerprint] = rumour
                if rumour.until_ms == 0:
                    for noted in self.crash_counts.get(
                        fingerprint, {}
                    ).values():
                        noted.absolve()

    def release(self, fingerprint: str) -> state.QuarantineUpdate:
        """End a quarantine by an operator's order; forget its strikes."""
        known = self.quarantined.get(fingerprint)
        generation = known.generation + 1 if known is not None else 1
        rumour = state.QuarantineUpdate(fingerprint, 0, generation)
        self.on_update(rumour)
        return rumour

    def drop_expired(self) -> list[tuple[str, str]]:
        """Drop strikes and quarantines past their time.

        Returns
        -------
        list of tuple of str
            The keys of their rumours.
        """
        dropped = self._forget_strikes()
        now_ms = self.wall_clock.now_ms()
        for fingerprint, quarantine in list(self.quarantined.items()):
            if quarantine.until_ms + self.settings.memory_ms < now_ms:
                del self.quarantined[fingerprint]
                dropped.append(quarantine.key)
        self.resets = {p: s for p, s in self.resets.items() if s}
        return dropped

    def _forget_strikes(self) -> list[tuple[str, str]]:
        oldest_ms = self.clock.now_ms() - self.settings.memory_ms
        dropped = []
        for fingerprint, witnesses in list(self.crash_counts.items()):
            for witness, noted in list(witnesses.items()):
                if noted.noted_at_ms < oldest_ms:
                    del witnesses[witness]
                    dropped.append(("strike", f"{fingerprint}/{witness}"))
            if not witnesses:
                del self.crash_counts[fingerprint]
                dropped.append(("absolved", fingerprint))
        return dropped

    def _strike(
        self, fingerprint: str, alone: bool
    ) -> list[state.GossipUpdate]:
        noted = self._noted(fingerprint, self.witness)
        noted.strikes += 1
        noted.alone += alone
        noted.noted_at_ms = self.clock.now_ms()
        rumours: list[state.GossipUpdate] = [
            state.CrashCountUpdate(
                fingerprint, self.witness, noted.strikes, noted.alone
            )
        ]
        total, total_alone = self._totals(fingerprint)
        settings = self.settings
        if (
            total >= settings.total_limit
            or total_alone >= settings.alone_limit
        ):
            rumours.append(self._quarantine(fingerprint))
        return rumours

    def _noted(self, fingerprint: str, witness: str) -> _Strikes:
        witnesses = self.crash_counts.setdefault(fingerprint, {})
        return witnesses.setdefault(witness, _Strikes())

    def _quarantine(self, fingerprint: str) -> state.QuarantineUpdate:
        known = self.quarantined.get(fingerprint)
        rumour = state.QuarantineUpdate(
            fingerprint,
            self.wall_clock.now_ms() + self.settings.quarantine_ms,
            known.generation if known is not None else 0,
        )
        self.quarantined[fingerprint] = rumour
        return rumour

    def _totals(self, fingerprint: str) -> tuple[int, int]:
        """Return strikes in all and those as the only suspect."""
        oldest_ms = self.clock.now_ms() - self.settings.memory_ms
        counted = [
            noted
            for noted in self.crash_counts.get(fingerprint, {}).values()
            if noted.noted_at_ms >= oldest_ms
        ]
        return (
            sum(n.strikes - n.past_strikes for n in counted),
            sum(n.alone - n.past_alone for n in counted),
        )
