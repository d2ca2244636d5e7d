"""Rollout of a weight version to the engines of one data centre.

All engines preload the version, a few at a time, and then switch together.
An order counts as done only once the engine itself reports the result.
Orders are idempotent and carry a fencing token. For engines that ignore the
token, the result is read back, and a new issuer waits until no order of an
earlier issuer can still be in flight.
"""

import dataclasses
import enum
import math

from poplarloft import state

__all__ = [
    "EngineReport",
    "OrderKind",
    "SendOrder",
    "WeightRollout",
    "WeightSettings",
]


@dataclasses.dataclass(frozen=True, slots=True)
class WeightSettings:
    """Limits of a weight rollout.

    Parameters
    ----------
    max_preloads : int
        Maximum number of engines that read from the weight store at once.
    min_serving_share : float
        Minimum fraction of engines that keep serving during the switch.
    order_timeout_ms : int
        Maximum time that an order can be in flight.
    preload_limit_ms : int
        Time after which the switch no longer waits for slow preloads.
    """

    max_preloads: int = 4
    min_serving_share: float = 0.5
    order_timeout_ms: int = 5_000
    preload_limit_ms: int = 60_000


class OrderKind(enum.StrEnum):
    """Kind of order sent to an engine."""

    PRELOAD = "preload"
    SWITCH = "switch"


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: send an order, then call `on_order_done`."""

    engine: str
    kind: OrderKind
    weight_version: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """Weights that an engine reports to have.

    `weight_version` is None while the engine cannot determine the version or
    serves a mixture of versions.
    """

    engine: str
    incarnation: int
    weight_version: int | None
    preloaded: frozenset[int]
    honours_fence: bool


@dataclasses.dataclass(slots=True)
class _Engine:
    report: EngineReport
    order: SendOrder | None = None
    ordered_at_ms: int = 0
    failures: int = 0


class WeightRollout:
    """Plans the orders of one issuer.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    settings : WeightSettings
        Limits of the rollout.
    """

    def __init__(
        self, clock: state.Clock, settings: WeightSettings | None = None
    ) -> None:
        self.clock = clock
        self.settings = settings or WeightSettings()
        self.engines: dict[str, _Engine] = {}
        self.target = -1
        self.target_since_ms = 0
        self.fence: int | None = None
        self.fence_since_ms = 0

    def on_lease(self, lease: state.Lease | None) -> None:
        """Set the issuer's lease; None means that it was lost."""
        if lease is None:
            self.fence = None
            return
        if lease.fence != self.fence:
            self.fence = lease.fence
            self.fence_since_ms = self.clock.now_ms()

    def on_target(self, weight_version: int) -> None:
        """Set the version to roll out; older versions are ignored."""
        if weight_version > self.target:
            self.target = weight_version
            self.target_since_ms = self.clock.now_ms()

    def on_report(self, report: EngineReport) -> None:
        """Update an engine; reports of older incarnations are ignored."""
        known = self.engines.get(report.engine)
        if known is None:
            self.engines[report.engine] = _Engine(report)
            return
        if report.incarnation < known.report.incarnation:
            return
        if report.incarnation > known.report.incarnation:
            known.order = None
        known.report = report

    def on_engine_removed(self, engine: str) -> None:
        """Remove an engine that is no longer available."""
        self.engines.pop(engine, None)

    def on_order_done(self, engine: str, accepted: bool) -> None:
        """Record the end of an order; its effect is read from reports."""
        known = self.engines.get(engine)
        if known is None:
            return
        known.order = None
        known.failures = 0 if accepted else known.failures + 1

    def plan(self) -> list[SendOrder]:
        """Return the orders to send now."""
        if not self._may_order():
            return []
        self._expire_orders()
        orders = self._preloads()
        if self._switch_may_start():
            orders += self._switches()
        return orders

    def is_done(self) -> bool:
        """Return whether all engines report the target version."""
        return all(
            e.report.weight_version == self.target
            for e in self.engines.values()
        )

    def serving_share(self) -> float:
        """Return the fraction of engines that serve a definite version."""
        if not self.engines:
            return 1.0
        serving = sum(self._is_serving(e) for e in self.engines.values())
        return serving / len(self.engines)

    def _may_order(self) -> bool:
        if self.fence is None or self.target < 0:
            return False
        if all(e.report.honours_fence for e in self.engines.values()):
            return True
        waited_ms = self.clock.now_ms() - self.fence_since_ms
        return waited_ms >= self.settings.order_timeout_ms

    def _expire_orders(self) -> None:
        now_ms = self.clock.now_ms()
        for engine in self.engines.values():
            age_ms = now_ms - engine.ordered_at_ms
            if engine.order and age_ms > self.settings.order_timeout_ms:
                engine.order = None
                engine.failures += 1

    def _preloads(self) -> list[SendOrder]:
        in_flight = sum(
            e.order is not None and e.order.kind is OrderKind.PRELOAD
            for e in self.engines.values()
        )
        free = self.settings.max_preloads - in_flight
        missing = [e for e in self.engines.values() if self._needs_preload(e)]
        missing.sort(key=lambda e: (e.failures, e.report.engine))
        return [self._order(e, OrderKind.PRELOAD) for e in missing[:free]]

    def _needs_preload(self, engine: _Engine) -> bool:
        return (
            engine.order is None
            and engine.report.weight_version != self.target
            and self.target not in engine.report.preloaded
        )

    def _switch_may_start(self) -> bool:
        waited_ms = self.clock.now_ms() - self.target_since_ms
        if waited_ms >= self.settings.preload_limit_ms:
            return True
        return all(
            e.report.weight_version == self.target
            or self.target in e.report.preloaded
            for e in self.engines.values()
        )

    def _switches(self) -> list[SendOrder]:
        """Return switch orders that leave enough engines serving."""
        total = len(self.engines)
        must_serve = math.ceil(self.settings.min_serving_share * total)
        serving = sum(self._is_serving(e) for e in self.engines.values())
        waiting = [e for e in self.engines.values() if self._needs_switch(e)]
        waiting.sort(key=lambda e: (e.failures, e.report.engine))
        orders = []
        for engine in waiting:
            if self._is_serving(engine):
                if serving <= must_serve:
                    continue
                serving -= 1
            orders.append(self._order(engine, OrderKind.SWITCH))
        return orders

    def _needs_switch(self, engine: _Engine) -> bool:
        return (
            engine.order is None
            and engine.report.weight_version != self.target
            and self.target in engine.report.preloaded
        )

    def _is_serving(self, engine: _Engine) -> bool:
        switching = (
            engine.order is not None and engine.order.kind is OrderKind.SWITCH
        )
        return engine.report.weight_version is not None and not switching

    def _order(self, engine: _Engine, kind: OrderKind) -> SendOrder:
        assert self.fence is not None
        order = SendOrder(engine.report.engine, kind, self.target, self.fence)
        engine.order = order
        engine.ordered_at_ms = self.clock.now_ms()
        return order
