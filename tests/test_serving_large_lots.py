"""A daemon reads a result log of several pages, for many readers at once."""

import asyncio

import pytest

from poplarloft.protocol import lot_records
from poplarloft import state
from tests import serving_fleet

LOT = "lot-a"
TEXT = "x" * 30_000
BATCH_RESULTS = 10
BATCHES = 24  # of 400 KB each in the store's answers
PAGES = 13  # of two batches each, the first one with the head
DELAY_MS = 60  # of the store
READERS = 20


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet()
    yield made
    await made.stop()


async def write_head(store, total):
    head = lot_records.encode_head(state.LotHead(total))
    await store.put(lot_records.head_key(LOT), head)


async def write_batch(store, number):
    rows = tuple(
        state.LotResult(
            f"i{number * BATCH_RESULTS + n}", state.ItemState.COMPLETED, TEXT
        )
        for n in range(BATCH_RESULTS)
    )
    value = lot_records.encode_batch(rows)
    await store.put(lot_records.batch_key(LOT, number), value)


async def read_on(fleet, found, total):
    """Read from the end of what was found until all results are."""
    for _ in range(2 * PAGES):
        if len(found) < total:
            status, page = await fleet.read(LOT, len(found), wait_ms=1_000)
            assert status == 200
            found += [row["id"] for row in page["results"]]
    return found


async def test_readers_from_two_positions_get_each_result_at_its_own(fleet):
    """Guards against results that move up past pages not read yet."""
    await fleet.start()
    store = fleet.store
    total = (BATCHES + 1) * BATCH_RESULTS
    expected = [f"i{n}" for n in range(total)]
    await write_head(store, total)
    for number in range(BATCHES):
        await write_batch(store, number)
    store.delay_ms = DELAY_MS
    known = BATCHES * BATCH_RESULTS
    from_start = asyncio.create_task(read_on(fleet, [], total))
    await asyncio.sleep(2.5 * DELAY_MS / 1_000)  # amid the listing
    from_end = asyncio.create_task(read_on(fleet, expected[:known], total))
    await asyncio.sleep(DELAY_MS / 1_000)
    await write_batch(store, BATCHES)
    assert await from_start == expected
    assert await from_end == expected


async def test_many_readers_cost_one_listing(fleet):
    """Guards against a listing for each reader of a lot."""
    await fleet.start()
    store = fleet.store
    total = (BATCHES + 1) * BATCH_RESULTS
    await write_head(store, total)
    for number in range(BATCHES):
        await write_batch(store, number)
    store.delay_ms = DELAY_MS
    before = store.calls_by_kind["kv-range"]
    reads = [
        asyncio.create_task(fleet.read(LOT, BATCH_RESULTS * n))
        for n in range(READERS)
    ]
    await asyncio.sleep(1.5 * DELAY_MS / 1_000)
    reads[0].cancel()  # the one that began it
    for n, read in enumerate(reads[1:], 1):
        status, page = await read
        assert status == 200
        assert page["results"][0]["id"] == f"i{BATCH_RESULTS * n}"
    assert store.calls_by_kind["kv-range"] - before <= PAGES
