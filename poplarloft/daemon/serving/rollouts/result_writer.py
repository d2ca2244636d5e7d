"""Writes the results of a lot to its result log in the store."""

import asyncio
from collections import abc

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon import tasks
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["ResultWriter"]

BATCH_DELAY_MS = 1_000
RETRY_MS = 200
MS_PER_S = 1_000


class ResultWriter:
    """Appends the results of one lot to its log, in batches.

    Nothing is written before the log has been read or assumed empty.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    store : state.RevisionStore
        Holds the log.
    lot : state.Lot
        The lot whose results are written.
    task_set : tasks.TaskSet
        Runs the writes.
    on_recorded : callable
        Called with the lot's id after each batch that is known to be
        in the store.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        lot: state.Lot,
        task_set: tasks.TaskSet,
        on_recorded: abc.Callable[[str], None],
    ) -> None:
        self.clock = clock
        self.store = store
        self.lot = lot
        self.task_set = task_set
        self.on_recorded = on_recorded
        self.log = serving.ResultLog(len(lot.items))
        self.flush_timer = tasks.WakeTimer(self._flush)
        self.is_flush_scheduled = False
        self.write_task: asyncio.Task[None] | None = None
        self.is_read = False
        self.is_closed = False

    def assume_empty(self) -> None:
        """Allow writes without reading the log first, as for a new lot.

        If the log is not empty after all, the first write conflicts and
        the batch in the store is read.
        """
        self.is_read = True

    async def read(self) -> None:
        """Read the log; retry until the store answers or the writer closes."""
        while not self.is_closed:
            after = lot_records.head_key(self.lot.id)
            if self.log.next_batch:
                after = lot_records.batch_key(
                    self.lot.id, self.log.next_batch - 1
                )
            prefix = lot_records.batches_prefix(self.lot.id)
            page = await self.store.list_page(prefix, after)
            match page:
                case result.Success(state.Page() as found):
                    is_whole = self._apply(found.entries)
                    if is_whole and not found.has_more:
                        self.is_read = True
                        self.on_recorded(self.lot.id)
                        self._flush()
                        return
                    if is_whole:
                        continue
            await asyncio.sleep(RETRY_MS / MS_PER_S)

    def _apply(self, entries: abc.Iterable[state.Entry]) -> bool:
        """Apply batches of a page; return whether none before is missing."""
        for entry in entries:
            number = lot_records.parse_batch_key(entry.key)
            results = lot_records.decode_batch(entry.value)
            if not self.log.apply_batch(number, results):
                eliot.log_message(
                    "lot-log-gap",
                    request=self.lot.id,
                    next_number=self.log.next_batch + 1,
                    held=len(self.log.recorded),
                    detail=f"batch {number} came first",
                )
                return False
        return True

    def add(self, finished: state.LotResult, write_now: bool) -> None:
        """Add a result; write it now if `write_now`, else with later ones.

        `write_now` is for results that the trainer is waiting for.
        """
        self.log.add(finished)
        if write_now:
            self._flush()
        elif not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.flush_timer.set(BATCH_DELAY_MS)

    def close(self) -> None:
        """Start no further writes."""
        self.is_closed = True
        self.flush_timer.set(None)

    def _flush(self) -> None:
        self.is_flush_scheduled = False
        self.flush_timer.set(None)
        is_writing = self.write_task is not None and not self.write_task.done()
        if self.is_read and not is_writing and not self.is_closed:
            self.write_task = self.task_set.spawn(self._write())

    async def _write(self) -> None:
        """Write batches until nothing is pending or the writer is closed."""
        while not self.is_closed:
            action = self.log.next_action()
            match action:
                case None:
                    return
                case serving.WriteBatch():
                    await self._write_batch(action)
                case serving.ReadBatch(number):
                    await self._read_batch(number)

    async def _write_batch(self, action: serving.WriteBatch) -> None:
        key = lot_records.batch_key(self.lot.id, action.number)
        value = lot_records.encode_batch(action.results)
        answer = await self.store.write(
            [state.Expectation(key)], [state.Put(key, value)]
        )
        self.log.on_write(answer.status)
        eliot.log_message(
            "results-listed",
            request=self.lot.id,
            batch=action.number,
            results=len(action.results),
            outcome=answer.status.value,
            revision=answer.revision,
            detail=answer.detail,
        )
        if answer.status is state.WriteStatus.APPLIED:
            self.on_recorded(self.lot.id)
        elif answer.status is not state.WriteStatus.CONFLICT:
            await asyncio.sleep(RETRY_MS / MS_PER_S)

    async def _read_batch(self, number: int) -> None:
        """Read a batch that this daemon or another leader may have written."""
        found = await self.store.get(
            lot_records.batch_key(self.lot.id, number)
        )
        match found:
            case result.Success(state.Entry(value=value)):
                self.log.apply_batch(number, lot_records.decode_batch(value))
                self.on_recorded(self.lot.id)
            case result.Success(None):
                self.log.on_absent()
            case _:
                await asyncio.sleep(RETRY_MS / MS_PER_S)
