"""Store calls through peers and shared watches, on stand-ins."""

import asyncio

import pytest

from poplarloft.daemon.serving import entry
from poplarloft.daemon.serving import relaying
from poplarloft.daemon.serving import sharing
from poplarloft.platform import store as platform_store
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
    carried = sum(d.relay.carried for d in (*fleet.entries, *fleet.bulks))
    assert carried > 0


async def test_watches_of_a_data_centre_are_one_at_the_store(fleet):
    await let_know_each_other(fleet)
    hub = next(d for d in fleet.bulks if d.settings.name == "bulk-0")
    question = platform_store.WatchQuestion("q/", fleet.store.revision, 800)
    before = fleet.store.calls
    asked = [
        asyncio.create_task(hub.store.shared.ask(question)) for _ in range(20)
    ]
    await asyncio.sleep(0.1)
    await fleet.store.put("q/1", b"value")
    for answer in await asyncio.gather(*asked):
        assert [c.key for c in answer.unwrap().changes] == ["q/1"]
    assert fleet.store.calls - before < 10


async def test_hub_that_lost_the_store_does_not_say_nothing_changed(fleet):
    await let_know_each_other(fleet)
    hub = fleet.bulks[0]
    hub.store.shared.store.address = fleet.store.refusing
    question = platform_store.WatchQuestion("q/", fleet.store.revision, 800)
    answer = await hub.store.shared.ask(question)
    assert answer.failure().kind is state.StoreFailureKind.NOT_DONE


async def test_configuration_reaches_daemons_through_the_hub(fleet):
    await let_know_each_other(fleet)
    await fleet.store.put("op/config", serving_fleet.configuration(9))
    for daemon in fleet.entries:
        await serving_fleet.eventually(
            lambda d=daemon: d.operator.configuration.version == 9,
            timeout_s=11,
        )


async def test_kept_answer_does_not_hide_later_changes(fleet):
    await let_know_each_other(fleet)
    shared = fleet.bulks[0].store.shared
    question = platform_store.WatchQuestion("q/", fleet.store.revision, 800)
    first = asyncio.create_task(shared.ask(question))
    await asyncio.sleep(0.05)
    await fleet.store.put("q/1", b"value")
    await first
    await fleet.store.put("q/2", b"value")
    await asyncio.sleep(0.6)
    answer = await shared.ask(question)
    keys = [change.key for change in answer.unwrap().changes]
    assert keys == ["q/1", "q/2"]


def test_news_of_leaving_arrives_in_time_also_beside_a_dead_hub():
    bound_ms = 3_000
    pause_ms = entry.LOOK_SHARE * bound_ms
    dead_hub_ms = relaying.HUB_WAIT_MS + relaying.HUB_SLACK_MS
    blind_hub_ms = sharing.STORE_WAIT_MS + relaying.HUB_SLACK_MS
    for late_ms in (dead_hub_ms, blind_hub_ms, sharing.KEEP_MS + pause_ms):
        assert pause_ms + late_ms < bound_ms - 500


async def test_changes_that_watches_did_not_hear_are_listed(fleet):
    await let_know_each_other(fleet)
    fleet.store.is_deaf = True
    await fleet.store.put("op/config", serving_fleet.configuration(9))
    await asyncio.sleep(2.5)
    fleet.store.is_deaf = False
    fleet.store.forget_history()
    for daemon in fleet.entries:
        await serving_fleet.eventually(
            lambda d=daemon: d.operator.configuration.version == 9
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
