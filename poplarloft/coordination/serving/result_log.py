"""The list of a lot's results, as positions fixed by the store.

Results are written in batches, each under a key that must not exist yet.
Whoever writes a batch first fixes the positions of its results; another
writer finds a conflict, adopts the batch and goes on after it. So two
runners of a lot can't fork its list.
"""

from collections import abc
import dataclasses
import enum

from poplarloft import state

__all__ = ["ReadBatch", "ResultLog", "WriteBatch"]


class _Phase(enum.StrEnum):
    IDLE = "idle"
    WRITING = "writing"
    SETTLING = "settling"


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBatch:
    """Action: write `results` as batch `number` if there is none yet."""

    number: int
    results: tuple[state.LotResult, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBatch:
    """Action: read batch `number`, which may have been written."""

    number: int


class ResultLog:
    """Decides what to write next to one lot's list.

    Parameters
    ----------
    total : int
        Items of the lot.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.listed: dict[str, state.LotResult] = {}
        self.next_batch = 0
        self.pending: dict[str, state.LotResult] = {}
        self.sent: tuple[state.LotResult, ...] = ()
        self.phase = _Phase.IDLE

    @property
    def is_complete(self) -> bool:
        """Tell whether each item is listed."""
        return len(self.listed) >= self.total

    def add(self, finished: state.LotResult) -> None:
        """Take a result; a second one for an item is dropped."""
        if finished.item_id not in self.listed:
            self.pending.setdefault(finished.item_id, finished)

    def apply_batch(self, results: abc.Iterable[state.LotResult]) -> None:
        """Take the next batch as it stands in the store."""
        for listed in results:
            self.listed.setdefault(listed.item_id, listed)
            self.pending.pop(listed.item_id, None)
        self.next_batch += 1
        self.phase = _Phase.IDLE

    def next_action(self) -> WriteBatch | ReadBatch | None:
        """Return what to do, None while nothing is due or one is sent."""
        if self.phase is _Phase.SETTLING:
            return ReadBatch(self.next_batch)
        if self.phase is _Phase.WRITING or not self.pending:
            return None
        self.sent = tuple(self.pending.values())
        self.phase = _Phase.WRITING
        return WriteBatch(self.next_batch, self.sent)

    def on_write(self, status: state.WriteStatus) -> None:
        """Take the outcome of the batch that was sent.

        A write that may have been done is settled by reading: it holds
        only once the store shows it.
        """
        match status:
            case state.WriteStatus.APPLIED:
                self.apply_batch(self.sent)
            case state.WriteStatus.NOT_DONE:
                self.phase = _Phase.IDLE
            case _:
                self.phase = _Phase.SETTLING

    def on_absent(self) -> None:
        """Note that the store holds no such batch yet: send it again.

        The key's absence is a condition of each write of this batch, so
        an earlier one that is done late excludes a later one.
        """
        self.phase = _Phase.IDLE
