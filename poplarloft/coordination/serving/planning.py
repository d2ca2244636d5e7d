"""Scheduling of lot items on engines."""

from collections import abc
import dataclasses
import itertools

from poplarloft.coordination.serving import checkpoints
from poplarloft.coordination.serving import outputs
from poplarloft import state

__all__ = ["EngineView", "LotPlan", "Planner", "StartItem"]

INITIAL_EVENT_INTERVAL_MS = 50.0
INTERVAL_SMOOTHING = 0.1
STEP_TARGET_MS = 4_000
FAILED_ENGINE_MS = 2_000
INITIAL_BACKOFF_MS = 500
MAX_BACKOFF_MS = 4_000
LOSS_GROUPING_MS = 300
DUE_MARGIN_MS = 1_500
# A move costs a prefill, the wait for a slot and two network trips.
MIN_MOVE_GAIN_MS = 1_000.0
MOVE_INTERVAL_RATIO = 0.9
OTHER_REGION_COST_MS = 60.0
EngineId = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class StartItem:
    """Action: generate an item on an engine, after the events it has."""

    lot_id: str
    item_id: str
    sampler: state.Sampler
    run_id: int


@dataclasses.dataclass(slots=True)
class EngineView:
    """What the leader knows of one incarnation of an engine.

    Parameters
    ----------
    sampler : state.Sampler
        Its newest announcement.
    versions : dict of str to int
        Weight version of each model, as last reported.
    loading : set of str
        Models whose weights it is loading; none of their items start here.
    event_interval_ms : float
        Smoothed time between two events of an output.
    """

    sampler: state.Sampler
    versions: dict[str, int]
    loading: set[str] = dataclasses.field(default_factory=set)
    running: set[int] = dataclasses.field(default_factory=set)
    event_interval_ms: float = INITIAL_EVENT_INTERVAL_MS
    has_interval: bool = False
    failed_at_ms: int = -FAILED_ENGINE_MS
    losses: int = 0
    last_loss_at_ms: int = -LOSS_GROUPING_MS
    backoff_until_ms: int = 0

    def has_free_slot(self) -> bool:
        """Return whether a slot is free."""
        return len(self.running) < self.sampler.slots

    def may_start(self, now_ms: int) -> bool:
        """Return whether an item may be started here.

        After a lost connection only one item at a time is started until an
        event arrives. Each further loss also starts a backoff, which
        doubles up to `MAX_BACKOFF_MS`.
        """
        if now_ms < self.backoff_until_ms:
            return False
        if self.losses and self.running:
            return False
        return self.has_free_slot()

    def on_connection_lost(self, now_ms: int) -> None:
        """Record a run whose connection failed or was lost.

        Losses within `LOSS_GROUPING_MS` of each other count as one.
        """
        if now_ms - self.last_loss_at_ms < LOSS_GROUPING_MS:
            return
        self.last_loss_at_ms = now_ms
        if self.losses:
            backoff_ms = INITIAL_BACKOFF_MS * 2 ** (self.losses - 1)
            self.backoff_until_ms = now_ms + min(MAX_BACKOFF_MS, backoff_ms)
        self.losses += 1

    def on_alive(self) -> None:
        """Record that the engine sends events; ends any backoff."""
        self.losses = 0
        self.backoff_until_ms = 0

    def on_event(self, gap_ms: float) -> None:
        """Update the average with the time between two events."""
        if not self.has_interval:
            self.event_interval_ms, self.has_interval = gap_ms, True
        self.event_interval_ms += INTERVAL_SMOOTHING * (
            gap_ms - self.event_interval_ms
        )


@dataclasses.dataclass(slots=True)
class LotPlan:
    """An open lot and the outputs of its items."""

    lot: state.Lot
    route: state.PathRoute
    accepted_at_ms: int
    groups: dict[str, list[outputs.ItemOutput]]
    is_ended: bool = False

    def unfinished_groups(self) -> list[list[outputs.ItemOutput]]:
        """Return the groups with items that have no result yet."""
        finished = (outputs.Stage.SCORED, outputs.Stage.FAILED)
        return [
            group
            for group in self.groups.values()
            if any(output.stage not in finished for output in group)
        ]

    def should_list_now(self, now_ms: int) -> bool:
        """Return whether finished results should be listed at once.

        The trainer continues once enough groups are listed. Until then,
        results are listed in larger batches, unless the lot is due soon.
        """
        all_groups = {item.group for item in self.lot.items}
        complete = len(all_groups) - len(self.unfinished_groups())
        due_at_ms = self.accepted_at_ms + self.route.due_ms
        return (
            complete >= self.lot.groups_wanted
            or now_ms > due_at_ms - DUE_MARGIN_MS
        )


class Planner:
    """Assign waiting items to free slots of engines.

    Items with the least slack go first: those whose predicted end is
    furthest past the time at which their step should end.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    is_near : callable
        Return whether a data centre is in this instance's region.
    """

    def __init__(
        self,
        clock: state.Clock,
        is_near: abc.Callable[[str], bool],
    ) -> None:
        self.clock = clock
        self.is_near = is_near
        self.lots: dict[str, LotPlan] = {}
        self.engines: dict[EngineId, EngineView] = {}
        self.kept: dict[str, outputs.ItemOutput] = {}
        self.restored: dict[str, checkpoints.Checkpoint] = {}
        self.usable: set[EngineId] = set()
        self.run_ids = itertools.count(1)

    def add_lot(
        self,
        lot: state.Lot,
        route: state.PathRoute,
        accepted_at_ms: int,
        listed: abc.Container[str],
    ) -> LotPlan:
        """Add a lot, without the items that are already listed.

        Outputs kept from an ended lot continue if their weight versions
        are allowed.
        """
        groups: dict[str, list[outputs.ItemOutput]] = {}
        for item in lot.items:
            if item.id in listed:
                continue
            output = self._take_output(lot, route, item)
            groups.setdefault(item.group, []).append(output)
        plan = LotPlan(lot, route, accepted_at_ms, groups)
        self.lots[lot.id] = plan
        return plan

    def end_lot(self, lot_id: str) -> list[outputs.ItemOutput]:
        """Remove a lot; keep and return the outputs of unfinished groups."""
        plan = self.lots.pop(lot_id, None)
        if plan is None:
            return []
        plan.is_ended = True
        kept = [
            output for group in plan.unfinished_groups() for output in group
        ]
        for output in kept:
            self.kept[output.item.id] = output
        return kept

    def drop_listed(
        self, lot_id: str, listed: abc.Container[str]
    ) -> list[outputs.ItemOutput]:
        """Remove and return unfinished outputs of listed items.

        Finished outputs stay, for a later lot that has the same group.
        """
        plan = self.lots.get(lot_id)
        if plan is None:
            return []
        finished = (outputs.Stage.SCORED, outputs.Stage.FAILED)
        dropped = [
            output
            for group in plan.groups.values()
            for output in group
            if output.item.id in listed and output.stage not in finished
        ]
        for output in dropped:
            plan.groups[output.item.group].remove(output)
        return dropped

    def restore(self, collector: checkpoints.CheckpointCollector) -> None:
        """Use the checkpoints of an earlier leader for lots added later."""
        self.restored = dict(collector.checkpoints)

    def drop_kept(self, output: outputs.ItemOutput) -> None:
        """Remove a kept output that no lot has claimed."""
        if self.kept.get(output.item.id) is output:
            del self.kept[output.item.id]

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
                self.engines[engine_id] = EngineView(
                    sampler, dict(sampler.versions)
                )
            else:
                view.sampler = sampler
        self.usable = set(available)

    def next_starts(self) -> list[StartItem]:
        """Return the items to start now, most urgent first."""
        now_ms = self.clock.now_ms()
        waiting = [
            (self._slack_ms(plan, output), plan, output)
            for plan in self.lots.values()
            for group in plan.groups.values()
            for output in group
            if output.stage is outputs.Stage.WAITING
            and output.not_before_ms <= now_ms
        ]
        waiting.sort(key=lambda row: row[0])
        starts = []
        for _, plan, output in waiting:
            view = self._best_engine(plan, output)
            if view is None:
                continue
            output.stage = outputs.Stage.RUNNING
            run_id = next(self.run_ids)
            view.running.add(run_id)
            starts.append(
                StartItem(plan.lot.id, output.item.id, view.sampler, run_id)
            )
        return starts

    def should_move(
        self, plan: LotPlan, output: outputs.ItemOutput, view: EngineView
    ) -> bool:
        """Return whether a running item would end earlier elsewhere."""
        others = [
            other.event_interval_ms
            for other in self._candidates(plan)
            if other is not view and other.has_interval
        ]
        if not others or not view.has_interval:
            return False
        best_ms = min(others)
        gain_ms = output.remaining_events() * (
            view.event_interval_ms - best_ms
        )
        is_faster = best_ms < MOVE_INTERVAL_RATIO * view.event_interval_ms
        return is_faster and gain_ms > MIN_MOVE_GAIN_MS

    def on_engine_failure(self, view: EngineView, is_lost: bool) -> None:
        """Record that an engine failed a run, or lost its connection."""
        view.failed_at_ms = self.clock.now_ms()
        if is_lost:
            view.on_connection_lost(self.clock.now_ms())

    def _take_output(
        self, lot: state.Lot, route: state.PathRoute, item: state.LotItem
    ) -> outputs.ItemOutput:
        """Return a kept or restored output if it may continue, else a new one.

        The run of an output that may not continue ends unused.
        """
        output = self.kept.pop(item.id, None)
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

    def _slack_ms(self, plan: LotPlan, output: outputs.ItemOutput) -> float:
        target_ms = plan.accepted_at_ms + STEP_TARGET_MS
        return (
            target_ms - output.remaining_events() * INITIAL_EVENT_INTERVAL_MS
        )

    def _best_engine(
        self, plan: LotPlan, output: outputs.ItemOutput
    ) -> EngineView | None:
        now_ms = self.clock.now_ms()
        return min(
            self._candidates(plan),
            key=lambda v: self._cost_ms(v, output, now_ms),
            default=None,
        )

    def _candidates(self, plan: LotPlan) -> list[EngineView]:
        """Return the engines that can start an item of a lot now."""
        model = plan.lot.model
        now_ms = self.clock.now_ms()
        return [
            view
            for engine_id, view in self.engines.items()
            if engine_id in self.usable
            and view.may_start(now_ms)
            and model not in view.loading
            and view.versions.get(model, 0) >= plan.lot.min_version
        ]

    def _cost_ms(
        self, view: EngineView, output: outputs.ItemOutput, now_ms: int
    ) -> float:
        cost_ms = output.remaining_events() * view.event_interval_ms
        share = len(view.running) / max(1, view.sampler.slots)
        cost_ms *= 1 + 0.2 * share
        if not self.is_near(view.sampler.data_centre):
            cost_ms += OTHER_REGION_COST_MS
        if now_ms - view.failed_at_ms < FAILED_ENGINE_MS:
            cost_ms += FAILED_ENGINE_MS
        if view.sampler.name == output.avoided_engine:
            cost_ms += FAILED_ENGINE_MS
        return cost_ms
