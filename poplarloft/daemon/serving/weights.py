"""Orders engines to load the versions that trainers name."""

import asyncio
from collections import abc
import typing

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon import tasks
from poplarloft.platform import samplers
from poplarloft import state

__all__ = ["WeightUpdater"]

POLL_MS = 150
FIRST_LOOK_MS = 1_000  # a load and the lag of reports
LOAD_TIMEOUT_MS = 6_000
MS_PER_S = 1_000


class _Holder(typing.Protocol):
    """The duty under which orders are given."""

    fence: int
    may_send_orders: bool


class WeightUpdater:
    """Carries out what the load planner decides.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    client : samplers.SamplerClient
        Connections to engines.
    engines : serving.Planner
        Knows the engines and takes their new versions.
    task_set : tasks.TaskSet
        Keeps orders alive.
    name : str
        This daemon's name.
    holder : _Holder
        The duty.
    kick : callable
        Called when items may be started on an engine again.
    """

    def __init__(
        self,
        clock: state.Clock,
        client: samplers.SamplerClient,
        engines: serving.Planner,
        task_set: tasks.TaskSet,
        name: str,
        holder: _Holder,
        kick: abc.Callable[[], None],
    ) -> None:
        self.clock = clock
        self.client = client
        self.engines = engines
        self.task_set = task_set
        self.name = name
        self.holder = holder
        self.kick = kick
        self.planner = serving.WeightLoadPlanner(clock)
        self.orders_accepted: dict[tuple[str, int], int] = {}

    def give_orders(self) -> None:
        """Give the orders that are due."""
        if not self.holder.may_send_orders:
            return
        usable = {
            life: view
            for life, view in self.engines.engines.items()
            if life in self.engines.usable
        }
        for load in self.planner.next_loads(usable):
            view = self.engines.engines[load.sampler.engine_id]
            self.task_set.spawn(self._load(view, load.target))

    async def _load(
        self, view: serving.EngineView, target: state.WeightsTarget
    ) -> None:
        started_ms = self.clock.now_ms()
        is_done = False
        try:
            is_done = await self._order(view, target)
        finally:
            view.loading.discard(target.model)
            self.kick()
            if not is_done:
                self.planner.on_failed(view.sampler)
            eliot.log_message(
                "weights-order",
                upstream=view.sampler.name,
                model=target.model,
                version=target.version,
                fence=self.holder.fence,
                done=is_done,
                duration_ms=self.clock.now_ms() - started_ms,
            )

    async def _order(
        self, view: serving.EngineView, target: state.WeightsTarget
    ) -> bool:
        sampler = view.sampler
        life = sampler.engine_id
        if life not in self.orders_accepted:
            await self._look(view)
        if life not in self.orders_accepted:
            return False
        answer = await self.client.order_version(
            sampler,
            target,
            self.name,
            self.holder.fence,
            self.orders_accepted[life],
        )
        if answer.status == samplers.ACCEPTED:
            self.orders_accepted[life] += 1
            await asyncio.sleep(FIRST_LOOK_MS / MS_PER_S)
        elif answer.was_superseded:
            self.holder.may_send_orders = False
            return False
        elif not answer.holds:
            # The next order needs the engine's own count of orders.
            self.orders_accepted.pop(life, None)
        return await self._await_version(view, target)

    async def _await_version(
        self, view: serving.EngineView, target: state.WeightsTarget
    ) -> bool:
        """Poll the engine until it shows the version or is idle."""
        end_ms = self.clock.now_ms() + LOAD_TIMEOUT_MS
        while self.clock.now_ms() < end_ms:
            report = await self._look(view)
            if view.versions.get(target.model, 0) >= target.version:
                return True
            if report is not None and not report.is_loading:
                return False
            await asyncio.sleep(POLL_MS / MS_PER_S)
        return False

    async def _look(
        self, view: serving.EngineView
    ) -> samplers.EngineReport | None:
        report = await self.client.report(view.sampler)
        if report is not None:
            view.versions.update(report.versions)
            self.orders_accepted[view.sampler.engine_id] = (
                report.orders_accepted
            )
        return report
