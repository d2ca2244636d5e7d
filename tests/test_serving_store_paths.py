"""Store calls relayed by peers, and changes that watches missed.

The store may refuse one daemon only, and a watch may miss changes while
it stays open.
"""

import asyncio

import pytest

from poplarloft import state
from tests import serving_fleet


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet()
    await made.start(entries=2)
    yield made
    await made.stop()


async def list_peers_now(fleet):
    """Let all daemons list their peers without waiting for the timer."""
    for daemon in (*fleet.entries, *fleet.bulks):
        await daemon.join_members(state.Address("127.0.0.1", 0))
    await asyncio.sleep(0.2)
    for daemon in (*fleet.entries, *fleet.bulks):
        await daemon.membership._list()


async def test_daemon_refused_by_the_store_accepts_and_reads_lots(fleet):
    await list_peers_now(fleet)
    refused = fleet.entries[0]
    refused.store.direct.address = fleet.store.refusing_address
    body = serving_fleet.lot_body(4)
    assert await fleet.submit("lot-a", body, refused) == 202
    results = await fleet.read_all("lot-a", daemon=refused)
    assert len(results) == 4
    relayed = sum(
        d.relay.relayed_calls for d in (*fleet.entries, *fleet.bulks)
    )
    assert relayed > 0


async def test_changes_that_watches_missed_are_listed(fleet):
    await list_peers_now(fleet)
    fleet.store.drops_watch_events = True
    await fleet.store.put("op/config", serving_fleet.configuration(9))
    await asyncio.sleep(2.5)
    fleet.store.drops_watch_events = False
    fleet.store.compact_history()
    for daemon in fleet.entries:
        await serving_fleet.eventually(
            lambda d=daemon: d.operator.configuration.version == 9,
            timeout_s=12,
        )


async def test_results_that_a_watch_missed_are_read(fleet):
    await fleet.submit("lot-a", serving_fleet.lot_body(4, events=60))
    await fleet.read("lot-a")
    fleet.store.drops_watch_events = True
    await asyncio.sleep(1)
    await fleet.read("lot-a")
    fleet.store.drops_watch_events = False
    fleet.store.compact_history()
    assert len(await fleet.read_all("lot-a")) == 4


async def test_leader_and_standby_make_few_calls_after_compaction(fleet):
    await fleet.add_bulk("bulk-1")
    await asyncio.sleep(0.5)
    fleet.store.compact_history()
    await fleet.store.put("other/key", b"")
    fleet.store.compact_history()
    await asyncio.sleep(0.5)
    before = fleet.store.calls
    await asyncio.sleep(2)
    assert fleet.store.calls - before < 20
