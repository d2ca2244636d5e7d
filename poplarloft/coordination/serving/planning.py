"""Which item of which lot runs next, and on which engine."""

from collections import abc
import dataclasses
import itertools

from poplarloft.coordination.serving import checkpoints
from poplarloft.coordination.serving import outputs
from poplarloft import state

__all__ = ["EngineView", "LotPlan", "Planner", "StartItem"]

FIRST_PACE_MS = 50.0
PACE_SMOOTHING = 0.1
STEP_TARGET_MS = 4_000
FAILED_ENGINE_MS = 2_000
FIRST_DOUBT_MS = 500
MAX_DOUBT_MS = 4_000
ONE_LOSS_MS = 300
LAST_CHANCE_MS = 1_500
MOVE_GAIN_MS = 1_000.0  # a move costs prefill, a slot's wait, two trips
MOVE_PACE_SHARE = 0.9
REGION_COST_MS = 60.0
EngineId = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class StartItem:
    """Action: run an item's text on an engine, from where it stands."""

    lot_id: str
    item_id: str
    sampler: state.Sampler
    run_id: int


@dataclasses.dataclass(slots=True)
class EngineView:
    """What the runner knows of one start of an engine.

    Parameters
    ----------
    sampler : state.Sampler
        Its newest announcement.
    versions : dict of str to int
        Weight versions, from what it showed last.
    loading : set of str
        Models whose weights it is loading; it starts none of their items.
    event_interval_ms : float
        Time between two events of a text.
    """

    sampler: state.Sampler
    versions: dict[str, int]
    loading: set[str] = dataclasses.field(default_factory=set)
    running: set[int] = dataclasses.field(default_factory=set)
    event_interval_ms: float = FIRST_PACE_MS
    has_interval: bool = False
    failed_at_ms: int = -FAILED_ENGINE_MS
    losses: int = 0
    last_loss_at_ms: int = -ONE_LOSS_MS
    backoff_until_ms: int = 0

    def has_room(self) -> bool:
        """Tell whether a slot is free."""
        return len(self.running) < self.sampler.slots

    def may_start(self, now_ms: int) -> bool:
        """Tell whether an item may be started here.

        After a lost connection one item at a time is started until an
        event comes; after further losses only now and then.
        """
        if now_ms < self.backoff_until_ms:
            return False
        if self.losses and self.running:
            return False
        return self.has_room()

    def on_connection_lost(self, now_ms: int) -> None:
        """Note that a run's connection was lost or never came about.

        Runs that are lost together count as one loss.
        """
        if now_ms - self.last_loss_at_ms < ONE_LOSS_MS:
            return
        self.last_loss_at_ms = now_ms
        if self.losses:
            doubt_ms = FIRST_DOUBT_MS * 2 ** (self.losses - 1)
            self.backoff_until_ms = now_ms + min(MAX_DOUBT_MS, doubt_ms)
        self.losses += 1

    def on_alive(self) -> None:
        """Note that the engine sends events."""
        self.losses = 0
        self.backoff_until_ms = 0

    def on_event(self, gap_ms: float) -> None:
        """Note the time between two events."""
        if not self.has_interval:
            self.event_interval_ms, self.has_interval = gap_ms, True
        self.event_interval_ms += PACE_SMOOTHING * (
            gap_ms - self.event_interval_ms
        )


@dataclasses.dataclass(slots=True)
class LotPlan:
    """An open lot and the texts of its items."""

    lot: state.Lot
    route: state.PathRoute
    accepted_at_ms: int
    groups: dict[str, list[outputs.ItemOutput]]
    is_ended: bool = False

    def unfinished_groups(self) -> list[list[outputs.ItemOutput]]:
        """Return the groups that are not finished."""
        done = (outputs.Stage.SCORED, outputs.Stage.FAILED)
        return [
            group
            for group in self.groups.values()
            if any(text.stage not in done for text in group)
        ]

    def should_list_now(self, now_ms: int) -> bool:
        """Tell whether what is finished now should be listed at once.

        Its trainer goes on when enough groups are listed; before that,
        results can wait for each other, unless the lot is soon due.
        """
        all_groups = {item.group for item in self.lot.items}
        complete = len(all_groups) - len(self.unfinished_groups())
        due_at_ms = self.accepted_at_ms + self.route.due_ms
        return (
            complete >= self.lot.groups_wanted
            or now_ms > due_at_ms - LAST_CHANCE_MS
        )


class Planner:
    """Matches waiting items with free slots.

    Items with the least slack go first: those whose predicted time
    reaches furthest past the time at which their step should end.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    is_near : callable
        Tells whether a data centre is in this instance's region.
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
        """Take a lot, without the items that are listed already.

        Texts kept from an ended lot go on if their versions are allowed.
        """
        groups: dict[str, list[outputs.ItemOutput]] = {}
        for item in lot.items:
            if item.id in listed:
                continue
            text = self._take_kept(lot, route, item)
            groups.setdefault(item.group, []).append(text)
        plan = LotPlan(lot, route, accepted_at_ms, groups)
        self.lots[lot.id] = plan
        return plan

    def end_lot(self, lot_id: str) -> list[outputs.ItemOutput]:
        """Forget a lot; keep and return the texts of unfinished groups."""
        plan = self.lots.pop(lot_id, None)
        if plan is None:
            return []
        plan.is_ended = True
        kept = [text for group in plan.unfinished_groups() for text in group]
        for text in kept:
            self.kept[text.item.id] = text
        return kept

    def drop_listed(
        self, lot_id: str, listed: abc.Container[str]
    ) -> list[outputs.ItemOutput]:
        """Forget unfinished texts of listed items; return them.

        Finished texts stay, for a lot that brings their group back.
        """
        plan = self.lots.get(lot_id)
        if plan is None:
            return []
        done = (outputs.Stage.SCORED, outputs.Stage.FAILED)
        dropped = [
            text
            for group in plan.groups.values()
            for text in group
            if text.item.id in listed and text.stage not in done
        ]
        for text in dropped:
            plan.groups[text.item.group].remove(text)
        return dropped

    def restore(self, inheritance: checkpoints.CheckpointCollector) -> None:
        """Take over the texts of another runner."""
        self.restored = dict(inheritance.checkpoints)

    def drop_kept(self, text: outputs.ItemOutput) -> None:
        """Forget a kept text that no lot asked for."""
        if self.kept.get(text.item.id) is text:
            del self.kept[text.item.id]

    def update_engines(self, samplers: abc.Iterable[state.Sampler]) -> None:
        """Take the engines that may get items now."""
        there = {sampler.engine_id: sampler for sampler in samplers}
        for life in [life for life in self.engines if life not in there]:
            if not self.engines[life].running:
                del self.engines[life]
        for life, sampler in there.items():
            view = self.engines.get(life)
            if view is None:
                self.engines[life] = EngineView(
                    sampler, dict(sampler.versions)
                )
            else:
                view.sampler = sampler
        self.usable = set(there)

    def next_starts(self) -> list[StartItem]:
        """Return the items to start now, most urgent first."""
        now_ms = self.clock.now_ms()
        waiting = [
            (self._slack_ms(plan, text), plan, text)
            for plan in self.lots.values()
            for group in plan.groups.values()
            for text in group
            if text.stage is outputs.Stage.WAITING
            and text.not_before_ms <= now_ms
        ]
        waiting.sort(key=lambda row: row[0])
        found = []
        for _, plan, text in waiting:
            view = self._best_engine(plan, text)
            if view is None:
                continue
            text.stage = outputs.Stage.RUNNING
            run_id = next(self.run_ids)
            view.running.add(run_id)
            found.append(
                StartItem(plan.lot.id, text.item.id, view.sampler, run_id)
            )
        return found

    def should_move(
        self, plan: LotPlan, text: outputs.ItemOutput, view: EngineView
    ) -> bool:
        """Tell whether a running text would end earlier elsewhere."""
        others = [
            other.event_interval_ms
            for other in self._candidates(plan)
            if other is not view and other.has_interval
        ]
        if not others or not view.has_interval:
            return False
        best_ms = min(others)
        gain_ms = text.remaining_events() * (view.event_interval_ms - best_ms)
        is_faster = best_ms < MOVE_PACE_SHARE * view.event_interval_ms
        return is_faster and gain_ms > MOVE_GAIN_MS

    def on_engine_failure(self, view: EngineView, is_lost: bool) -> None:
        """Note that an engine refused, or that its connection is lost."""
        view.failed_at_ms = self.clock.now_ms()
        if is_lost:
            view.on_connection_lost(self.clock.now_ms())

    def _take_kept(
        self, lot: state.Lot, route: state.PathRoute, item: state.LotItem
    ) -> outputs.ItemOutput:
        """Return a kept text if it may go on, else a new one.

        The run of a text that may not go on ends with nobody to take it.
        """
        text = self.kept.pop(item.id, None)
        if text is None and item.id in self.restored:
            text = self.restored.pop(item.id).to_output(item)
        if (
            text is None
            or text.stage is outputs.Stage.FAILED
            or not text.is_allowed(lot.min_version, route.single_version)
        ):
            return outputs.ItemOutput(item, outputs.predict_events(item))
        has_other_reward = text.item.reward != item.reward
        if text.stage is outputs.Stage.SCORED and has_other_reward:
            text.stage = outputs.Stage.COMPLETE
        text.item = item
        return text

    def _slack_ms(self, plan: LotPlan, text: outputs.ItemOutput) -> float:
        target_ms = plan.accepted_at_ms + STEP_TARGET_MS
        return target_ms - text.remaining_events() * FIRST_PACE_MS

    def _best_engine(
        self, plan: LotPlan, text: outputs.ItemOutput
    ) -> EngineView | None:
        now_ms = self.clock.now_ms()
        return min(
            self._candidates(plan),
            key=lambda v: self._cost_ms(v, text, now_ms),
            default=None,
        )

    def _candidates(self, plan: LotPlan) -> list[EngineView]:
        """Return the engines that can start an item of a lot now."""
        model = plan.lot.model
        now_ms = self.clock.now_ms()
        return [
            view
            for life, view in self.engines.items()
            if life in self.usable
            and view.may_start(now_ms)
            and model not in view.loading
            and view.versions.get(model, 0) >= plan.lot.min_version
        ]

    def _cost_ms(
        self, view: EngineView, text: outputs.ItemOutput, now_ms: int
    ) -> float:
        cost_ms = text.remaining_events() * view.event_interval_ms
        share = len(view.running) / max(1, view.sampler.slots)
        cost_ms *= 1 + 0.2 * share
        if not self.is_near(view.sampler.data_centre):
            cost_ms += REGION_COST_MS
        if now_ms - view.failed_at_ms < FAILED_ENGINE_MS:
            cost_ms += FAILED_ENGINE_MS
        if view.sampler.name == text.avoided_engine:
            cost_ms += FAILED_ENGINE_MS
        return cost_ms
