"""One lot's progress: which slots to generate, score, drop and deliver.

All state here is soft. A new runner of the lot starts from the trainer's
next pull, which names the step and what the trainer holds.
"""

import dataclasses
import enum

from poplarloft.coordination import delivery
from poplarloft.coordination import stragglers
from poplarloft import state

__all__ = [
    "LotAction",
    "CancelSample",
    "GenerateSample",
    "LotPlanner",
    "LotWaste",
    "ScoreSample",
    "planned_staleness",
]


def planned_staleness(lot: state.LotBody) -> int:
    """Return how old, in versions, a sample is planned to be on use.

    Running ahead hides the generation behind the training but ages the
    samples: the owner's weights choose a point within the bound.
    """
    total = lot.idle_weight + lot.staleness_weight
    preference = lot.idle_weight / total if total > 0 else 0.0
    return int(lot.staleness_bound * preference + 0.5)


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateSample:
    """Action: stream one sample from an engine of the lot's service.

    `min_version` is the lowest weight version that is still of use.
    """

    slot: state.Slot
    attempt: int
    prompt: str
    max_tokens: int
    min_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelSample:
    """Action: cancel a generation whose slot has been filled."""

    slot: state.Slot
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ScoreSample:
    """Action: have the lot's scorer score a generated sample."""

    slot: state.Slot
    attempt: int
    tokens: tuple[int, ...]


LotAction = GenerateSample | CancelSample | ScoreSample


@dataclasses.dataclass(slots=True)
class LotWaste:
    """Tokens that were generated and not delivered, by cause."""

    unusable_tokens: int = 0
    stale_tokens: int = 0
    duplicate_tokens: int = 0

    @property
    def total_tokens(self) -> int:
        """Return the sum over all causes."""
        return self.unusable_tokens + self.stale_tokens + self.duplicate_tokens


class _Stage(enum.Enum):
    GENERATING = "generating"
    SCORING = "scoring"


@dataclasses.dataclass(slots=True)
class _Work:
    slot: state.Slot
    started_at_ms: int
    stage: _Stage = _Stage.GENERATING
    tokens_so_far: int = 0
    tokens: tuple[int, ...] = ()
    spans: tuple[state.Span, ...] = ()
    produced_by: str = ""


class LotPlanner:
    """Decides what to generate for one lot.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    name : str
        The lot's name.
    lot : state.LotBody
        What the operators ordered.
    redispatch : stragglers.RedispatchPolicy
        Names slow generations.
    staleness : int or None
        Versions that samples are planned to be old on use; None takes
        `planned_staleness`.
    """

    def __init__(
        self,
        clock: state.Clock,
        name: str,
        lot: state.LotBody,
        redispatch: stragglers.RedispatchPolicy,
        staleness: int | None = None,
    ) -> None:
        self.clock = clock
        self.name = name
        self.lot = lot
        self.redispatch = redispatch
        if staleness is None:
            staleness = planned_staleness(lot)
        self.staleness = min(staleness, lot.staleness_bound)
        self.publish_pending = False
        self.buffer = delivery.SampleBuffer(lot.staleness_bound)
        self.attempts: dict[int, _Work] = {}
        self.holdings: state.Holdings | None = None
        self.superseded_trainers: set[str] = set()
        self.waste = LotWaste()
        self.next_attempt = 0

    def on_pull(self, holdings: state.Holdings) -> delivery.Offer:
        """Take a trainer's pull; return what to answer.

        An older pull that arrives late is answered from its own words
        but does not move the lot back. A new incarnation of the trainer
        may: it goes on from its own checkpoint.
        """
        if self._is_newest(holdings):
            self._note_publish(self.holdings, holdings)
            self.holdings = holdings
        offer = self.buffer.offer(holdings)
        self.waste.stale_tokens += sum(len(s.tokens) for s in offer.stale)
        return offer

    def _is_newest(self, holdings: state.Holdings) -> bool:
        newest = self.holdings
        if newest is None:
            return True
        if holdings.trainer in self.superseded_trainers:
            return False
        if holdings.trainer != newest.trainer:
            self.superseded_trainers.add(newest.trainer)
            return True
        return _pull_order(holdings) >= _pull_order(newest)

    def _note_publish(
        self, before: state.Holdings | None, now: state.Holdings
    ) -> None:
        """Infer whether the trainer will publish before it uses samples.

        A trainer that asks for the next step under the old version is
        still training on the step before.
        """
        if before is None or before.trainer != now.trainer:
            self.publish_pending = False
            return
        if now.weight_version > before.weight_version:
            self.publish_pending = False
        elif now.step > before.step:
            self.publish_pending = True

    def on_progress(self, attempt: int, tokens: int) -> None:
        """Note how many tokens a generation has given so far."""
        work = self.attempts.get(attempt)
        if work is not None:
            work.tokens_so_far = tokens

    def plan(self, free_streams: int) -> list[LotAction]:
        """Return generations to start on `free_streams` idle streams."""
        actions: list[LotAction] = list(self._cancel_obsolete())
        if self.holdings is None:
            return actions
        wanted = self._missing_slots()
        for slot in wanted[:free_streams]:
            actions.append(self._start(slot))
        spare = free_streams - min(len(wanted), free_streams)
        actions += self._start_copies(spare)
        return actions

    def on_generated(
        self,
        attempt: int,
        tokens: tuple[int, ...],
        spans: tuple[state.Span, ...],
        produced_by: str,
    ) -> list[LotAction]:
        """Take a whole labelled generation; the first of a slot wins."""
        work = self.attempts.get(attempt)
        if work is None:
            self.waste.duplicate_tokens += len(tokens)
            return []
        duration_ms = self.clock.now_ms() - work.started_at_ms
        self.redispatch.on_finished(duration_ms, len(tokens))
        work.stage = _Stage.SCORING
        work.tokens, work.spans = tokens, spans
        work.produced_by = produced_by
        actions = self._cancel_copies(attempt, work.slot)
        return [*actions, ScoreSample(work.slot, attempt, tokens)]

    def on_generation_failed(self, attempt: int, wasted_tokens: int) -> None:
        """Take a failed or unusable generation; the slot is open again."""
        self.waste.unusable_tokens += wasted_tokens
        self.attempts.pop(attempt, None)

    def on_scored(self, attempt: int, score: float) -> bool:
        """Take a score; tell whether the sample waits for delivery."""
        work = self.attempts.pop(attempt, None)
        if work is None:
            return False
        sample = state.Sample(
            work.slot, work.tokens, work.spans, score, work.produced_by
        )
        return self.buffer.put(sample)

    def _missing_slots(self) -> list[state.Slot]:
        """Return slots without a sample or work, in order of need."""
        assert self.holdings is not None
        taken = {work.slot for work in self.attempts.values()}
        taken.update(self.buffer.samples)
        newest = self.holdings.weight_version
        missing = []
        for step in range(self.holdings.step, self.lot.steps):
            if self._min_version(step) > newest:
                break
            for slot in self._slots(step):
                if slot not in taken and not self._is_held(slot):
                    missing.append(slot)
        return missing

    def _slots(self, step: int) -> list[state.Slot]:
        return [
            state.Slot(self.name, step, group, index)
            for group in range(self.lot.groups_per_step)
            for index in range(self.lot.samples_per_group)
        ]

    def _is_held(self, slot: state.Slot) -> bool:
        assert self.holdings is not None
        return (
            slot.step == self.holdings.step
            and (slot.group, slot.index) in self.holdings.held
        )

    def _start(self, slot: state.Slot) -> GenerateSample:
        assert self.holdings is not None
        self.next_attempt += 1
        self.attempts[self.next_attempt] = _Work(slot, self.clock.now_ms())
        return GenerateSample(
            slot,
            self.next_attempt,
            self._prompt(slot),
            self.lot.max_tokens,
            self._min_version(slot.step),
        )

    def _min_version(self, step: int) -> int:
        """Return the oldest version that may produce samples of a step."""
        assert self.holdings is not None
        ahead = step - self.holdings.step + self.publish_pending
        return self.holdings.weight_version + ahead - self.staleness

    def _prompt(self, slot: state.Slot) -> str:
        position = slot.step * self.lot.groups_per_step + slot.group
        return self.lot.prompts[position % len(self.lot.prompts)]

    def _start_copies(self, spare: int) -> list[LotAction]:
        """Start slow generations of the current step a second time."""
        assert self.holdings is not None
        now_ms = self.clock.now_ms()
        copies: dict[state.Slot, int] = {}
        for work in self.attempts.values():
            copies[work.slot] = copies.get(work.slot, 0) + 1
        running = [
            stragglers.RunningGeneration(
                attempt,
                now_ms - work.started_at_ms,
                work.tokens_so_far,
                copies[work.slot],
            )
            for attempt, work in self.attempts.items()
            if work.stage is _Stage.GENERATING
            and work.slot.step == self.holdings.step
        ]
        slow = self.redispatch.slow_attempts(running)
        return [self._start(self.attempts[a].slot) for a in slow[:spare]]

    def _cancel_copies(self, winner: int, slot: state.Slot) -> list[LotAction]:
        others = [
            attempt
            for attempt, work in self.attempts.items()
            if work.slot == slot and attempt != winner
        ]
        return [self._cancel(attempt) for attempt in others]

    def _cancel_obsolete(self) -> list[LotAction]:
        """Cancel work on steps that the trainer has left behind."""
        if self.holdings is None:
            return []
        obsolete = [
            attempt
            for attempt, work in self.attempts.items()
            if work.slot.step < self.holdings.step or self._is_held(work.slot)
        ]
        return [self._cancel(attempt) for attempt in obsolete]

    def _cancel(self, attempt: int) -> CancelSample:
        work = self.attempts.pop(attempt)
        self.waste.duplicate_tokens += len(work.tokens)
        return CancelSample(work.slot, attempt)


def _pull_order(holdings: state.Holdings) -> tuple[int, int, int]:
    return (holdings.step, holdings.weight_version, len(holdings.held))
