"""Lots that wait in the store until there is memory for them."""

import asyncio

from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.rollouts import garbage_collection
from poplarloft.daemon.serving.store import lots_view
from poplarloft.daemon import tasks
from poplarloft.platform import lots
from poplarloft.protocol import lot_records
from poplarloft import state
from tests import serving_fleet


class Store:
    """Holds entries of lots, and fails the first reads."""

    def __init__(self):
        self.entries = {}
        self.failures = 1

    async def get(self, key):
        if self.failures:
            self.failures -= 1
            return result.Failure("down")
        return result.Success(self.entries.get(key))

    def add(self, number):
        body = serving_fleet.lot_body(4)
        decoder = lots.LotDecoder(
            lots.LotSource(f"lot-{number}", "h", "/l/x", body)
        )
        decoder.decode_items(4)
        record = state.LotRecord(decoder.lot(), 0)
        key = lot_records.lot_key(record.lot.id)
        value = lot_records.encode_record(record)
        self.entries[key] = state.Entry(key, value, 1, 0)
        return record


class Listener:
    def __init__(self):
        self.opened = []
        self.ended = []

    def on_lot(self, record, is_new):
        self.opened.append(record.lot.id)

    def on_lot_end(self, lot_id):
        self.ended.append(lot_id)


async def test_lots_beyond_the_memory_come_once_others_have_ended(
    monkeypatch,
):
    monkeypatch.setattr(lots_view, "READ_RETRY_MS", 1)
    store = Store()
    records = [store.add(number) for number in range(5)]
    size = serving.held_bytes(records[0].lot)
    view = lots_view.LotsView(state.ManualClock(), 2 * size)
    view.store, view.task_set = store, tasks.TaskSet()
    view.listener = Listener()
    view.on_listing(list(store.entries.values()))
    assert len(view.records) == 1  # these are large for such a bound
    gone = store.entries.pop(lot_records.lot_key("lot-4"))
    view.on_change(state.Change(gone.key, 2, None))
    view.on_finished("lot-0")
    async with asyncio.timeout(5):
        while len(view.listener.opened) < 2:
            await asyncio.sleep(0)
    for _ in range(3):
        view.on_ended(state.LotEnded(view.listener.opened[-1]))
        await asyncio.sleep(0.01)
    assert view.listener.opened == ["lot-0", "lot-1", "lot-2", "lot-3"]
    assert view.listener.ended == ["lot-1", "lot-2", "lot-3"]
    assert not view.records
    assert not view.backlog.deferred
    view.on_listing(list(store.entries.values())[:1])
    assert view.listener.opened.count("lot-0") == 1  # it is finished


class Written:
    """Records which keys are deleted."""

    def __init__(self):
        self.deleted = []

    async def write(self, expected, puts, deletes=()):
        self.deleted += deletes
        return state.WriteAnswer(state.WriteStatus.APPLIED)


async def test_records_of_finished_lots_go_though_nobody_ends_them():
    # Guards against a listing that grows for ever.
    clock = state.ManualClock()
    view = lots_view.LotsView(clock)
    record = Store().add(7)
    key = lot_records.lot_key(record.lot.id)
    view.on_listing([state.Entry(key, lot_records.encode_record(record), 1)])
    written = Written()
    collector = garbage_collection.LotGarbageCollector(
        clock, written, 1_000, view
    )
    view.on_finished(record.lot.id)
    await collector.delete_records()
    assert written.deleted == []
    clock.advance(garbage_collection.RECORD_KEPT_MS)
    await collector.delete_records()
    assert written.deleted == [key]
    view.on_change(state.Change(key, 2, None))
    assert not view.finished
