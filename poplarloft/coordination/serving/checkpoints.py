"""Copies of texts under way, in pieces, and texts from such copies."""

from collections import abc
import dataclasses

from poplarloft.coordination.serving import outputs
from poplarloft import state

__all__ = ["Checkpoint", "CheckpointCollector", "CheckpointPlan"]


@dataclasses.dataclass(slots=True)
class Checkpoint:
    """The copy of one text."""

    events: list[str] = dataclasses.field(default_factory=list)
    versions: tuple[int, ...] = ()
    is_complete: bool = False
    score: str = ""

    def to_output(self, item: state.LotItem) -> outputs.ItemOutput:
        """Return the text as it stood when it was copied."""
        text = outputs.ItemOutput(item, outputs.predict_events(item))
        text.events = list(self.events)
        text.versions = list(self.versions)
        text.score = self.score
        if self.is_complete:
            text.stage = outputs.Stage.COMPLETE
        if self.score:
            text.stage = outputs.Stage.SCORED
        return text


class CheckpointCollector:
    """Copies of the texts that a runner before had under way."""

    def __init__(self) -> None:
        self.checkpoints: dict[str, Checkpoint] = {}

    def add(self, held: state.OutputCheckpoint) -> None:
        """Take new events; a gap starts the copy anew from its start."""
        copy = self.checkpoints.get(held.item_id)
        if copy is None or held.first_event == 1:
            copy = self.checkpoints[held.item_id] = Checkpoint()
        if held.first_event != len(copy.events) + 1:
            del self.checkpoints[held.item_id]
            return
        copy.events += held.events
        copy.versions = held.versions
        copy.is_complete = held.is_whole
        copy.score = held.score


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """What has been copied of a text."""

    text: outputs.ItemOutput
    events: int
    score: str


class CheckpointPlan:
    """Decides which pieces of which texts to copy next.

    Copies come in generations: the first pieces of a generation hold the
    texts from their start, so that earlier generations can go.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    min_events : int
        Texts with fewer events are not copied.
    generation_ms : int
        Time until all texts are copied from their start again.
    """

    def __init__(
        self, clock: state.Clock, min_events: int, generation_ms: int
    ) -> None:
        self.clock = clock
        self.min_events = min_events
        self.generation_ms = generation_ms
        self.sent: dict[str, _Sent] = {}
        self.begun_at_ms: int | None = None

    def begin_generation_if_due(self) -> bool:
        """Begin a new generation if it is time; tell whether it is."""
        now_ms = self.clock.now_ms()
        begun_at_ms = self.begun_at_ms
        if (
            begun_at_ms is not None
            and now_ms - begun_at_ms < self.generation_ms
        ):
            return False
        self.begun_at_ms = now_ms
        self.sent.clear()
        return True

    def restart_generation(self) -> None:
        """Begin a new generation next: a piece may be missing."""
        self.begun_at_ms = None

    def pieces(
        self, open_texts: abc.Iterable[outputs.ItemOutput]
    ) -> list[state.OutputCheckpoint]:
        """Return what is new of texts that are worth a copy."""
        found = []
        for text in open_texts:
            held = self._piece(text)
            if held is not None:
                found.append(held)
                self.sent[text.item.id] = _Sent(
                    text, len(text.events), text.score
                )
        return found

    def _piece(
        self, text: outputs.ItemOutput
    ) -> state.OutputCheckpoint | None:
        count = len(text.events)
        if count < self.min_events:
            return None
        before = self.sent.get(text.item.id)
        first = 0
        if before is not None and before.text is text:
            first = before.events if before.events <= count else 0
            if first == count and before.score == text.score:
                return None
        return state.OutputCheckpoint(
            text.item.id,
            first + 1,
            tuple(text.events[first:]),
            tuple(text.versions),
            text.stage in (outputs.Stage.COMPLETE, outputs.Stage.SCORED),
            text.score,
        )
