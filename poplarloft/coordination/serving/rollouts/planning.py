"""Scheduling of lot items on engines."""

from collections import abc
import dataclasses
import itertools

from poplarloft.coordination.serving.rollouts import checkpoints
from poplarloft.coordination.serving.rollouts import engine_cost
from poplarloft.coordination.serving.rollouts import engine_view
from poplarloft.coordination.serving.rollouts import lot_plan
from poplarloft.coordination.serving.rollouts import outputs
from poplarloft.coordination.serving.rollouts import step_schedule
from poplarloft.coordination.serving.rollouts import urgency
from poplarloft import state

__all__ = ["Planner", "StartItem"]

# A move costs a prefill, the wait for a slot and two network trips.
MIN_MOVE_GAIN_MS = 1_000.0
MOVE_INTERVAL_RATIO = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class StartItem:
    """Action: generate an item on an engine.

    Generation continues after the events that the item's output has.
    """

    lot_id: str
    item_id: str
    sampler: state.Sampler
    run_id: int


def _unlimited(engine_id: engine_view.EngineId) -> float | None:
    return None


class Planner:
    """Assign waiting items to free slots of engines.

    The most urgent items go first, see `urgency`.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    is_near : callable
        Return whether a data centre is in this instance's region.
    rate_of : callable
        Return the limit that an engine has named, or None.

    Attributes
    ----------
    reusable : dict of str to outputs.ItemOutput
        Outputs of unfinished groups of ended lots, by item, which a later
        lot with the same item may continue.
    restored : dict of str to checkpoints.Checkpoint
        Checkpoints of an earlier leader, by item.
    usable : set of engine_view.EngineId
        Engines that may get items.
    """

    def __init__(
        self,
        clock: state.Clock,
        is_near: abc.Callable[[str], bool],
        rate_of: abc.Callable[
            [engine_view.EngineId], float | None
        ] = _unlimited,
    ) -> None:
        self.clock = clock
        self.costs = engine_cost.EngineCost(clock, is_near)
        self.rate_of = rate_of
        self.lots: dict[str, lot_plan.LotPlan] = {}
        self.engines: dict[engine_view.EngineId, engine_view.EngineView] = {}
        self.reusable: dict[str, outputs.ItemOutput] = {}
        self.restored: dict[str, checkpoints.Checkpoint] = {}
        self.usable: set[engine_view.EngineId] = set()
        self.usable_services: set[str] = set()
        self.configuration: state.ServingConfiguration | None = None
        self.schedule = step_schedule.StepSchedule()
        self.run_ids = itertools.count(1)

    def add_lot(
        self,
        lot: state.Lot,
        route: state.PathRoute,
        accepted_at_ms: int,
        recorded: abc.Container[str],
    ) -> lot_plan.LotPlan:
        """Add a lot, without the items whose results are recorded.

        Reusable outputs of an ended lot continue if their weight versions
        are allowed.
        """
        groups: dict[str, list[outputs.ItemOutput]] = {}
        for item in lot.items:
            if item.id in recorded:
                continue
            output = self._reuse_or_create_output(lot, route, item)
            groups.setdefault(item.group, []).append(output)
        plan = lot_plan.LotPlan(lot, route, accepted_at_ms, groups)
        plan.scheduled_at_ms = self.schedule.on_step(
            plan.trainer, lot.step, accepted_at_ms
        )
        self.lots[lot.id] = plan
        return plan

    def end_lot(self, lot_id: str) -> list[outputs.ItemOutput]:
        """Remove a lot; return the outputs of its unfinished groups.

        These become reusable, so that a later lot can continue them.
        """
        plan = self.lots.pop(lot_id, None)
        if plan is None:
            return []
        plan.is_ended = True
        unfinished = [
            output for group in plan.unfinished_groups() for output in group
        ]
        for output in unfinished:
            self.reusable[output.item.id] = output
        return unfinished

    def drop_recorded(
        self, lot_id: str, recorded: abc.Container[str]
    ) -> list[outputs.ItemOutput]:
        """Remove and return unfinished outputs of items with a result.

        `recorded` has the items whose results are in the log, possibly
        written by another leader. Finished outputs stay, for a later lot
        that has the same group.
        """
        plan = self.lots.get(lot_id)
        if plan is None:
            return []
        finished = (outputs.Stage.SCORED, outputs.Stage.FAILED)
        dropped = [
            output
            for group in plan.groups.values()
            for output in group
            if output.item.id in recorded and output.stage not in finished
        ]
        for output in dropped:
            plan.groups[output.item.group].remove(output)
        return dropped

    def restore(self, collector: checkpoints.CheckpointCollector) -> None:
        """Use the checkpoints of an earlier leader for lots added later."""
        self.restored = dict(collector.checkpoints)

    def drop_reusable(self, output: outputs.ItemOutput) -> None:
        """Remove a reusable output that no later lot has continued."""
        if self.reusable.get(output.item.id) is output:
            del self.reusable[output.item.id]

    def update_engines(self, samplers: abc.Iterable[state.Sampler]) -> None:
        """Replace the engines that may get items."""
        available = {sampler.engine_id: sampler for sampler in samplers}
        for engine_id in [
            engine_id
            for engine_id in self.engines
            if engine_id not in available
        ]:
            if not self.engines[engine_id].running:
                del self.engines[engine_id]
        for engine_id, sampler in available.items():
            view = self.engines.get(engine_id)
            if view is None:
                self.engines[engine_id] = engine_view.EngineView(
                    sampler, dict(sampler.versions)
                )
            else:
                view.sampler = sampler
        self.costs.prefixes.keep_only(set(available))
        self.usable = set(available)
        self.usable_services = {s.service for s in available.values()}
        for engine_id, view in self.engines.items():
            view.limit_per_s = self.rate_of(engine_id)

    def update_routes(self, configuration: state.ServingConfiguration) -> None:
        """Start items as a configuration allows from now on.

        Lots that are added later have their route from it already.
        """
        if configuration is self.configuration:
            return
        self.configuration = configuration
        self.costs.prefixes.on_services(configuration)
        now_ms = self.clock.now_ms()
        for plan in self.lots.values():
            plan.update_route(configuration, now_ms)

    def may_start_at(
        self,
        plan: lot_plan.LotPlan,
        output: outputs.ItemOutput,
        sampler: state.Sampler,
    ) -> bool:
        """Return whether an engine may still get an item."""
        is_usable = sampler.engine_id in self.usable
        return is_usable and sampler.service == self._service(plan, output)

    def next_starts(self) -> list[StartItem]:
        """Return the items to start now, most urgent first."""
        now_ms = self.clock.now_ms()
        starts = []
        is_any_free = self._is_any_free(now_ms)
        for plan, output in urgency.waiting_outputs(
            self.lots.values(), now_ms, is_any_free
        ):
            if not is_any_free and not output.events:
                continue
            view = self._best_engine(plan, output)
            if view is None:
                continue
            if not output.may_continue_at(view.sampler):
                output.restart()
            output.stage = outputs.Stage.RUNNING
            model = plan.lot.model
            self.costs.prefixes.on_read(view.sampler, model, output.item)
            run_id = next(self.run_ids)
            view.running.add(run_id)
            if view.limit_per_s is not None:
                view.awaiting_permit.add(run_id)
            starts.append(
                StartItem(plan.lot.id, output.item.id, view.sampler, run_id)
            )
            is_any_free = self._is_any_free(now_ms)
        return starts

    def should_move(
        self,
        plan: lot_plan.LotPlan,
        output: outputs.ItemOutput,
        view: engine_view.EngineView,
    ) -> bool:
        """Return whether a running item would end earlier elsewhere."""
        if not view.has_interval:
            return False
        others = [
            other.event_interval_ms
            for other in self._candidates(plan, output)
            if other is not view
            and output.may_continue_at(other.sampler)
            and other.has_interval
            and other.limit_per_s is None
        ]
        if not others:
            return False
        best_ms = min(others)
        gain_ms = output.remaining_events() * (
            view.event_interval_ms - best_ms
        )
        is_faster = best_ms < MOVE_INTERVAL_RATIO * view.event_interval_ms
        return is_faster and gain_ms > MIN_MOVE_GAIN_MS

    def has_restarted(self, view: engine_view.EngineView) -> bool:
        """Return whether a later run of an engine is announced."""
        name, born_ms = view.sampler.engine_id
        return any(
            other == name and other_born_ms > born_ms
            for other, other_born_ms in self.usable
        )

    def on_engine_failure(
        self, view: engine_view.EngineView, is_lost: bool
    ) -> None:
        """Record that an engine failed a run, or lost its connection."""
        view.failed_at_ms = self.clock.now_ms()
        if is_lost:
            view.on_connection_lost(self.clock.now_ms())

    def _reuse_or_create_output(
        self, lot: state.Lot, route: state.PathRoute, item: state.LotItem
    ) -> outputs.ItemOutput:
        """Return an earlier output if it may continue, else a new one.

        The earlier output is a reusable or a restored one. If it may not
        continue, the caller cancels its run.
        """
        output = self.reusable.pop(item.id, None)
        if output is None and item.id in self.restored:
            output = self.restored.pop(item.id).to_output(item)
        if (
            output is None
            or output.stage is outputs.Stage.FAILED
            or not output.is_allowed(lot.min_version, route.single_version)
        ):
            return outputs.ItemOutput(item, outputs.predict_events(item))
        has_other_reward = output.item.reward != item.reward
        if output.stage is outputs.Stage.SCORED and has_other_reward:
            output.stage = outputs.Stage.COMPLETE
        output.item = item
        return output

    def _best_engine(
        self, plan: lot_plan.LotPlan, output: outputs.ItemOutput
    ) -> engine_view.EngineView | None:
        now_ms = self.clock.now_ms()
        candidates = self._candidates(plan, output)
        fitting = [v for v in candidates if output.may_continue_at(v.sampler)]
        if not fitting and self._should_wait_for_version(plan, output, now_ms):
            return None
        return min(
            fitting or candidates,
            key=lambda v: self.costs.cost_ms(v, output, plan.lot.model),
            default=None,
        )

    def _should_wait_for_version(
        self, plan: lot_plan.LotPlan, output: outputs.ItemOutput, now_ms: int
    ) -> bool:
        """Return whether an output waits for an engine of its version.

        It does while one is announced, for as long as it would take to
        generate its events again.
        """
        engines = [
            view
            for view in self.engines.values()
            if self.may_start_at(plan, output, view.sampler)
            and output.may_continue_at(view.sampler)
        ]
        if not engines:
            return False
        if output.version_wait_since_ms is None:
            output.version_wait_since_ms = now_ms
        waited_ms = now_ms - output.version_wait_since_ms
        interval_ms = min(view.event_interval_ms for view in engines)
        return waited_ms < len(output.events) * interval_ms

    def _is_any_free(self, now_ms: int) -> bool:
        """Return whether any engine may start an item."""
        return any(
            engine_id in self.usable and view.may_start(now_ms)
            for engine_id, view in self.engines.items()
        )

    def _service(
        self, plan: lot_plan.LotPlan, output: outputs.ItemOutput
    ) -> str | None:
        """Return the service that may generate an output, None if none may.

        If the first one has no engine, another service of the route may.
        """
        for service in plan.services(output):
            if service in self.usable_services:
                return service
        return None

    def _candidates(
        self, plan: lot_plan.LotPlan, output: outputs.ItemOutput
    ) -> list[engine_view.EngineView]:
        """Return the engines that can start an item of a lot now."""
        model = plan.lot.model
        service = self._service(plan, output)
        now_ms = self.clock.now_ms()
        return [
            view
            for engine_id, view in self.engines.items()
            if engine_id in self.usable
            and view.sampler.service == service
            and view.may_start(now_ms)
            and model not in view.loading
            and view.versions.get(model, 0) >= plan.lot.min_version
        ]
