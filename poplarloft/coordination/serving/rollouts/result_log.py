"""The append-only log of a lot's results, ordered by the store.

Results are written in batches, each under a key that must not exist yet.
The first writer of a batch fixes the positions of its results. Any other
writer gets a conflict, reads the batch and continues after it, so two
leaders that run the same lot can't fork its log.
"""

from collections import abc
import dataclasses
import enum

from poplarloft import state

__all__ = ["ReadBatch", "ResultLog", "WriteBatch"]

# Less than half of what a value of the store may have; one result by itself
# has less than all of it.
MAX_BATCH_BYTES = 500_000
RESULT_OVERHEAD_BYTES = 500  # for all but the text


class _Phase(enum.StrEnum):
    """What happens to the next batch.

    While `SETTLING`, the batch may be in the store, and is read next.
    """

    IDLE = "idle"
    WRITING = "writing"
    SETTLING = "settling"


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBatch:
    """Action: write `results` as batch `number` unless that batch exists."""

    number: int
    results: tuple[state.LotResult, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBatch:
    """Action: read batch `number`, which may have been written."""

    number: int


class ResultLog:
    """Decide which batch to write or read next for one lot.

    Parameters
    ----------
    total : int
        Number of items of the lot.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.recorded: dict[str, state.LotResult] = {}
        self.next_batch = 0
        self.pending: dict[str, state.LotResult] = {}
        self.in_flight: tuple[state.LotResult, ...] = ()
        self.phase = _Phase.IDLE

    @property
    def is_complete(self) -> bool:
        """Whether the result of each item is in the log."""
        return len(self.recorded) >= self.total

    def add(self, result: state.LotResult) -> None:
        """Add a result to write; further results of an item are dropped."""
        if result.item_id not in self.recorded:
            self.pending.setdefault(result.item_id, result)

    def apply_batch(
        self, number: int, results: abc.Iterable[state.LotResult]
    ) -> bool:
        """Append a batch of the store if it is the next one.

        Results behind a batch that is missing have no position yet.

        Returns
        -------
        bool
            Whether all batches up to this one are known now.
        """
        if number != self.next_batch:
            return number < self.next_batch
        for result in results:
            self.recorded.setdefault(result.item_id, result)
            self.pending.pop(result.item_id, None)
        self.next_batch += 1
        self.phase = _Phase.IDLE
        return True

    def next_action(self) -> WriteBatch | ReadBatch | None:
        """Return the next action, None if there is none or one is running."""
        if self.phase is _Phase.SETTLING:
            return ReadBatch(self.next_batch)
        if self.phase is _Phase.WRITING or not self.pending:
            return None
        self.in_flight = self._next_results()
        self.phase = _Phase.WRITING
        return WriteBatch(self.next_batch, self.in_flight)

    def _next_results(self) -> tuple[state.LotResult, ...]:
        """Return pending results that fit into one batch, at least one."""
        chosen: list[state.LotResult] = []
        batch_bytes = 0
        for result in self.pending.values():
            batch_bytes += len(result.text.encode()) + RESULT_OVERHEAD_BYTES
            if chosen and batch_bytes > MAX_BATCH_BYTES:
                break
            chosen.append(result)
        return tuple(chosen)

    def on_write(self, status: state.WriteStatus) -> None:
        """Process the outcome of a write.

        After a conflict or an unknown outcome the batch is read next: its
        results are in the log only once the store returns them.
        """
        match status:
            case state.WriteStatus.APPLIED:
                self.apply_batch(self.next_batch, self.in_flight)
            case state.WriteStatus.NOT_DONE:
                self.phase = _Phase.IDLE
            case _:
                self.phase = _Phase.SETTLING

    def on_absent(self) -> None:
        """Process a read that found no batch; the next action writes it.

        Each write of this batch requires the key to be absent, so if an
        earlier write is applied late, the later one fails.
        """
        self.phase = _Phase.IDLE
