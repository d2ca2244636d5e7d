"""Copies of texts under way, in pieces, and texts from such copies."""

from collections import abc
import dataclasses

from poplarloft.coordination.serving import texts
from poplarloft import state

__all__ = ["Copy", "CopyPlan", "Inheritance"]


@dataclasses.dataclass(slots=True)
class Copy:
    """The copy of one text."""

    events: list[str] = dataclasses.field(default_factory=list)
    versions: tuple[int, ...] = ()
    is_whole: bool = False
    score: str = ""

    def to_text(self, item: state.LotItem) -> texts.ItemText:
        """Return the text as it stood when it was copied."""
        text = texts.ItemText(item, texts.predict_events(item))
        text.events = list(self.events)
        text.versions = list(self.versions)
        text.score = self.score
        if self.is_whole:
            text.stage = texts.Stage.WHOLE
        if self.score:
            text.stage = texts.Stage.SCORED
        return text


class Inheritance:
    """Copies of the texts that a runner before had under way."""

    def __init__(self) -> None:
        self.copies: dict[str, Copy] = {}

    def take(self, held: state.OutputCheckpoint) -> None:
        """Take new events; a gap starts the copy anew from its start."""
        copy = self.copies.get(held.item_id)
        if copy is None or held.first_event == 1:
            copy = self.copies[held.item_id] = Copy()
        if held.first_event != len(copy.events) + 1:
            del self.copies[held.item_id]
            return
        copy.events += held.events
        copy.versions = held.versions
        copy.is_whole = held.is_whole
        copy.score = held.score


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """What has been copied of a text."""

    text: texts.ItemText
    events: int
    score: str


class CopyPlan:
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

    def begins_generation(self) -> bool:
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

    def restart(self) -> None:
        """Begin a new generation next: a piece may be missing."""
        self.begun_at_ms = None

    def pieces(
        self, open_texts: abc.Iterable[texts.ItemText]
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

    def _piece(self, text: texts.ItemText) -> state.OutputCheckpoint | None:
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
            text.stage in (texts.Stage.WHOLE, texts.Stage.SCORED),
            text.score,
        )
