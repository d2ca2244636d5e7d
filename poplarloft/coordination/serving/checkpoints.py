"""Incremental checkpoints of unfinished outputs, and restoring them."""

from collections import abc
import dataclasses

from poplarloft.coordination.serving import outputs
from poplarloft import state

__all__ = ["Checkpoint", "CheckpointCollector", "CheckpointPlan"]


@dataclasses.dataclass(slots=True)
class Checkpoint:
    """The checkpointed state of one output."""

    events: list[str] = dataclasses.field(default_factory=list)
    versions: tuple[int, ...] = ()
    is_complete: bool = False
    score: str = ""

    def to_output(self, item: state.LotItem) -> outputs.ItemOutput:
        """Return the output in the state of the checkpoint."""
        output = outputs.ItemOutput(item, outputs.predict_events(item))
        output.events = list(self.events)
        output.versions = list(self.versions)
        output.score = self.score
        if self.is_complete:
            output.stage = outputs.Stage.COMPLETE
        if self.score:
            output.stage = outputs.Stage.SCORED
        return output


class CheckpointCollector:
    """Assemble the checkpoints that an earlier leader made."""

    def __init__(self) -> None:
        self.checkpoints: dict[str, Checkpoint] = {}

    def add(self, piece: state.OutputCheckpoint) -> None:
        """Append new events to a checkpoint.

        After a gap the checkpoint is dropped, until one that starts at the
        first event comes.
        """
        checkpoint = self.checkpoints.get(piece.item_id)
        if checkpoint is None or piece.first_event == 1:
            checkpoint = self.checkpoints[piece.item_id] = Checkpoint()
        if piece.first_event != len(checkpoint.events) + 1:
            del self.checkpoints[piece.item_id]
            return
        checkpoint.events += piece.events
        checkpoint.versions = piece.versions
        checkpoint.is_complete = piece.is_whole
        checkpoint.score = piece.score


@dataclasses.dataclass(frozen=True, slots=True)
class _Covered:
    """What the last checkpoint of an output covers."""

    output: outputs.ItemOutput
    events: int
    score: str


class CheckpointPlan:
    """Decide which events of which outputs to checkpoint next.

    Checkpoints are made in generations. The first checkpoint of an output
    in a generation starts at its first event, so that the checkpoints of
    earlier generations can be deleted.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    min_events : int
        Outputs with fewer events are not checkpointed.
    generation_ms : int
        Time until the next generation starts.
    """

    def __init__(
        self, clock: state.Clock, min_events: int, generation_ms: int
    ) -> None:
        self.clock = clock
        self.min_events = min_events
        self.generation_ms = generation_ms
        self.covered: dict[str, _Covered] = {}
        self.started_at_ms: int | None = None

    def begin_generation_if_due(self) -> bool:
        """Start a new generation if one is due; return whether it was."""
        now_ms = self.clock.now_ms()
        started_at_ms = self.started_at_ms
        if (
            started_at_ms is not None
            and now_ms - started_at_ms < self.generation_ms
        ):
            return False
        self.started_at_ms = now_ms
        self.covered.clear()
        return True

    def restart_generation(self) -> None:
        """Start a new generation next, since a checkpoint may be missing."""
        self.started_at_ms = None

    def pieces(
        self, open_outputs: abc.Iterable[outputs.ItemOutput]
    ) -> list[state.OutputCheckpoint]:
        """Return checkpoints of the events added to long enough outputs."""
        pieces = []
        for output in open_outputs:
            piece = self._piece(output)
            if piece is not None:
                pieces.append(piece)
                self.covered[output.item.id] = _Covered(
                    output, len(output.events), output.score
                )
        return pieces

    def _piece(
        self, output: outputs.ItemOutput
    ) -> state.OutputCheckpoint | None:
        count = len(output.events)
        if count < self.min_events:
            return None
        previous = self.covered.get(output.item.id)
        start = 0
        if previous is not None and previous.output is output:
            start = previous.events if previous.events <= count else 0
            if start == count and previous.score == output.score:
                return None
        return state.OutputCheckpoint(
            output.item.id,
            start + 1,
            tuple(output.events[start:]),
            tuple(output.versions),
            output.stage in (outputs.Stage.COMPLETE, outputs.Stage.SCORED),
            output.score,
        )
