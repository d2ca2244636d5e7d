"""A leader that reads a log before it goes on writing."""

import asyncio

from returns import result

from poplarloft.daemon.serving.rollouts import result_writer
from poplarloft.daemon import tasks
from poplarloft.protocol import lot_records
from poplarloft import state

LOT = "lot-a"
ITEMS = 4


def rows(*numbers):
    return tuple(
        state.LotResult(f"i{n}", state.ItemState.COMPLETED) for n in numbers
    )


def number_of(key):
    return int(key.rpartition("/")[2]) - 1


class PartialStore:
    """A store whose first page lacks an entry that the next one has."""

    def __init__(self):
        self.batches = {0: rows(0), 1: rows(1), 2: rows(2)}
        self.missing = {1}

    async def list_page(self, prefix, after_key="", allow_stale=False):
        entries = []
        for number, batch in sorted(self.batches.items()):
            key = lot_records.batch_key(LOT, number)
            if key > after_key and number not in self.missing:
                value = lot_records.encode_batch(batch)
                entries.append(state.Entry(key, value, 5))
        self.missing.clear()
        return result.Success(state.Page(tuple(entries), False, 9))

    async def get(self, key):
        number = number_of(key)
        batch = self.batches.get(number)
        if batch is None:
            return result.Success(None)
        value = lot_records.encode_batch(batch)
        return result.Success(state.Entry(key, value, 5))

    async def write(self, expected, puts, deletes=()):
        number = number_of(puts[0].key)
        if number in self.batches:
            return state.WriteAnswer(state.WriteStatus.CONFLICT)
        self.batches[number] = lot_records.decode_batch(puts[0].value)
        return state.WriteAnswer(state.WriteStatus.APPLIED, 10)


async def test_a_batch_that_is_not_listed_yet_is_not_written_again():
    """Guards against items at two positions, after a gap in a listing."""
    store = PartialStore()
    items = tuple(
        state.LotItem(f"i{n}", "/x", (), b"", 1, "g") for n in range(ITEMS)
    )
    lot = state.Lot(LOT, "h", "/l/", "m", 0, 1, 1, items)
    task_set = tasks.TaskSet()
    writer = result_writer.ResultWriter(
        state.ManualClock(), store, lot, task_set, lambda lot_id: None
    )
    await writer.read()
    for row in rows(*range(ITEMS)):
        writer.add(row, write_now=True)
    async with asyncio.timeout(5):
        while not writer.log.is_complete:
            await asyncio.sleep(0.01)
    listed = [r.item_id for _, b in sorted(store.batches.items()) for r in b]
    assert sorted(listed) == [f"i{n}" for n in range(ITEMS)]
    await task_set.cancel_all()
