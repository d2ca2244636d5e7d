"""The open lots, as the store shows them."""

from collections import abc
import typing

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving import feed_link
from poplarloft.daemon.serving import prefix_watcher
from poplarloft.daemon import tasks
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["LotListener", "LotsView"]


class LotListener(typing.Protocol):
    """Told of lots that begin and end."""

    def on_lot(self, record: state.LotRecord, is_new: bool) -> None:
        """Take an open lot; `is_new` if it was accepted just now."""

    def on_lot_end(self, lot_id: str) -> None:
        """Note that a lot has ended."""


class LotsView:
    """The records of all open lots.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.records: dict[str, state.LotRecord] = {}
        self.hinted: dict[str, int] = {}
        self.history: serving.PrefixHistory | None = None
        self.listener: LotListener | None = None

    def start(
        self,
        store: state.RevisionStore,
        to: tasks.TaskSet,
        link: feed_link.FeedLink | None = None,
    ) -> None:
        """Follow the lots from now on."""
        followed = prefix_watcher.PrefixWatcher(
            self.clock, store, lot_records.LOTS_PREFIX, self, link=link
        )
        self.history = followed.book
        to.spawn(followed.run())

    def on_accepted(self, hint: state.LotAccepted) -> None:
        """Take a lot of which a daemon told before the store did."""
        lot_id = hint.record.lot.id
        if self.history is None or hint.revision <= self.history.revision:
            return
        self.hinted[lot_id] = hint.revision
        self._take_record(hint.record, True)

    def on_ended(self, hint: state.LotEnded) -> None:
        """Note an end of which a daemon told before the store did."""
        self._end(hint.lot_id)

    def on_listing(self, entries: abc.Sequence[state.Entry]) -> None:
        """Take all open lots; those that are missing have ended."""
        present = {lot_records.parse_lot_key(entry.key) for entry in entries}
        for lot_id in self.records.keys() - present:
            if not self._is_newer(lot_id):
                self._end(lot_id)
        for entry in entries:
            self._take(entry, False)

    def on_change(self, change: state.Change) -> None:
        """Take a new lot or the end of one."""
        if change.entry is None:
            self._end(lot_records.parse_lot_key(change.key))
        else:
            self._take(change.entry, True)

    def on_store_unavailable(self) -> None:
        """Go on with the lots that are known."""

    def on_store_available(self) -> None:
        """Go on with what the store shows next."""

    def _is_newer(self, lot_id: str) -> bool:
        """Tell whether a lot was accepted after what the book shows."""
        revision = self.hinted.get(lot_id, 0)
        return self.history is not None and revision > self.history.revision

    def _take(self, entry: state.Entry, is_new: bool) -> None:
        lot_id = lot_records.parse_lot_key(entry.key)
        self.hinted.pop(lot_id, None)
        if lot_id in self.records:
            return
        try:
            record = lot_records.decode_record(entry.value)
        except errors.FieldError as error:
            eliot.log_message(
                "lot-unreadable", request=lot_id, error=str(error)
            )
            return
        self._take_record(record, is_new)

    def _take_record(self, record: state.LotRecord, is_new: bool) -> None:
        if record.lot.id in self.records:
            return
        self.records[record.lot.id] = record
        if self.listener is not None:
            self.listener.on_lot(record, is_new)

    def _end(self, lot_id: str) -> None:
        self.hinted.pop(lot_id, None)
        if self.records.pop(lot_id, None) is None:
            return
        if self.listener is not None:
            self.listener.on_lot_end(lot_id)
