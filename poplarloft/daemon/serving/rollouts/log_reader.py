"""Reads the result log of a lot, once for all who wait for it."""

import asyncio
from collections import abc

import eliot
from returns import result

from poplarloft.daemon.serving.rollouts import lot_cache
from poplarloft.daemon import tasks
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["LogReader"]

MAX_WAIT_MS = 1_000
MAX_WATCHES = 2  # one that is under way, and one more
MS_PER_S = 1_000
Failure = state.StoreFailure | None
FailureKind = state.StoreFailureKind
NOT_LISTED = state.StoreFailure(
    FailureKind.NOT_DONE, "the log must be listed first"
)


class LogReader:
    """Lists and watches one lot's log, whoever asked for it first.

    A listing or watch belongs to the lot: it goes on when the request that
    began it is gone, and all requests that come meanwhile share it.

    Parameters
    ----------
    store : state.RevisionStore
        Holds the log.
    task_set : tasks.TaskSet
        Runs the listings and watches.
    lot_id : str
        The lot.
    lot : lot_cache.CachedLot
        What has been read of it.
    """

    def __init__(
        self,
        store: state.RevisionStore,
        task_set: tasks.TaskSet,
        lot_id: str,
        lot: lot_cache.CachedLot,
    ) -> None:
        self.store = store
        self.task_set = task_set
        self.lot_id = lot_id
        self.lot = lot
        self.prefix = lot_records.batches_prefix(lot_id)
        self.listing: asyncio.Task[Failure] | None = None
        self.watch: asyncio.Task[Failure] | None = None
        self.progress = asyncio.Event()

    async def await_result(self, position: int, wait_ms: int) -> Failure:
        """Wait until there is a result at a position, or the time is up.

        Parameters
        ----------
        position : int
            Position in the list of results.
        wait_ms : int
            Longest time to wait for a result that is not in the store yet.

        Returns
        -------
        state.StoreFailure or None
            Why the store could not be asked, if so.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + min(wait_ms, MAX_WAIT_MS) / MS_PER_S
        if not wait_ms or not self.lot.log.revision:
            failure = await self._list(position)
            if failure is not None or self.lot.head is None:
                return failure
        for _ in range(MAX_WATCHES):
            remaining_s = end_s - loop.time()
            if remaining_s <= 0 or self._has(position):
                return None
            failure = await self._watch(position, remaining_s)
            if failure is not None:
                return await self._list(position)
        return None

    def _has(self, position: int) -> bool:
        return self.lot.is_complete or len(self.lot.results) > position

    async def _list(self, position: int) -> Failure:
        if self.listing is None or self.listing.done():
            self.listing = self.task_set.spawn(self._read_pages())
        return await self._join(self.listing, position, None)

    async def _watch(self, position: int, timeout_s: float) -> Failure:
        """Watch for new entries; the log must be listed after a failure."""
        if self.watch is None or self.watch.done():
            if not self.lot.log.revision:
                return NOT_LISTED
            self.watch = self.task_set.spawn(self._read_changes())
        return await self._join(self.watch, position, timeout_s)

    async def _join(
        self,
        task: asyncio.Task[Failure],
        position: int,
        timeout_s: float | None,
    ) -> Failure:
        """Wait for a task, or until there is a result at a position."""
        loop = asyncio.get_running_loop()
        end_s = None if timeout_s is None else loop.time() + timeout_s
        while not task.done() and not self._has(position):
            remaining_s = None
            if end_s is not None:
                remaining_s = end_s - loop.time()
                if remaining_s <= 0:
                    return None
            moved = loop.create_task(self.progress.wait())
            try:
                await asyncio.wait(
                    (task, moved),
                    timeout=remaining_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                moved.cancel()
        if self._has(position) or not task.done():
            return None
        if task.cancelled():
            return state.StoreFailure(FailureKind.NOT_DONE, "stopping")
        return task.result()

    async def _read_pages(self) -> Failure:
        """Read all entries after those already read."""
        self.lot.log.begin_listing()
        while True:
            page = await self.store.list_page(self.prefix, self.lot.last_key)
            match page:
                case result.Success(state.Page() as found):
                    failure = self._add(found.entries)
                    if failure is not None:
                        return failure
                    self.lot.log.on_page(found.revision, found.has_more)
                    if not found.has_more:
                        return None
                case result.Failure(failure):
                    return failure

    async def _read_changes(self) -> Failure:
        """Wait for entries that are written after those already read."""
        revision = self.lot.log.revision
        answer = await self.store.watch(self.prefix, revision, MAX_WAIT_MS)
        match answer:
            case result.Success(state.Changes() as found):
                failure = self._add(c.entry for c in found.changes if c.entry)
                if failure is None:
                    self.lot.log.on_watched(found.seen_revision(revision))
                return failure
            case result.Failure(failure):
                return failure
        raise AssertionError(answer)

    def _add(self, entries: abc.Iterable[state.Entry]) -> Failure:
        """Append entries; return why not all of them could be appended."""
        failure = None
        try:
            is_whole = self.lot.add_entries(entries)
        except errors.FieldError as error:
            failure = state.StoreFailure(FailureKind.REJECTED, str(error))
        else:
            if not is_whole:
                number = self.lot.log.next_number
                failure = state.StoreFailure(
                    FailureKind.REJECTED, f"no entry {number} of the log yet"
                )
        if failure is not None:
            eliot.log_message(
                "lot-log-gap",
                request=self.lot_id,
                next_number=self.lot.log.next_number,
                held=len(self.lot.results),
                gaps=self.lot.log.gaps,
                detail=failure.detail[:200],
            )
        self.progress.set()
        self.progress = asyncio.Event()
        return failure
