"""Store calls through peers, and what watches miss, on stand-ins."""

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


async def let_know_each_other(fleet):
    """List the peers now rather than seconds after the start."""
    for daemon in (*fleet.entries, *fleet.bulks):
        await daemon.relay.start(
            state.Address("127.0.0.1", 0), daemon.task_set
        )
    await asyncio.sleep(0.2)
    for daemon in (*fleet.entries, *fleet.bulks):
        await daemon.relay._list_peers()


async def test_daemon_that_the_store_turns_away_accepts_and_reads(fleet):
    await let_know_each_other(fleet)
    turned_away = fleet.entries[0]
    turned_away.store.direct.address = fleet.store.refusing
    body = serving_fleet.lot_body(4)
    assert await fleet.submit("lot-a", body, turned_away) == 202
    results = await fleet.read_all("lot-a", daemon=turned_away)
    assert len(results) == 4
    carried = sum(
        d.relay.relayed_calls for d in (*fleet.entries, *fleet.bulks)
    )
    assert carried > 0


async def test_changes_that_watches_did_not_hear_are_listed(fleet):
    await let_know_each_other(fleet)
    fleet.store.is_deaf = True
    await fleet.store.put("op/config", serving_fleet.configuration(9))
    await asyncio.sleep(2.5)
    fleet.store.is_deaf = False
    fleet.store.forget_history()
    for daemon in fleet.entries:
        await serving_fleet.eventually(
            lambda d=daemon: d.operator.configuration.version == 9,
            timeout_s=12,
        )


async def test_results_that_a_watch_did_not_hear_are_read(fleet):
    await fleet.submit("lot-a", serving_fleet.lot_body(4, events=60))
    await fleet.read("lot-a")
    fleet.store.is_deaf = True
    await asyncio.sleep(1)
    await fleet.read("lot-a")
    fleet.store.is_deaf = False
    fleet.store.forget_history()
    assert len(await fleet.read_all("lot-a")) == 4


async def test_runner_and_standby_are_quiet_when_history_is_gone(fleet):
    await fleet.add_bulk("bulk-1")
    await asyncio.sleep(0.5)
    fleet.store.forget_history()
    await fleet.store.put("other/key", b"")
    fleet.store.forget_history()
    await asyncio.sleep(0.5)
    before = fleet.store.calls
    await asyncio.sleep(2)
    assert fleet.store.calls - before < 20
