"""When a standby takes over the duty of running lots, and with what."""

import dataclasses

from poplarloft.coordination.serving import texts
from poplarloft import state

__all__ = ["Copy", "Inheritance", "Succession"]

SILENCE_MS = 700
FIRST_BEAT_MS = 1_500  # a runner's first beat needs a connection
NOT_HEIR_MS = 500
DEPOSED_QUIET_MS = 10_000
TEXT_KEPT_MS = 30_000


@dataclasses.dataclass(slots=True)
class Copy:
    """The copy of one text."""

    events: list[str] = dataclasses.field(default_factory=list)
    versions: tuple[int, ...] = ()
    is_whole: bool = False
    score: str = ""
    seen_at_ms: int = 0

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
    """Copies of the texts that the runner has under way.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.copies: dict[str, Copy] = {}

    def take(self, held: state.HeldText) -> None:
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
        copy.seen_at_ms = self.clock.now_ms()

    def forget_old(self) -> None:
        """Drop the copies that were not added to for long."""
        oldest_ms = self.clock.now_ms() - TEXT_KEPT_MS
        for item_id in [
            item_id
            for item_id, copy in self.copies.items()
            if copy.seen_at_ms < oldest_ms
        ]:
            del self.copies[item_id]


class Succession:
    """Decides when the runner is taken for dead.

    A standby that can't hear the runner takes over once; one that was
    deposed itself waits for the lease to end, so that two daemons that
    only can't reach each other don't take turns.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    name : str
        This daemon.
    """

    def __init__(self, clock: state.Clock, name: str) -> None:
        self.clock = clock
        self.name = name
        self.runner: state.RunnerRecord | None = None
        self.heard_at_ms = 0
        self.is_first = True
        self.heir = ""
        self.quiet_until_ms = 0

    def follow(self, runner: state.RunnerRecord) -> None:
        """Note who runs the lots; silence goes on for the same runner."""
        if runner == self.runner:
            return
        self.runner = runner
        self.heard_at_ms = self.clock.now_ms()
        self.is_first = True
        self.heir = ""

    def on_beat(self, beat: state.Beat) -> None:
        """Note that the runner lives."""
        self.heard_at_ms = self.clock.now_ms()
        self.is_first = False
        self.heir = beat.heir

    def on_deposed(self) -> None:
        """Note that another daemon took the duty from this one."""
        self.runner = None
        self.quiet_until_ms = self.clock.now_ms() + DEPOSED_QUIET_MS

    def should_take_over(self) -> bool:
        """Tell whether this daemon should take the duty now."""
        runner = self.runner
        if runner is None:
            return False
        if runner.name == self.name:
            # An earlier start of this daemon, which has ended.
            return True
        now_ms = self.clock.now_ms()
        if now_ms < self.quiet_until_ms:
            return False
        allowed_ms = FIRST_BEAT_MS if self.is_first else SILENCE_MS
        if self.heir != self.name:
            allowed_ms += NOT_HEIR_MS
        return now_ms - self.heard_at_ms > allowed_ms
