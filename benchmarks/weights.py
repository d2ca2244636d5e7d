"""Measure weight rollouts at several sizes, with failures.

A discrete-event simulation, deterministic for a seed, of the engines of one
data centre, half of which ignore fencing tokens. Some swaps fail, an issuer
of orders pauses and resumes with an outdated target, and a version is
superseded during its rollout. The switch time is counted from the moment at
which all engines have preloaded the version.
"""

import functools
import random
import sys
import typing

from benchmarks import events
from poplarloft import coordination
from poplarloft import state

__all__ = ["run"]

SIZES = (5, 20, 80, 320)
SMALL_SIZES = (5, 20)
PRELOAD_MS = 2_000
SWITCH_MS = 500
REPORT_MS = 250
PLAN_MS = 250
ORDER_MS = 5
FAILED_SWAP_SHARE = 0.05
LIMIT_MS = 600_000
MIN_SERVING = 0.5


class _Engine:
    """Engine that executes weight orders and reports its actual version."""

    def __init__(self, simulation: "_Simulation", number: int) -> None:
        self.simulation = simulation
        self.name = f"engine-{number}"
        self.honours_fence = number % 2 == 0
        self.version: int | None = 0
        self.loaded = 0
        self.preloaded = {0}
        self.fence = 0

    def report(self) -> coordination.EngineReport:
        return coordination.EngineReport(
            self.name,
            1,
            self.version,
            frozenset(self.preloaded),
            self.honours_fence,
        )

    def apply(
        self, issuer: coordination.WeightRollout, order: coordination.SendOrder
    ) -> None:
        if self.honours_fence and order.fence < self.fence:
            issuer.on_order_done(self.name, False)
            return
        self.fence = max(self.fence, order.fence)
        duration_ms = SWITCH_MS
        if order.kind is coordination.OrderKind.PRELOAD:
            duration_ms = PRELOAD_MS
        else:
            self.version = None
        self.simulation.queue.after(
            duration_ms, lambda: self._finish(issuer, order)
        )

    def _finish(
        self, issuer: coordination.WeightRollout, order: coordination.SendOrder
    ) -> None:
        if order.kind is coordination.OrderKind.PRELOAD:
            self.preloaded.add(order.weight_version)
            issuer.on_order_done(self.name, True)
            return
        failed = self.simulation.rng.random() < FAILED_SWAP_SHARE
        if not failed:
            self.loaded = order.weight_version
            self.preloaded = {self.loaded}
        self.version = self.loaded
        issuer.on_order_done(self.name, not failed)


class _Simulation:
    """Simulation of one data centre with one or two issuers of orders."""

    def __init__(self, seed: int, size: int) -> None:
        self.rng = random.Random(seed)
        self.queue = events.EventQueue()
        settings = coordination.WeightSettings(
            max_preloads=max(4, size // 8), min_serving_share=MIN_SERVING
        )
        self.settings = settings
        self.engines = {
            e.name: e for e in (_Engine(self, n) for n in range(size))
        }
        self.issuers: list[coordination.WeightRollout] = []
        self.paused: set[int] = set()
        self.orders = 0
        self.least_serving = 1.0

    def add_issuer(self, fence: int, target: int) -> int:
        """Start an issuer with the fencing token `fence`; return its index."""
        issuer = coordination.WeightRollout(self.queue.clock, self.settings)
        issuer.on_lease(state.Lease("weights", f"i{fence}", fence, 6_000))
        issuer.on_target(target)
        self.issuers.append(issuer)
        number = len(self.issuers) - 1
        self._run_issuer(number)
        return number

    def _run_issuer(self, number: int) -> None:
        if number not in self.paused:
            issuer = self.issuers[number]
            for engine in self.engines.values():
                issuer.on_report(engine.report())
            for order in issuer.plan():
                self.orders += 1
                engine = self.engines[order.engine]
                self.queue.after(
                    ORDER_MS,
                    functools.partial(engine.apply, issuer, order),
                )
        self.queue.after(PLAN_MS, lambda: self._run_issuer(number))

    def all_preloaded(self, version: int) -> bool:
        return all(
            version in e.preloaded or e.loaded == version
            for e in self.engines.values()
        )

    def all_on(self, version: int) -> bool:
        serving = sum(e.version is not None for e in self.engines.values())
        share = serving / len(self.engines)
        self.least_serving = min(self.least_serving, share)
        return all(e.version == version for e in self.engines.values())

    def time_until(self, condition: typing.Any) -> int:
        return self.queue.run_until(condition, LIMIT_MS, 10)


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return the report: one row per number of engines."""
    rows = []
    for size in SMALL_SIZES if small else SIZES:
        print(f"{size} engines", file=sys.stderr)
        rows.append({"engines": size, **_measure(seed, size)})
    return {"experiment": "weights", "seed": seed, "rows": rows}


def _measure(seed: int, size: int) -> dict[str, typing.Any]:
    simulation = _Simulation(seed, size)
    simulation.add_issuer(1, 1)
    preload_ms = simulation.time_until(lambda: simulation.all_preloaded(1))
    switch_ms = simulation.time_until(lambda: simulation.all_on(1))
    return {
        "preload_ms": preload_ms,
        "switch_ms": switch_ms,
        "orders": simulation.orders,
        "least_serving_share": round(simulation.least_serving, 3),
        "superseded_ms": _measure_superseded(seed, size),
        "resumed_issuer": _measure_resumed(seed, size),
    }


def _measure_superseded(seed: int, size: int) -> int:
    """Publish version 2 while 1 preloads; return when all serve version 2."""
    simulation = _Simulation(seed, size)
    simulation.add_issuer(1, 1)
    simulation.queue.run_for(PRELOAD_MS // 2)
    simulation.issuers[0].on_target(2)
    return simulation.time_until(lambda: simulation.all_on(2))


def _measure_resumed(seed: int, size: int) -> dict[str, int]:
    """Resume a paused issuer of version 1 once all serve version 2.

    It sends the orders planned from the reports before the pause, and then
    stops, as an issuer does that learns that its lease is lost.

    Returns
    -------
    dict
        Number of engines set back to version 1, and the time until all
        serve version 2 again.
    """
    simulation = _Simulation(seed, size)
    old = simulation.add_issuer(1, 1)
    simulation.time_until(lambda: simulation.all_preloaded(1))
    simulation.paused.add(old)
    issuer = simulation.issuers[old]
    for engine in simulation.engines.values():
        issuer.on_report(engine.report())
    simulation.add_issuer(2, 2)
    simulation.time_until(lambda: simulation.all_on(2))
    for order in issuer.plan():
        simulation.engines[order.engine].apply(issuer, order)
    simulation.queue.run_for(SWITCH_MS + 10)
    set_back = sum(e.version == 1 for e in simulation.engines.values())
    recovered_ms = simulation.time_until(lambda: simulation.all_on(2))
    return {"engines_set_back": set_back, "mended_ms": recovered_ms}
