"""Local view of the open lots in the store."""

import asyncio
from collections import abc
import typing

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import feed_link
from poplarloft.daemon.serving.store import prefix_watcher
from poplarloft.daemon import tasks
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["LotListener", "LotsView"]

READ_RETRY_MS = 500
MS_PER_S = 1_000


class LotListener(typing.Protocol):
    """Receiver of events about open lots."""

    def on_lot(self, record: state.LotRecord, is_new: bool) -> None:
        """Handle an open lot; `is_new` if it was accepted just now."""

    def on_lot_end(self, lot_id: str) -> None:
        """Handle the end of a lot."""


class LotsView:
    """The records of open lots, from the store and from hints.

    Lots for which there is no memory stay in the store until others have
    ended, and so do those of which all results are recorded.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    max_bytes : int
        Bound on the memory for lots.
    """

    def __init__(
        self,
        clock: state.Clock,
        max_bytes: int = serving.DEFAULT_LOT_BYTES,
    ) -> None:
        self.clock = clock
        self.backlog = serving.LotBacklog(max_bytes)
        self.store: state.RevisionStore | None = None
        self.task_set: tasks.TaskSet | None = None
        self.is_filling = False
        self.finished: dict[str, int] = {}
        self.records: dict[str, state.LotRecord] = {}
        self.hinted_revisions: dict[str, int] = {}
        self.history: serving.PrefixHistory | None = None
        self.listener: LotListener | None = None

    def start(
        self,
        store: state.RevisionStore,
        task_set: tasks.TaskSet,
        feed: feed_link.FeedLink | None = None,
    ) -> None:
        """Start following the lots."""
        self.store = store
        self.task_set = task_set
        watcher = prefix_watcher.PrefixWatcher(
            self.clock, store, lot_records.LOTS_PREFIX, self, feed=feed
        )
        self.history = watcher.history
        task_set.supervise(watcher.run)

    def on_accepted(self, hint: state.LotAccepted) -> None:
        """Add a lot announced by a peer ahead of the store.

        A hint that is not newer than the store's known revision is
        ignored, since that lot may have ended already.
        """
        lot_id = hint.record.lot.id
        if self.history is None or hint.revision <= self.history.revision:
            return
        self.hinted_revisions[lot_id] = hint.revision
        self._add_record(hint.record, True)

    def on_ended(self, hint: state.LotEnded) -> None:
        """Remove a lot whose end a peer announced ahead of the store."""
        self._remove(hint.lot_id)

    def on_finished(self, lot_id: str) -> None:
        """Drop the record of a lot of which all results are recorded.

        The lot stays open until its trainer has ended it.
        """
        if self.records.pop(lot_id, None) is not None:
            self.finished[lot_id] = self.clock.now_ms()
            self.backlog.remove(lot_id)
            self._fill()

    def finished_for(self, age_ms: int) -> list[str]:
        """Return the lots that finished so long ago and were not ended."""
        last_ms = self.clock.now_ms() - age_ms
        return [
            lot_id
            for lot_id, finished_ms in self.finished.items()
            if finished_ms <= last_ms
        ]

    def on_listing(self, entries: abc.Sequence[state.Entry]) -> None:
        """Add all listed lots; remove those missing from the listing.

        A lot accepted after the listing's revision is kept.
        """
        present = {lot_records.parse_lot_key(entry.key) for entry in entries}
        known = {*self.records, *self.backlog.deferred, *self.finished}
        for lot_id in known - present:
            if not self._is_newer(lot_id):
                self._remove(lot_id)
        for entry in entries:
            self._apply_entry(entry, False)

    def on_change(self, change: state.Change) -> None:
        """Add a new lot, or remove one whose record was deleted."""
        if change.entry is None:
            self._remove(lot_records.parse_lot_key(change.key))
        else:
            self._apply_entry(change.entry, True)

    def on_store_unavailable(self) -> None:
        """Keep the known lots while the store is unavailable."""

    def on_store_available(self) -> None:
        """Continue with the next listing or change."""

    def _is_newer(self, lot_id: str) -> bool:
        """Return whether a lot was accepted after the last known revision."""
        revision = self.hinted_revisions.get(lot_id, 0)
        return self.history is not None and revision > self.history.revision

    def _apply_entry(self, entry: state.Entry, is_new: bool) -> None:
        lot_id = lot_records.parse_lot_key(entry.key)
        self.hinted_revisions.pop(lot_id, None)
        if self._is_known(lot_id):
            return
        record = _decoded(lot_id, entry)
        if record is not None:
            self._add_record(record, is_new)

    def _is_known(self, lot_id: str) -> bool:
        return (
            lot_id in self.records
            or lot_id in self.backlog.deferred
            or lot_id in self.finished
        )

    def _add_record(self, record: state.LotRecord, is_new: bool) -> None:
        lot_id = record.lot.id
        if self._is_known(lot_id):
            return
        if not self.backlog.admit(lot_id, serving.held_bytes(record.lot)):
            eliot.log_message(
                "lot-deferred",
                request=lot_id,
                items=len(record.lot.items),
                waiting=len(self.backlog.deferred),
                held_bytes=self.backlog.held_bytes,
            )
            return
        self.records[lot_id] = record
        if self.listener is not None:
            self.listener.on_lot(record, is_new)

    def _remove(self, lot_id: str) -> None:
        self.hinted_revisions.pop(lot_id, None)
        self.finished.pop(lot_id, None)
        self.backlog.remove(lot_id)
        self._fill()
        if self.records.pop(lot_id, None) is None:
            return
        if self.listener is not None:
            self.listener.on_lot_end(lot_id)

    def _fill(self) -> None:
        """Read lots that wait, if there is memory for one."""
        if self.is_filling or self.task_set is None:
            return
        if self.backlog.next_deferred() is not None:
            self.is_filling = True
            self.task_set.spawn(self._read_deferred())

    async def _read_deferred(self) -> None:
        try:
            lot_id = self.backlog.next_deferred()
            while lot_id is not None:
                await self._read(lot_id)
                lot_id = self.backlog.next_deferred()
        finally:
            self.is_filling = False

    async def _read(self, lot_id: str) -> None:
        """Read a lot that has waited, or wait until the store answers."""
        assert self.store is not None
        found = await self.store.get(lot_records.lot_key(lot_id))
        match found:
            case result.Success(entry):
                if lot_id not in self.backlog.deferred:
                    return  # it has ended meanwhile
                self.backlog.remove(lot_id)
                record = None if entry is None else _decoded(lot_id, entry)
                if record is not None:
                    self._add_record(record, False)
            case result.Failure(_):
                await asyncio.sleep(READ_RETRY_MS / MS_PER_S)


def _decoded(lot_id: str, entry: state.Entry) -> state.LotRecord | None:
    """Return the record of a lot, None if it can't be read."""
    try:
        return lot_records.decode_record(entry.value)
    except errors.FieldError as error:
        eliot.log_message("lot-unreadable", request=lot_id, error=str(error))
        return None
