"""Local view of the open lots in the store."""

from collections import abc
import typing

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import feed_link
from poplarloft.daemon.serving.store import prefix_watcher
from poplarloft.daemon import tasks
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["LotListener", "LotsView"]


class LotListener(typing.Protocol):
    """Receiver of events about open lots."""

    def on_lot(self, record: state.LotRecord, is_new: bool) -> None:
        """Handle an open lot; `is_new` if it was accepted just now."""

    def on_lot_end(self, lot_id: str) -> None:
        """Handle the end of a lot."""


class LotsView:
    """The records of all open lots, from the store and from hints.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
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

    def on_listing(self, entries: abc.Sequence[state.Entry]) -> None:
        """Add all listed lots; remove those missing from the listing.

        A lot accepted after the listing's revision is kept.
        """
        present = {lot_records.parse_lot_key(entry.key) for entry in entries}
        for lot_id in self.records.keys() - present:
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
        if lot_id in self.records:
            return
        try:
            record = lot_records.decode_record(entry.value)
        except errors.FieldError as error:
            eliot.log_message(
                "lot-unreadable", request=lot_id, error=str(error)
            )
            return
        self._add_record(record, is_new)

    def _add_record(self, record: state.LotRecord, is_new: bool) -> None:
        if record.lot.id in self.records:
            return
        self.records[record.lot.id] = record
        if self.listener is not None:
            self.listener.on_lot(record, is_new)

    def _remove(self, lot_id: str) -> None:
        self.hinted_revisions.pop(lot_id, None)
        if self.records.pop(lot_id, None) is None:
            return
        if self.listener is not None:
            self.listener.on_lot_end(lot_id)
