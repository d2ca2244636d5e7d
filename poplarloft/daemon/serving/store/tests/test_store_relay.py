"""Store calls over a path that falls silent, without a network."""

import asyncio
import random

import pytest
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.store import store_relay
from poplarloft import state

NO_ANSWER = result.Failure(
    state.StoreFailure(state.StoreFailureKind.NO_ANSWER, "silent")
)
NOT_DONE = result.Failure(
    state.StoreFailure(state.StoreFailureKind.NOT_DONE, "too many")
)
CHANGES = result.Success(state.Changes((), 7))


class Path:
    """A way to the store that answers as told; watches wait on it."""

    address = state.Address("127.0.0.1", 1)
    calls = 0

    def __init__(self, answer):
        self.answer = answer
        self.watches = 0
        self.changed = asyncio.Event()

    async def get(self, key):
        return self.answer

    async def watch(self, prefix, after_revision, wait_ms):
        self.watches += 1
        await self.changed.wait()
        return CHANGES


@pytest.fixture
def relayed():
    clock = state.ManualClock(100_000)
    selector = serving.AccessPathSelector(clock, random.Random(0))
    made = store_relay.RelayedStore(None, Path.address, selector)
    made.clock = clock
    made.direct = Path(result.Success(None))
    made.peer = Path(result.Success(None))
    made.stores_by_path = {serving.DIRECT: made.direct, "b": made.peer}
    selector.update_peers(["b"])
    return made


async def begin_watch(relayed):
    watching = asyncio.ensure_future(relayed.watch("op/", 6, 3_600))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert relayed.direct.watches == 1
    return watching


async def call(relayed, answer, times):
    """Make calls, each of which tries the direct path first."""
    relayed.direct.answer = answer
    for _ in range(times):
        await relayed.get("key")
        relayed.clock.advance(4_000)


async def test_a_watch_leaves_a_path_that_answers_no_calls(relayed):
    watching = await begin_watch(relayed)
    relayed.peer.changed.set()
    await call(relayed, NO_ANSWER, 2)
    async with asyncio.timeout(5):
        assert await watching == CHANGES
    assert relayed.peer.watches == 1


async def test_a_watch_outlasts_one_lost_answer(relayed):
    watching = await begin_watch(relayed)
    await call(relayed, NO_ANSWER, 1)
    await call(relayed, result.Success(None), 1)
    await call(relayed, NO_ANSWER, 1)
    assert not watching.done()
    assert not relayed.peer.watches
    relayed.direct.changed.set()
    assert await watching == CHANGES


async def test_a_watch_outlasts_calls_that_are_turned_away(relayed):
    watching = await begin_watch(relayed)
    await call(relayed, NOT_DONE, 3)
    assert not watching.done()
    relayed.direct.changed.set()
    assert await watching == CHANGES


async def test_a_watch_that_is_cancelled_ends_its_call(relayed):
    watching = await begin_watch(relayed)
    watching.cancel()
    with pytest.raises(asyncio.CancelledError):
        await watching
    left = asyncio.all_tasks() - {asyncio.current_task()}
    assert not left
