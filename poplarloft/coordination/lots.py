"""Planning of a lot: which slots to generate, score, drop and deliver.

All state in this module is soft state. A new planner of the lot starts from
the trainer's next pull, which gives the step and the slots already received.
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
    """Return the planned age of samples, in versions, when they are used.

    Generating ahead overlaps generation with training, but makes samples
    more stale. The owner's two weights select a compromise within the bound.
    """
    total = lot.idle_weight + lot.staleness_weight
    preference = lot.idle_weight / total if total > 0 else 0.0
    return int(lot.staleness_bound * preference + 0.5)


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateSample:
    """Action: generate one sample on an engine of the lot's service.

    `min_version` is the lowest weight version that is still usable.
    """

    slot: state.Slot
    attempt: int
    prompt: str
    max_tokens: int
    min_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelSample:
    """Action: cancel a generation whose slot is filled or obsolete."""

    slot: state.Slot
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ScoreSample:
    """Action: request the score of a sample from the lot's scorer."""

    slot: state.Slot
    attempt: int
    tokens: tuple[int, ...]


LotAction = GenerateSample | CancelSample | ScoreSample


@dataclasses.dataclass(slots=True)
class LotWaste:
    """Number of tokens generated but not delivered, by cause."""

    unusable_tokens: int = 0
    stale_tokens: int = 0
    duplicate_tokens: int = 0

    @property
    def total_tokens(self) -> int:
        """Sum over all causes."""
        return self.unusable_tokens + self.stale_tokens + self.duplicate_tokens


class _Stage(enum.Enum):
    GENERATING = "generating"
    SCORING = "scoring"


@dataclasses.dataclass(slots=True)
class _AttemptRecord:
    slot: state.Slot
    started_at_ms: int
    stage: _Stage = _Stage.GENERATING
    tokens_so_far: int = 0
    tokens: tuple[int, ...] = ()
    spans: tuple[state.Span, ...] = ()
    produced_by: str = ""


class LotPlanner:
    """Plans the generations of one lot.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    name : str
        The lot's name.
    lot : state.LotBody
        The lot's configuration.
    redispatch : stragglers.RedispatchPolicy
        Selects slow generations to duplicate.
    staleness : int or None
        Planned age of samples, in versions, when they are used. If None,
        `planned_staleness` is used.
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
        self.attempts: dict[int, _AttemptRecord] = {}
        self.holdings: state.Holdings | None = None
        self.superseded_trainers: set[str] = set()
        self.waste = LotWaste()
        self.next_attempt = 0

    def on_pull(self, holdings: state.Holdings) -> delivery.Offer:
        """Process a trainer's pull and return the samples to send.

        A pull that arrives after a newer one gets a response that matches
        its own holdings, but does not move the lot back. A new incarnation
        of the trainer can move it back, since it continues from its own
        checkpoint.
        """
        if self._is_newest(holdings):
            self._update_publish_pending(self.holdings, holdings)
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

    def _update_publish_pending(
        self, before: state.Holdings | None, now: state.Holdings
    ) -> None:
        """Infer whether the trainer will publish before it uses samples.

        A trainer that pulls the next step with an unchanged version is
        still training on the previous step.
        """
        if before is None or before.trainer != now.trainer:
            self.publish_pending = False
            return
        if now.weight_version > before.weight_version:
            self.publish_pending = False
        elif now.step > before.step:
            self.publish_pending = True

    def on_progress(self, attempt: int, tokens: int) -> None:
        """Record the number of tokens that a generation has produced."""
        record = self.attempts.get(attempt)
        if record is not None:
            record.tokens_so_far = tokens

    def plan(self, free_streams: int) -> list[LotAction]:
        """Return generations to cancel and to start on idle streams.

        Missing slots are generated first; streams that are left over go to
        copies of slow generations.
        """
        actions: list[LotAction] = list(self._cancel_obsolete())
        if self.holdings is None:
            return actions
        missing = self._missing_slots()
        for slot in missing[:free_streams]:
            actions.append(self._start(slot))
        spare = free_streams - min(len(missing), free_streams)
        actions += self._start_copies(spare)
        return actions

    def on_generated(
        self,
        attempt: int,
        tokens: tuple[int, ...],
        spans: tuple[state.Span, ...],
        produced_by: str,
    ) -> list[LotAction]:
        """Process a complete generation; the first one of a slot is used."""
        record = self.attempts.get(attempt)
        if record is None:
            self.waste.duplicate_tokens += len(tokens)
            return []
        duration_ms = self.clock.now_ms() - record.started_at_ms
        self.redispatch.on_finished(duration_ms, len(tokens))
        record.stage = _Stage.SCORING
        record.tokens, record.spans = tokens, spans
        record.produced_by = produced_by
        actions = self._cancel_copies(attempt, record.slot)
        return [*actions, ScoreSample(record.slot, attempt, tokens)]

    def on_generation_failed(self, attempt: int, wasted_tokens: int) -> None:
        """Process a failed or unusable generation and free its slot."""
        self.waste.unusable_tokens += wasted_tokens
        self.attempts.pop(attempt, None)

    def on_scored(self, attempt: int, score: float) -> bool:
        """Process a score; return whether the sample was buffered."""
        record = self.attempts.pop(attempt, None)
        if record is None:
            return False
        sample = state.Sample(
            record.slot, record.tokens, record.spans, score, record.produced_by
        )
        return self.buffer.put(sample)

    def _missing_slots(self) -> list[state.Slot]:
        """Return slots without a sample or an attempt, earliest first."""
        assert self.holdings is not None
        taken = {record.slot for record in self.attempts.values()}
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
        self.attempts[self.next_attempt] = _AttemptRecord(
            slot, self.clock.now_ms()
        )
        return GenerateSample(
            slot,
            self.next_attempt,
            self._prompt(slot),
            self.lot.max_tokens,
            self._min_version(slot.step),
        )

    def _min_version(self, step: int) -> int:
        """Return the oldest version allowed to generate a step's samples."""
        assert self.holdings is not None
        ahead = step - self.holdings.step + self.publish_pending
        return self.holdings.weight_version + ahead - self.staleness

    def _prompt(self, slot: state.Slot) -> str:
        position = slot.step * self.lot.groups_per_step + slot.group
        return self.lot.prompts[position % len(self.lot.prompts)]

    def _start_copies(self, spare: int) -> list[LotAction]:
        """Start copies of slow generations of the current step."""
        assert self.holdings is not None
        now_ms = self.clock.now_ms()
        copies: dict[state.Slot, int] = {}
        for record in self.attempts.values():
            copies[record.slot] = copies.get(record.slot, 0) + 1
        running = [
            stragglers.RunningGeneration(
                attempt,
                now_ms - record.started_at_ms,
                record.tokens_so_far,
                copies[record.slot],
            )
            for attempt, record in self.attempts.items()
            if record.stage is _Stage.GENERATING
            and record.slot.step == self.holdings.step
        ]
        slow = self.redispatch.slow_attempts(running)
        return [self._start(self.attempts[a].slot) for a in slow[:spare]]

    def _cancel_copies(
        self, finished: int, slot: state.Slot
    ) -> list[LotAction]:
        others = [
            attempt
            for attempt, record in self.attempts.items()
            if record.slot == slot and attempt != finished
        ]
        return [self._cancel(attempt) for attempt in others]

    def _cancel_obsolete(self) -> list[LotAction]:
        """Cancel attempts at slots that the trainer no longer needs."""
        if self.holdings is None:
            return []
        obsolete = [
            attempt
            for attempt, record in self.attempts.items()
            if record.slot.step < self.holdings.step
            or self._is_held(record.slot)
        ]
        return [self._cancel(attempt) for attempt in obsolete]

    def _cancel(self, attempt: int) -> CancelSample:
        record = self.attempts.pop(attempt)
        self.waste.duplicate_tokens += len(record.tokens)
        return CancelSample(record.slot, attempt)


def _pull_order(holdings: state.Holdings) -> tuple[int, int, int]:
    return (holdings.step, holdings.weight_version, len(holdings.held))
