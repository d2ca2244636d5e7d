"""Incremental checkpoints of unfinished outputs, and restoring them."""

from collections import abc
import dataclasses

from poplarloft.coordination.serving.rollouts import outputs
from poplarloft import state

__all__ = [
    "Checkpoint",
    "CheckpointCollector",
    "CheckpointPlan",
    "split_increments",
]

MAX_BATCH_BYTES = 500_000


@dataclasses.dataclass(slots=True)
class Checkpoint:
    """The checkpointed state of one output."""

    events: list[str] = dataclasses.field(default_factory=list)
    versions: tuple[int, ...] = ()
    is_complete: bool = False
    score: str = ""
    software_version: str = ""
    service: str = ""

    def to_output(self, item: state.LotItem) -> outputs.ItemOutput:
        """Return the output in the state of the checkpoint.

        An unfinished output of an unknown software version begins anew.
        """
        predicted_events = outputs.predict_events(item)
        if not self.is_complete and not self.software_version:
            return outputs.ItemOutput(item, predicted_events)
        output = outputs.ItemOutput(
            item,
            predicted_events,
            events=list(self.events),
            versions=list(self.versions),
            score=self.score,
            software_version=self.software_version,
            service=self.service,
        )
        if self.is_complete:
            output.stage = outputs.Stage.COMPLETE
        if self.score:
            output.stage = outputs.Stage.SCORED
        return output


class CheckpointCollector:
    """Assemble the checkpoints of an earlier leader from increments."""

    def __init__(self) -> None:
        self.checkpoints: dict[str, Checkpoint] = {}

    def add(self, increment: state.CheckpointIncrement) -> None:
        """Append an increment to the checkpoint of its item.

        After a gap the checkpoint is dropped, and increments are ignored
        until one starts at the first event.
        """
        checkpoint = self.checkpoints.get(increment.item_id)
        if checkpoint is None or increment.first_event == 1:
            checkpoint = self.checkpoints[increment.item_id] = Checkpoint()
        if increment.first_event != len(checkpoint.events) + 1:
            del self.checkpoints[increment.item_id]
            return
        checkpoint.events += increment.events
        checkpoint.versions = increment.versions
        checkpoint.is_complete = increment.is_whole
        checkpoint.score = increment.score
        checkpoint.software_version = increment.software_version
        checkpoint.service = increment.service


@dataclasses.dataclass(frozen=True, slots=True)
class _Covered:
    """What the increments of an output in this cycle cover."""

    output: outputs.ItemOutput
    events: int
    score: str
    restarts: int


class CheckpointPlan:
    """Decide which events of which outputs to checkpoint next.

    Checkpoints are made in cycles. The first increment of an output in a
    cycle starts at its first event, so that the checkpoints of earlier
    cycles can be deleted.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    min_events : int
        Outputs with fewer events are not checkpointed.
    cycle_ms : int
        Time until the next cycle starts.
    """

    def __init__(
        self, clock: state.Clock, min_events: int, cycle_ms: int
    ) -> None:
        self.clock = clock
        self.min_events = min_events
        self.cycle_ms = cycle_ms
        self.covered: dict[str, _Covered] = {}
        self.started_at_ms: int | None = None

    def begin_cycle_if_due(self) -> bool:
        """Start a new cycle if one is due; return whether it was."""
        now_ms = self.clock.now_ms()
        started_at_ms = self.started_at_ms
        if (
            started_at_ms is not None
            and now_ms - started_at_ms < self.cycle_ms
        ):
            return False
        self.started_at_ms = now_ms
        self.covered.clear()
        return True

    def restart_cycle(self) -> None:
        """Make the next call of `begin_cycle_if_due` start a new cycle.

        Called when an increment may be missing.
        """
        self.started_at_ms = None

    def next_increments(
        self, unfinished: abc.Iterable[outputs.ItemOutput]
    ) -> list[state.CheckpointIncrement]:
        """Return the events added to outputs of at least `min_events`."""
        increments = []
        for output in unfinished:
            increment = self._next_increment(output)
            if increment is not None:
                increments.append(increment)
                self.covered[output.item.id] = _Covered(
                    output, len(output.events), output.score, output.restarts
                )
        return increments

    def _next_increment(
        self, output: outputs.ItemOutput
    ) -> state.CheckpointIncrement | None:
        count = len(output.events)
        if count < self.min_events:
            return None
        previous = self.covered.get(output.item.id)
        start = 0
        if (
            previous is not None
            and previous.output is output
            and previous.restarts == output.restarts
        ):
            start = previous.events
            if start == count and previous.score == output.score:
                return None
        return state.CheckpointIncrement(
            output.item.id,
            start + 1,
            tuple(output.events[start:]),
            tuple(output.versions),
            output.stage in (outputs.Stage.COMPLETE, outputs.Stage.SCORED),
            output.score,
            output.software_version,
            output.service,
        )


def split_increments(
    increments: abc.Iterable[state.CheckpointIncrement],
) -> abc.Iterator[tuple[state.CheckpointIncrement, ...]]:
    """Split increments into batches of a bounded size; yield at least one.

    A batch has at most `MAX_BATCH_BYTES` of text, or one increment. An empty
    batch still shows a standby that its checkpoints are current.
    """
    batch: list[state.CheckpointIncrement] = []
    batch_bytes = 0
    for increment in increments:
        text_bytes = sum(len(event.encode()) for event in increment.events)
        if batch and batch_bytes + text_bytes > MAX_BATCH_BYTES:
            yield tuple(batch)
            batch, batch_bytes = [], 0
        batch.append(increment)
        batch_bytes += text_bytes
    yield tuple(batch)
