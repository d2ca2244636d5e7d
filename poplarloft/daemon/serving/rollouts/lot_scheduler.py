"""Runs the open lots of a cell: items, rewards, results and weights."""

import asyncio
from collections import abc

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import upstream_limits
from poplarloft.daemon.serving.rollouts import checkpoint_store
from poplarloft.daemon.serving.rollouts import garbage_collection
from poplarloft.daemon.serving.rollouts import generation
from poplarloft.daemon.serving.rollouts import result_writer
from poplarloft.daemon.serving.rollouts import rewards
from poplarloft.daemon.serving.rollouts import scoring
from poplarloft.daemon.serving.rollouts import weights
from poplarloft.daemon.serving.store import store_views
from poplarloft.daemon import tasks
from poplarloft.platform import samplers
from poplarloft import state

__all__ = ["LotScheduler"]

TICK_INTERVAL_MS = 200
RUN_GRACE_MS = 3_500  # most trainers submit their next step by then
REWARD_GRACE_MS = 1_500
OUTPUT_REUSE_MS = 60_000
MS_PER_S = 1_000
READ_TIMEOUT_MS = 300  # long enough for a store in another region


def _ignore(plan: serving.LotPlan) -> None:
    pass


class LotScheduler:
    """Runs all open lots of a cell while this daemon leads.

    Decisions are made in one place, `_decide`, which `wake` schedules
    after each event that may change them.

    Parameters
    ----------
    clock, wall_clock : state.Clock
        Monotonic clock, and wall clock as in the records of lots.
    store : state.RevisionStore
        Holds lots and results.
    sampler_client : samplers.SamplerClient
        Connections to upstreams.
    name : str
        This daemon's name.
    fence : int
        Fencing token, 0 for a provisional leader until it acquires
        leadership. Until then items are generated, but no orders are sent
        to engines.
    balancer : serving.LeastExpectedTime
        Chooses upstreams for reward calls.
    is_near : callable
        Returns whether a data centre is in this region.
    retention_ms : int
        Time for which a lot can be read after its end.
    views : store_views.StoreViews
        Views of the store: configuration, upstreams and open lots.
    orders : serving.OrderLock
        Whether orders may be sent to engines at the moment.
    limits : upstream_limits.UpstreamLimits
        Permits for upstreams that have named a limit.
    checkpoints : serving.CheckpointCollector or None
        Checkpoints received from the previous leader. If None, they are
        read from the store.
    """

    def __init__(
        self,
        clock: state.Clock,
        wall_clock: state.Clock,
        store: state.RevisionStore,
        sampler_client: samplers.SamplerClient,
        name: str,
        fence: int,
        balancer: serving.LeastExpectedTime,
        is_near: abc.Callable[[str], bool],
        retention_ms: int,
        views: store_views.StoreViews,
        orders: serving.OrderLock,
        limits: upstream_limits.UpstreamLimits,
        checkpoints: serving.CheckpointCollector | None = None,
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.store = store
        self.fence = fence
        self.may_send_orders = fence > 0
        self.orders = orders
        self.task_set = tasks.TaskSet()
        self.operator_view = views.operator
        self.sampler_view = views.samplers
        self.lots_view = views.lots
        self.views = views
        self.checkpoints = checkpoints
        self.planner = serving.Planner(clock, is_near, limits.rate_of)
        self.checkpoint_store = checkpoint_store.CheckpointStore(
            clock, store, lambda: self.fence, self.unrecorded_outputs
        )
        self.scoring = scoring.ScoringTasks(
            rewards.RewardCaller(
                clock,
                self.operator_view,
                self.sampler_view,
                sampler_client,
                balancer,
                limits,
            ),
            self.task_set,
            self._on_result,
        )
        self.generator = generation.OutputGenerator(
            clock, sampler_client, self.planner, self.task_set, limits
        )
        self.generator.on_complete = self._on_complete
        self.generator.on_failed = self._on_result
        self.generator.on_end = self.wake
        self.generator.on_replaced = self.sampler_view.on_replaced
        self.weights = weights.WeightUpdater(
            clock,
            sampler_client,
            self.planner,
            self.task_set,
            name,
            self,
            self.wake,
        )
        self.garbage_collector = garbage_collection.LotGarbageCollector(
            wall_clock, store, retention_ms, self.lots_view
        )
        self.on_planned: abc.Callable[[serving.LotPlan], None] = _ignore
        self.result_writers: dict[str, result_writer.ResultWriter] = {}
        self.ended_lots: set[str] = set()
        self.is_wake_scheduled = False
        self.is_stopped = False
        self.has_restored = False

    async def start(self) -> None:
        """Start with the open lots.

        They are planned once checkpoints have been restored. If the
        checkpoints came from the previous leader, those in the store are
        still read, so that they are deleted later.
        """
        if self.is_stopped:
            return
        for listeners in self.views.listeners():
            listeners.append(self.wake)
        self.lots_view.listener = self
        for record in list(self.lots_view.records.values()):
            self.on_lot(record, False)
        if self.checkpoints is not None:
            self.planner.restore(self.checkpoints)
            self.task_set.spawn(self.checkpoint_store.read())
        else:
            self.planner.restore(await self.checkpoint_store.read())
        if self.is_stopped:
            return
        self.has_restored = True
        self.task_set.supervise(self._tick)
        self.task_set.supervise(self.checkpoint_store.run)
        self.task_set.supervise(self.garbage_collector.run)
        self.wake()

    async def stop(self) -> None:
        """Cancel all runs and calls; nothing new is started after this.

        It may be called more than once, and before `start`.
        """
        if not self.is_stopped:
            self.is_stopped = True
            self.lots_view.listener = None
            for listeners in self.views.listeners():
                if self.wake in listeners:
                    listeners.remove(self.wake)
        await self.task_set.cancel_all()

    def order_time_ms(self) -> int:
        """Return for how long orders may still reach engines, 0 if not."""
        return self.orders.remaining_ms() if self.may_send_orders else 0

    def on_lot(self, record: state.LotRecord, is_new: bool) -> None:
        """Read the result log of a lot, then plan it; ignore an ended lot."""
        if record.lot.id not in self.ended_lots:
            self.task_set.spawn(self._open(record, is_new))

    def on_lot_end(self, lot_id: str) -> None:
        """Stop a lot, but keep its unfinished outputs for a while.

        The lot that follows may contain the same items and continue their
        outputs. Runs and reward calls go on for `RUN_GRACE_MS` and
        `REWARD_GRACE_MS`; the outputs are reusable for `OUTPUT_REUSE_MS`.
        """
        if lot_id in self.ended_lots:
            return
        self.ended_lots.add(lot_id)
        writer = self.result_writers.pop(lot_id, None)
        if writer is not None:
            writer.close()
        loop = asyncio.get_running_loop()
        for output in self.planner.end_lot(lot_id):
            for grace_ms, work in (
                (RUN_GRACE_MS, self.generator),
                (REWARD_GRACE_MS, self.scoring),
            ):
                loop.call_later(
                    grace_ms / MS_PER_S, self._cancel_unused, work, output
                )
            loop.call_later(
                OUTPUT_REUSE_MS / MS_PER_S, self.planner.drop_reusable, output
            )
        loop.call_later(
            OUTPUT_REUSE_MS / MS_PER_S, self.ended_lots.discard, lot_id
        )
        eliot.log_message("lot-stopped", request=lot_id)
        self.wake()

    def outputs_for_standbys(self) -> abc.Iterator[serving.ItemOutput]:
        """Yield all outputs of open lots, and the reusable ones."""
        for plan in list(self.planner.lots.values()):
            for group in plan.groups.values():
                yield from group
        yield from self.planner.reusable.values()

    def unrecorded_outputs(self) -> abc.Iterator[serving.ItemOutput]:
        """Yield the outputs without a result in a log, and reusable ones."""
        for plan in list(self.planner.lots.values()):
            log = self.result_writers[plan.lot.id].log
            for group in plan.groups.values():
                for output in group:
                    if output.item.id not in log.recorded:
                        yield output
        yield from self.planner.reusable.values()

    def wake(self) -> None:
        """Schedule `_decide` once, however often this is called before it."""
        if not self.is_wake_scheduled:
            self.is_wake_scheduled = True
            asyncio.get_running_loop().call_soon(self._decide)

    def _decide(self) -> None:
        """Plan new lots, send orders for weights and start items."""
        self.is_wake_scheduled = False
        configuration = self.operator_view.configuration
        if not self.has_restored or self.is_stopped:
            return
        if configuration is None or not self.sampler_view.is_listed.is_set():
            return
        for target in self.operator_view.targets.values():
            self.weights.load_planner.update_target(target)
        self._forget_finished()
        self._plan_waiting(configuration)
        self.planner.update_routes(configuration)
        self.planner.update_engines(self.views.engines())
        self.weights.send_orders()
        for start in self.planner.next_starts():
            self.generator.start(start)

    async def _tick(self) -> None:
        """Decide at a fixed interval, since decisions also depend on time."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_MS / MS_PER_S)
            self._expire_items()
            self.wake()

    async def _open(self, record: state.LotRecord, is_new: bool) -> None:
        """Read the result log of a lot, before its items are planned.

        If the store does not answer within `READ_TIMEOUT_MS`, the lot is
        planned without the log.
        """
        lot = record.lot
        writer = result_writer.ResultWriter(
            self.clock,
            self.store,
            lot,
            self.task_set,
            self._on_results_recorded,
        )
        if is_new:
            writer.assume_empty()
        else:
            reading = self.task_set.spawn(writer.read())
            await asyncio.wait({reading}, timeout=READ_TIMEOUT_MS / MS_PER_S)
        if lot.id in self.ended_lots:
            writer.close()
            return
        self.result_writers[lot.id] = writer
        eliot.log_message(
            "lot-opened",
            request=lot.id,
            step=lot.step,
            model=lot.model,
            min_version=lot.min_version,
            items=len(lot.items),
            # items already in the result log
            listed=len(writer.log.recorded),
            is_read=writer.is_read,
            age_ms=self.wall_clock.now_ms() - record.accepted_at_ms,
        )
        self.wake()

    def _plan_waiting(self, configuration: state.ServingConfiguration) -> None:
        """Plan the lots of which the log has been read, unless planned."""
        for lot_id, writer in self.result_writers.items():
            if lot_id in self.planner.lots or lot_id in self.ended_lots:
                continue
            record = self.lots_view.records.get(lot_id)
            if record is None:
                continue
            self.weights.load_planner.update_allowed_lag(record.lot)
            route = configuration.find_lot_route(record.lot)
            if route is None:
                continue
            age_ms = self.wall_clock.now_ms() - record.accepted_at_ms
            plan = self.planner.add_lot(
                record.lot,
                route,
                self.clock.now_ms() - age_ms,
                writer.log.recorded,
            )
            if plan.lag_ms:
                eliot.log_message("lot-behind", lot=lot_id, lag_ms=plan.lag_ms)
            self.on_planned(plan)
            for group in plan.groups.values():
                for output in group:
                    self._resume(output, plan)

    def _resume(
        self, output: serving.ItemOutput, plan: serving.LotPlan
    ) -> None:
        """Continue an output, which may be from an earlier lot."""
        self.generator.reassign(output, plan)
        if output.stage is serving.Stage.COMPLETE:
            self._on_complete(output)
        elif output.stage is serving.Stage.SCORED:
            self._on_result(output)

    def _on_complete(self, output: serving.ItemOutput) -> None:
        if not self.is_stopped and output.item.id not in self.planner.reusable:
            self.scoring.start(output)

    def _on_result(self, output: serving.ItemOutput) -> None:
        """Add a scored or failed output to the result log of its open lot."""
        for plan in self.planner.lots.values():
            group = plan.groups.get(output.item.group, [])
            if not any(member is output for member in group):
                continue
            write_now = plan.should_write_now(self.clock.now_ms())
            self.result_writers[plan.lot.id].add(output.result(), write_now)
            return

    def _on_results_recorded(self, lot_id: str) -> None:
        """Cancel the work on items that have a result in the log.

        Another leader may have written it.
        """
        writer = self.result_writers.get(lot_id)
        if writer is None:
            return
        log = writer.log
        for output in self.planner.drop_recorded(lot_id, log.recorded):
            self.generator.cancel(output.item.id)
            self.scoring.cancel(output.item.id)
        if log.is_complete:
            self.planner.end_lot(lot_id)
            self.wake()

    def _forget_finished(self) -> None:
        """Free the memory of lots of which all results are recorded."""
        for lot_id, writer in list(self.result_writers.items()):
            if writer.log.is_complete and lot_id not in self.planner.lots:
                self.result_writers.pop(lot_id).close()
                self.lots_view.on_finished(lot_id)

    def _cancel_unused(
        self,
        work: generation.OutputGenerator | scoring.ScoringTasks,
        output: serving.ItemOutput,
    ) -> None:
        """Cancel work on a reusable output that no lot has continued."""
        if self.planner.reusable.get(output.item.id) is output:
            work.cancel(output.item.id)

    def _expire_items(self) -> None:
        """Fail items that are given up."""
        now_ms = self.clock.now_ms()
        for plan in list(self.planner.lots.values()):
            for output in plan.expired_outputs(now_ms):
                self.generator.cancel(output.item.id)
                self.scoring.cancel(output.item.id)
                output.stage = serving.Stage.FAILED
                self._on_result(output)
