"""Writes a lot's results to its list in the store."""

import asyncio
from collections import abc

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon import tasks
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["ResultWriter"]

GATHER_MS = 1_000
RETRY_MS = 200
MS_PER_S = 1_000


class ResultWriter:
    """The list of one lot's results.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    store : state.RevisionStore
        Keeps the list.
    lot : state.Lot
        The lot.
    task_set : tasks.TaskSet
        Keeps the writer alive.
    on_listed : callable
        Told of the lot after each batch that is acknowledged.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        lot: state.Lot,
        task_set: tasks.TaskSet,
        on_listed: abc.Callable[[str], None],
    ) -> None:
        self.clock = clock
        self.store = store
        self.lot = lot
        self.task_set = task_set
        self.on_listed = on_listed
        self.book = serving.ResultLog(len(lot.items))
        self.timer = tasks.WakeTimer(self._flush)
        self.is_timed = False
        self.writer: asyncio.Task[None] | None = None
        self.is_read = False
        self.is_closed = False

    def begin(self) -> None:
        """Begin a list that is empty, as far as is known.

        If it isn't, the first write finds a conflict and adopts.
        """
        self.is_read = True

    async def read(self) -> None:
        """Read what is listed; tries until the store answers."""
        while not self.is_closed:
            after = lot_records.head_key(self.lot.id)
            if self.book.next_batch:
                after = lot_records.batch_key(
                    self.lot.id, self.book.next_batch - 1
                )
            prefix = lot_records.batches_prefix(self.lot.id)
            page = await self.store.list_page(prefix, after)
            match page:
                case result.Success(state.Page() as found):
                    for entry in found.entries:
                        self.book.apply_batch(
                            lot_records.decode_batch(entry.value)
                        )
                    if not found.has_more:
                        self.is_read = True
                        self.on_listed(self.lot.id)
                        self._flush()
                        return
                case _:
                    await asyncio.sleep(RETRY_MS / MS_PER_S)

    def add(self, finished: state.LotResult, at_once: bool) -> None:
        """Take a result; `at_once` when its trainer waits for it."""
        self.book.add(finished)
        if at_once:
            self._flush()
        elif not self.is_timed:
            self.is_timed = True
            self.timer.set(GATHER_MS)

    def close(self) -> None:
        """Write nothing more."""
        self.is_closed = True
        self.timer.set(None)

    def _flush(self) -> None:
        self.is_timed = False
        self.timer.set(None)
        is_writing = self.writer is not None and not self.writer.done()
        if self.is_read and not is_writing and not self.is_closed:
            self.writer = self.task_set.spawn(self._write())

    async def _write(self) -> None:
        """Write until nothing is pending."""
        while not self.is_closed:
            action = self.book.next_action()
            match action:
                case None:
                    return
                case serving.WriteBatch():
                    await self._write_batch(action)
                case serving.ReadBatch(number):
                    await self._adopt(number)

    async def _write_batch(self, action: serving.WriteBatch) -> None:
        key = lot_records.batch_key(self.lot.id, action.number)
        value = lot_records.encode_batch(action.results)
        answer = await self.store.write(
            [state.Expectation(key)], [state.Put(key, value)]
        )
        self.book.on_write(answer.status)
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
            self.on_listed(self.lot.id)
        elif answer.status is not state.WriteStatus.CONFLICT:
            await asyncio.sleep(RETRY_MS / MS_PER_S)

    async def _adopt(self, number: int) -> None:
        """Read a batch that was written, by us or by another runner."""
        found = await self.store.get(
            lot_records.batch_key(self.lot.id, number)
        )
        match found:
            case result.Success(state.Entry(value=value)):
                self.book.apply_batch(lot_records.decode_batch(value))
                self.on_listed(self.lot.id)
            case result.Success(None):
                self.book.on_absent()
            case _:
                await asyncio.sleep(RETRY_MS / MS_PER_S)
