"""Measure crashes per poison request and false quarantines of others.

A discrete-event simulation, deterministic for a seed, with the poison guard
and without it. Seven daemons dispatch to ten engines. A poison request
crashes the engine that runs it, and its caller resends it through any
daemon. Engines also crash for other causes. "Innocents" are the requests
that crash no engine.
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
GOSSIP_DELAY_MS = 2
RETRY_DELAY_MS = 20
RESEND_MS = (0, 50)
RESENDS = 12
RETRY_AFTER_MS = 1_000
ATTEMPTS = 3
OTHER_CRASH_MS = 4_000
MS_PER_S = 1_000


class _Engine:
    """Engine with its incarnation and the requests running on it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = 1
        self.up = True
        self.running: dict[int, _Request] = {}


class _Request:
    """Request of a caller, together with its resends."""

    def __init__(self, fingerprint: str, is_poison: bool) -> None:
        self.fingerprint = fingerprint
        self.is_poison = is_poison
        self.sends = 0
        self.attempts = 0
        self.daemon: _Daemon | None = None
        self.ticket = 0


class _Daemon:
    """Daemon with its poison guard."""

    def __init__(self, clock: state.Clock, name: str) -> None:
        self.guard = coordination.PoisonGuard(clock, clock)


class _Simulation:
    """Simulation with the poison guard or without it."""

    def __init__(self, seed: int, guarded: bool) -> None:
        self.rng = random.Random(seed)
        self.queue = events.EventQueue()
        self.guarded = guarded
        clock = self.queue.clock
        self.daemons = [_Daemon(clock, f"entry-{n}") for n in range(DAEMONS)]
        self.engines = {
            f"engine-{n}": _Engine(f"engine-{n}") for n in range(ENGINES)
        }
        self.last_run_id = 0
        self.crashes: dict[str, int] = {}
        self.other_crashes = 0
        self.innocents = 0
        self.innocents_quarantined = 0
        self.innocents_failed = 0
        self.served = 0
        self.deferred = 0

    def measure(self, duration_ms: int) -> dict[str, typing.Any]:
        """Run for `duration_ms` and return the figures."""
        for number in range(POISONS):
            at_ms = self.rng.randrange(duration_ms // 2)
            self.queue.after(
                at_ms, functools.partial(self._send_poison, number)
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

    def _send_poison(self, number: int) -> None:
        self._send(_Request(f"poison-{number}", True))

    def _arrive(self) -> None:
        self.innocents += 1
        self._send(_Request(f"innocent-{self.innocents}", False))
        gap_ms = self.rng.expovariate(INNOCENTS_PER_S / MS_PER_S)
        self.queue.after(round(gap_ms), self._arrive)

    def _send(self, request: _Request) -> None:
        """Send a request through a random daemon, as a caller would."""
        request.sends += 1
        request.attempts = 0
        request.daemon = self.rng.choice(self.daemons)
        self._attempt(request)

    def _attempt(self, request: _Request) -> None:
        assert request.daemon is not None
        guard = request.daemon.guard
        status = coordination.FingerprintStatus.CLEAR
        if self.guarded:
            status = guard.status_of(request.fingerprint)
        if status is coordination.FingerprintStatus.QUARANTINED:
            self.innocents_quarantined += not request.is_poison
            return
        engine = self._choose(request, status)
        if engine is None:
            # Refused as not run, with a Retry-After that callers honour.
            self.deferred += 1
            self._resend(request, RETRY_AFTER_MS)
            return
        request.attempts += 1
        self.last_run_id += 1
        engine.running[self.last_run_id] = request
        request.ticket = guard.on_dispatch(
            engine.name, engine.incarnation, request.fingerprint
        )
        run_id, incarnation = self.last_run_id, engine.incarnation
        if request.is_poison:
            self.queue.after(
                CRASH_AFTER_MS,
                lambda: self._crash(engine, incarnation, request),
            )
        else:
            self.queue.after(
                self.rng.randint(*RUN_MS),
                lambda: self._complete(engine, run_id),
            )

    def _choose(
        self, request: _Request, status: coordination.FingerprintStatus
    ) -> _Engine | None:
        up = [e for e in self.engines.values() if e.up]
        if status is coordination.FingerprintStatus.CLEAR:
            return self.rng.choice(up) if up else None
        assert request.daemon is not None
        engine_name = request.daemon.guard.placement(
            request.fingerprint, [e.name for e in up]
        )
        return self.engines[engine_name] if engine_name is not None else None

    def _complete(self, engine: _Engine, run_id: int) -> None:
        request = engine.running.pop(run_id, None)
        if request is not None:
            assert request.daemon is not None
            request.daemon.guard.on_done(
                engine.name, engine.incarnation, request.ticket
            )
            self.served += 1
            self._publish(
                request.daemon,
                request.daemon.guard.on_completed(request.fingerprint),
            )

    def _crash(
        self,
        engine: _Engine,
        incarnation: int,
        poison_request: _Request | None,
    ) -> None:
        """Crash an engine and fail all requests that run on it."""
        if not engine.up or engine.incarnation != incarnation:
            return
        if poison_request is not None:
            name = poison_request.fingerprint
            self.crashes[name] = self.crashes.get(name, 0) + 1
        else:
            self.other_crashes += 1
        engine.up = False
        failed_requests = list(engine.running.values())
        engine.running.clear()
        for daemon in self.daemons:
            self._report_crash(daemon, engine, failed_requests)
        self.queue.after(RESTART_MS, lambda: self._restart(engine))
        for request in failed_requests:
            # Like the dispatcher, delay the retry until the crash counts
            # have reached the other daemons.
            retry = functools.partial(self._retry, request)
            self.queue.after(RETRY_DELAY_MS, retry)

    def _report_crash(
        self, daemon: _Daemon, engine: _Engine, failed_requests: list[_Request]
    ) -> None:
        own_requests = [r for r in failed_requests if r.daemon is daemon]
        if not own_requests:
            return
        daemon.guard.on_reset(engine.name, engine.incarnation)
        for request in own_requests:
            daemon.guard.on_done(
                engine.name, engine.incarnation, request.ticket
            )
        self._publish(
            daemon, daemon.guard.on_crash(engine.name, engine.incarnation)
        )

    def _publish(
        self, source: _Daemon, updates: list[state.GossipUpdate]
    ) -> None:
        for other in self.daemons:
            if other is not source:
                for update in updates:
                    deliver = functools.partial(other.guard.on_update, update)
                    self.queue.after(GOSSIP_DELAY_MS, deliver)

    def _restart(self, engine: _Engine) -> None:
        engine.up = True
        engine.incarnation += 1

    def _retry(self, request: _Request) -> None:
        if request.attempts < ATTEMPTS:
            self._attempt(request)
        else:
            self._resend(request)

    def _resend(self, request: _Request, delay_ms: int = 0) -> None:
        if request.sends >= RESENDS:
            self.innocents_failed += not request.is_poison
            return
        delay_ms += self.rng.randint(*RESEND_MS)
        self.queue.after(delay_ms, lambda: self._send(request))

    def _crash_for_other_causes(self) -> None:
        engine = self.rng.choice(list(self.engines.values()))
        self._crash(engine, engine.incarnation, None)
        self.queue.after(OTHER_CRASH_MS, self._crash_for_other_causes)


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return the report: one row with the guard and one without it."""
    duration_ms = SMALL_DURATION_MS if small else DURATION_MS
    rows = []
    for guarded in (True, False):
        print(f"guarded: {guarded}", file=sys.stderr)
        rows.append(_Simulation(seed, guarded).measure(duration_ms))
    return {"experiment": "poison", "seed": seed, "rows": rows}
