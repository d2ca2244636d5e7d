"""Orders engines to load the weight versions that trainers name."""

import asyncio
from collections import abc
import typing

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon import tasks
from poplarloft.platform import reports
from poplarloft.platform import samplers
from poplarloft import state

__all__ = ["WeightUpdater"]

POLL_INTERVAL_MS = 150
MIN_ORDER_MS = 200  # a new connection and the order itself
FIRST_POLL_DELAY_MS = 1_000  # for the load, and the delay of reports
LOAD_TIMEOUT_MS = 6_000
MS_PER_S = 1_000


class _Leadership(typing.Protocol):
    """The leadership under which orders are sent."""

    fence: int
    may_send_orders: bool

    def order_time_ms(self) -> int:
        """Return for how long orders may still reach engines, 0 if not."""


class WeightUpdater:
    """Sends engines the load orders that the load planner decides on.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    client : samplers.SamplerClient
        Connections to engines.
    item_planner : serving.Planner
        Holds the state of the engines; updated with their versions.
    task_set : tasks.TaskSet
        Runs the orders.
    name : str
        This daemon's name, sent with each order.
    leadership : _Leadership
        Whether orders may be sent, how long, and with which fencing token.
        `may_send_orders` is cleared when an engine answers that it has
        seen a newer token.
    wake : callable
        Called when an engine has finished loading, so that items may be
        started on it again.
    """

    def __init__(
        self,
        clock: state.Clock,
        client: samplers.SamplerClient,
        item_planner: serving.Planner,
        task_set: tasks.TaskSet,
        name: str,
        leadership: _Leadership,
        wake: abc.Callable[[], None],
    ) -> None:
        self.clock = clock
        self.client = client
        self.item_planner = item_planner
        self.task_set = task_set
        self.name = name
        self.leadership = leadership
        self.wake = wake
        self.load_planner = serving.WeightLoadPlanner(clock)
        self.orders_accepted: dict[tuple[str, int], int] = {}

    def send_orders(self) -> None:
        """Start sending the orders that are due, if this daemon may."""
        if self.leadership.order_time_ms() < MIN_ORDER_MS:
            return
        usable = {
            engine_id: view
            for engine_id, view in self.item_planner.engines.items()
            if engine_id in self.item_planner.usable
        }
        for load in self.load_planner.next_loads(usable):
            view = self.item_planner.engines[load.sampler.engine_id]
            self.task_set.spawn(self._load(view, load.target))

    async def _load(
        self, view: serving.EngineView, target: state.WeightsTarget
    ) -> None:
        started_ms = self.clock.now_ms()
        is_done = False
        try:
            is_done = await self._send_order(view, target)
        finally:
            view.loading.discard(target.model)
            self.wake()
            if not is_done:
                self.load_planner.on_failed(view.sampler)
            eliot.log_message(
                "weights-order",
                upstream=view.sampler.name,
                model=target.model,
                version=target.version,
                fence=self.leadership.fence,
                done=is_done,
                duration_ms=self.clock.now_ms() - started_ms,
            )

    async def _send_order(
        self, view: serving.EngineView, target: state.WeightsTarget
    ) -> bool:
        """Send one order; return whether the engine has loaded the version.

        An order carries the number of orders that the engine accepted
        before, which is read from the engine's report if it is unknown.
        """
        sampler = view.sampler
        engine_id = sampler.engine_id
        if engine_id not in self.orders_accepted:
            await self._fetch_report(view)
        if engine_id not in self.orders_accepted:
            return False
        order_time_ms = self.leadership.order_time_ms()
        if order_time_ms < MIN_ORDER_MS:
            return False
        try:
            async with asyncio.timeout(order_time_ms / MS_PER_S):
                answer = await self.client.order_version(
                    sampler,
                    target,
                    self.name,
                    self.leadership.fence,
                    self.orders_accepted[engine_id],
                )
        except TimeoutError:
            # The connection is closed, so the order can't arrive later.
            self.orders_accepted.pop(engine_id, None)
            return False
        if answer.is_accepted:
            self.item_planner.costs.prefixes.on_weights(
                engine_id, target.model
            )
        if answer.status == samplers.ACCEPTED:
            self.orders_accepted[engine_id] += 1
            await asyncio.sleep(FIRST_POLL_DELAY_MS / MS_PER_S)
        elif answer.was_superseded:
            self.leadership.may_send_orders = False
            return False
        elif not answer.is_accepted:
            # The count may be wrong; read it again before the next order.
            self.orders_accepted.pop(engine_id, None)
        return await self._await_version(view, target)

    async def _await_version(
        self, view: serving.EngineView, target: state.WeightsTarget
    ) -> bool:
        """Poll the engine until it has the version or stops loading.

        Returns whether it has the version.
        """
        deadline_ms = self.clock.now_ms() + LOAD_TIMEOUT_MS
        while self.clock.now_ms() < deadline_ms:
            report = await self._fetch_report(view)
            if view.versions.get(target.model, 0) >= target.version:
                return True
            if report is not None and not report.is_loading:
                return False
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)
        return False

    async def _fetch_report(
        self, view: serving.EngineView
    ) -> reports.EngineReport | None:
        """Update the engine's versions and order count from its report."""
        report = await self.client.report(view.sampler)
        if report is not None:
            view.versions.update(report.versions)
            self.orders_accepted[view.sampler.engine_id] = (
                report.orders_accepted
            )
        return report
