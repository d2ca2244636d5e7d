"""Crashes per poison request, and innocents refused, with and without.

Deterministic for a seed. Seven daemons before ten engines; some requests
crash the engine that runs them, and their callers send them again through
any daemon. Engines also crash for other causes.
"""

import functools
import random
import sys
import typing

from benchmarks import events
from poplarloft import coordination
from poplarloft import state

__all__ = ["run"]

DAEMONS = 7
ENGINES = 10
INNOCENTS_PER_S = 200
POISONS = 20
DURATION_MS = 60_000
SMALL_DURATION_MS = 20_000
RUN_MS = (100, 400)
CRASH_AFTER_MS = 20
RESTART_MS = 1_500
GOSSIP_MS = 2
HEAD_START_MS = 20
RESEND_MS = (0, 50)
RESENDS = 12
RETRY_AFTER_MS = 1_000
ATTEMPTS = 3
OTHER_CRASH_MS = 4_000
MS_PER_S = 1_000


class _Engine:
    """An engine, its incarnation, and what runs on it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = 1
        self.up = True
        self.running: dict[int, _Request] = {}


class _Request:
    """A caller's request with its resends."""

    def __init__(self, fingerprint: str, poison: bool) -> None:
        self.fingerprint = fingerprint
        self.poison = poison
        self.sends = 0
        self.attempts = 0
        self.daemon: _Daemon | None = None
        self.ticket = 0


class _Daemon:
    """A daemon's guard."""

    def __init__(self, clock: state.Clock, name: str) -> None:
        self.guard = coordination.PoisonGuard(clock, clock, name)


class _Run:
    """One run, guarded or not."""

    def __init__(self, seed: int, guarded: bool) -> None:
        self.rng = random.Random(seed)
        self.queue = events.EventQueue()
        self.guarded = guarded
        clock = self.queue.clock
        self.daemons = [_Daemon(clock, f"entry-{n}") for n in range(DAEMONS)]
        self.engines = {
            f"engine-{n}": _Engine(f"engine-{n}") for n in range(ENGINES)
        }
        self.numbers = 0
        self.crashes: dict[str, int] = {}
        self.other_crashes = 0
        self.innocents = 0
        self.innocents_quarantined = 0
        self.innocents_failed = 0
        self.served = 0
        self.deferred = 0

    def measure(self, duration_ms: int) -> dict[str, typing.Any]:
        """Run for a while and return the figures."""
        for number in range(POISONS):
            at_ms = self.rng.randrange(duration_ms // 2)
            self.queue.after(
                at_ms, functools.partial(self._new_poison, number)
            )
        self._arrive()
        self._crash_for_other_causes()
        self.queue.run_for(duration_ms)
        per_poison = list(self.crashes.values())
        return {
            "guarded": self.guarded,
            "poison_requests": POISONS,
            "crashes_by_poison": sum(per_poison),
            "crashes_per_poison_max": max(per_poison, default=0),
            "crashes_by_other_causes": self.other_crashes,
            "innocents": self.innocents,
            "innocents_quarantined": self.innocents_quarantined,
            "innocents_quarantined_percent": round(
                100 * self.innocents_quarantined / self.innocents, 4
            ),
            "innocents_failed": self.innocents_failed,
            "deferred": self.deferred,
        }

    def _new_poison(self, number: int) -> None:
        self._send(_Request(f"poison-{number}", True))

    def _arrive(self) -> None:
        self.innocents += 1
        self._send(_Request(f"innocent-{self.innocents}", False))
        gap_ms = self.rng.expovariate(INNOCENTS_PER_S / MS_PER_S)
        self.queue.after(round(gap_ms), self._arrive)

    def _send(self, request: _Request) -> None:
        """Send a request through any daemon, as a caller would."""
        request.sends += 1
        request.attempts = 0
        request.daemon = self.rng.choice(self.daemons)
        self._attempt(request)

    def _attempt(self, request: _Request) -> None:
        assert request.daemon is not None
        guard = request.daemon.guard
        standing = coordination.FingerprintStatus.CLEAR
        if self.guarded:
            standing = guard.status_of(request.fingerprint)
        if standing is coordination.FingerprintStatus.QUARANTINED:
            self.innocents_quarantined += not request.poison
            return
        engine = self._choose(request, standing)
        if engine is None:
            # Refused as not run, with a Retry-After that callers heed.
            self.deferred += 1
            self._resend(request, RETRY_AFTER_MS)
            return
        request.attempts += 1
        self.numbers += 1
        engine.running[self.numbers] = request
        request.ticket = guard.on_dispatch(
            engine.name, engine.incarnation, request.fingerprint
        )
        number, life = self.numbers, engine.incarnation
        if request.poison:
            self.queue.after(
                CRASH_AFTER_MS, lambda: self._crash(engine, life, request)
            )
        else:
            self.queue.after(
                self.rng.randint(*RUN_MS), lambda: self._end(engine, number)
            )

    def _choose(
        self, request: _Request, standing: coordination.FingerprintStatus
    ) -> _Engine | None:
        up = [e for e in self.engines.values() if e.up]
        if standing is coordination.FingerprintStatus.CLEAR:
            return self.rng.choice(up) if up else None
        assert request.daemon is not None
        place = request.daemon.guard.placement(
            request.fingerprint, [e.name for e in up]
        )
        return self.engines[place] if place is not None else None

    def _end(self, engine: _Engine, number: int) -> None:
        request = engine.running.pop(number, None)
        if request is not None:
            assert request.daemon is not None
            request.daemon.guard.on_done(
                engine.name, engine.incarnation, request.ticket
            )
            self.served += 1
            self._spread(
                request.daemon,
                request.daemon.guard.on_completed(request.fingerprint),
            )

    def _crash(
        self, engine: _Engine, life: int, cause: _Request | None
    ) -> None:
        """Crash an engine; all that runs there fails."""
        if not engine.up or engine.incarnation != life:
            return
        if cause is not None:
            name = cause.fingerprint
            self.crashes[name] = self.crashes.get(name, 0) + 1
        else:
            self.other_crashes += 1
        engine.up = False
        victims = list(engine.running.values())
        engine.running.clear()
        for daemon in self.daemons:
            self._strike(daemon, engine, victims)
        self.queue.after(RESTART_MS, lambda: self._restart(engine))
        for request in victims:
            # As the dispatcher does, let the strikes arrive first.
            again = functools.partial(self._after_failure, request)
            self.queue.after(HEAD_START_MS, again)

    def _strike(
        self, daemon: _Daemon, engine: _Engine, victims: list[_Request]
    ) -> None:
        own = [v for v in victims if v.daemon is daemon]
        if not own:
            return
        daemon.guard.on_reset(engine.name, engine.incarnation)
        for request in own:
            daemon.guard.on_done(
                engine.name, engine.incarnation, request.ticket
            )
        self._spread(
            daemon, daemon.guard.on_crash(engine.name, engine.incarnation)
        )

    def _spread(
        self, source: _Daemon, rumours: list[state.GossipUpdate]
    ) -> None:
        for other in self.daemons:
            if other is not source:
                for rumour in rumours:
                    tell = functools.partial(other.guard.on_update, rumour)
                    self.queue.after(GOSSIP_MS, tell)

    def _restart(self, engine: _Engine) -> None:
        engine.up = True
        engine.incarnation += 1

    def _after_failure(self, request: _Request) -> None:
        if request.attempts < ATTEMPTS:
            self._attempt(request)
        else:
            self._resend(request)

    def _resend(self, request: _Request, delay_ms: int = 0) -> None:
        if request.sends >= RESENDS:
            self.innocents_failed += not request.poison
            return
        delay_ms += self.rng.randint(*RESEND_MS)
        self.queue.after(delay_ms, lambda: self._send(request))

    def _crash_for_other_causes(self) -> None:
        engine = self.rng.choice(list(self.engines.values()))
        self._crash(engine, engine.incarnation, None)
        self.queue.after(OTHER_CRASH_MS, self._crash_for_other_causes)


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return the figures with the guard and without it."""
    duration_ms = SMALL_DURATION_MS if small else DURATION_MS
    rows = []
    for guarded in (True, False):
        print(f"guarded: {guarded}", file=sys.stderr)
        rows.append(_Run(seed, guarded).measure(duration_ms))
    return {"experiment": "poison", "seed": seed, "rows": rows}
