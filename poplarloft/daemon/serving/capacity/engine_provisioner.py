"""Orders engines from the platform, as the leader."""

import asyncio
import collections
import statistics

import eliot

from poplarloft.coordination import capacity
from poplarloft.coordination import serving
from poplarloft.daemon.serving.metering import usage_reporter
from poplarloft.daemon.serving.store import store_views
from poplarloft.platform import infrastructure
from poplarloft import state

__all__ = ["EngineProvisioner"]

INTERVAL_MS = 1_000
CALL_TIMEOUT_MS = 1_000
MIN_CALL_MS = 200
OK = 200
CONFLICT = 409
MS_PER_S = 1_000
Outcome = capacity.OrderOutcome


class EngineProvisioner:
    """Learns what trainers need, and carries out the planners' orders.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    views : store_views.StoreViews
        Configuration and upstreams.
    item_planner : serving.Planner
        Has the open lots.
    client : infrastructure.InfrastructureClient
        Takes the orders.
    leadership : usage_reporter.Leadership
        Whether calls may be made, and with which fencing token.
    """

    def __init__(
        self,
        clock: state.Clock,
        views: store_views.StoreViews,
        item_planner: serving.Planner,
        client: infrastructure.InfrastructureClient,
        leadership: usage_reporter.Leadership,
    ) -> None:
        self.clock = clock
        self.views = views
        self.item_planner = item_planner
        self.client = client
        self.leadership = leadership
        self.meter = capacity.DemandMeter(clock)
        self.planners: dict[str, capacity.CapacityPlanner] = {}

    async def run(self) -> None:
        """Order engines at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_MS / MS_PER_S)
            for service in self._scaled_services():
                await self.order(service)

    def _scaled_services(self) -> list[state.ServiceInfo]:
        configuration = self.views.operator.configuration
        if configuration is None:
            return []
        return [
            service
            for service in configuration.services.values()
            if service.scaling is not None
        ]

    def on_planned(self, plan: serving.LotPlan) -> None:
        """Learn from a lot that has been opened."""
        events = sum(
            output.remaining_events()
            for group in plan.groups.values()
            for output in group
        )
        self.meter.on_step(
            capacity.Step(
                plan.trainer,
                plan.route.targets[0].service,
                plan.accepted_at_ms,
                events,
            )
        )

    def _busy_slots(self, service: str) -> float | None:
        """Return the slots in use on average; None while that is unknown."""
        interval_ms = self._event_interval_ms(service)
        if interval_ms is None or not self.meter.is_known(service):
            return None
        return self.meter.busy_slots(service, interval_ms)

    def _event_interval_ms(self, service: str) -> float | None:
        """Return the mean pace of engines, None if none was measured."""
        measured = [
            view.event_interval_ms
            for view in self.item_planner.engines.values()
            if view.has_interval and view.sampler.service == service
        ]
        return statistics.fmean(measured) if measured else None

    async def order(self, service: state.ServiceInfo) -> None:
        """Order what one service needs now."""
        assert service.scaling is not None
        planner = self.planners.get(service.name)
        if planner is None:
            planner = capacity.CapacityPlanner(self.clock, service.name)
            self.planners[service.name] = planner
        planner.update(
            service.scaling,
            self._ready(service.name),
            self._busy_slots(service.name),
            service.slots or 1,
        )
        for order in planner.next_orders():
            time_ms = self.leadership.order_time_ms()
            if time_ms < MIN_CALL_MS:
                return
            await self._send(planner, order, min(CALL_TIMEOUT_MS, time_ms))

    def _ready(self, service: str) -> collections.Counter[state.EnginePool]:
        registry = self.views.samplers.registry
        return collections.Counter(
            state.EnginePool(
                service, sampler.data_centre, sampler.is_reclaimable
            )
            for sampler in registry.of_service(service)
        )

    async def _send(
        self,
        planner: capacity.CapacityPlanner,
        order: state.EngineOrder,
        timeout_ms: int,
    ) -> None:
        before = planner.pools[order.pool].ordered
        status = infrastructure.NO_ANSWER
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                status = await self.client.order_engines(
                    order, self.leadership.fence, timeout_ms
                )
        except TimeoutError:
            pass  # the connection is closed, so the call can't arrive later
        outcome = _outcome(status, order.count > before)
        planner.on_outcome(order, outcome)
        eliot.log_message(
            "engines-ordered",
            service=order.pool.service,
            data_centre=order.pool.data_centre,
            reclaimable=order.pool.is_reclaimable,
            count=order.count,
            before=before,
            ready=planner.pools[order.pool].ready,
            needed=planner.needed,
            fence=self.leadership.fence,
            status=status,
            outcome=outcome.value,
        )


def _outcome(status: int, is_increase: bool) -> capacity.OrderOutcome:
    """Return what an answer means; a refused increase found none left."""
    if status == OK:
        return Outcome.ACCEPTED
    if status == CONFLICT:
        return Outcome.NONE_LEFT if is_increase else Outcome.SUPERSEDED
    return Outcome.FAILED
