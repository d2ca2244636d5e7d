"""The heir of a runner that ends while the store is away."""

import asyncio

import pytest

from poplarloft import state
from tests import serving_fleet

EVENTS = 100
EVENT_MS = 40


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet()
    await made.start(entries=2, bulks=3)
    for daemon in (*made.entries, *made.bulks):
        await daemon.relay.start(
            state.Address("127.0.0.1", 0), daemon.task_set
        )
    await asyncio.sleep(0.3)
    for daemon in (*made.entries, *made.bulks):
        await daemon.relay._list_peers()
    for engine in made.engines:
        engine.event_ms = EVENT_MS
    yield made
    await made.stop()


async def runner_and_heir(fleet):
    """Wait for a runner and an heir that hears it; return both."""
    await serving_fleet.eventually(
        lambda: any(d.election.scheduler for d in fleet.bulks)
    )
    runner = next(d for d in fleet.bulks if d.election.scheduler)
    await serving_fleet.eventually(
        lambda: len(runner.standby_link.receivers) == 2
    )
    name = runner.standby_link.receivers[0]
    heir = next(d for d in fleet.bulks if d.settings.name == name)
    await serving_fleet.eventually(
        lambda: heir.standby_link.is_synced and heir.views.lots.records
    )
    return runner, heir


def events_made(fleet):
    return sum(len(engine.runs) for engine in fleet.engines)


async def test_heir_goes_on_while_the_store_is_away(fleet):
    await fleet.submit("lot-a", serving_fleet.lot_body(4, events=EVENTS))
    runner, heir = await runner_and_heir(fleet)
    await asyncio.sleep(1)
    fleet.store.is_down = True
    await asyncio.sleep(0.8)
    ran = events_made(fleet)
    await fleet.kill(runner)
    await serving_fleet.eventually(lambda: events_made(fleet) > ran)
    assert heir.election.scheduler.fence == 0
    assert not heir.election.scheduler.may_send_orders
    held = [count for e in fleet.engines for _, count in e.resumed]
    # What the runner had a beat and a half before it ended is kept.
    assert min(held[-4:]) >= 0.6 * 1_800 / EVENT_MS
    await asyncio.sleep(2)
    fleet.store.is_down = False
    results = await fleet.read_all("lot-a", timeout_s=4)
    assert len(results) == 4
    for row in results:
        expected = [f"{row['id']}-{n}" for n in range(1, EVENTS + 1)]
        assert row["text"].split("\n") == expected
    await serving_fleet.eventually(lambda: heir.election.scheduler.fence > 0)
    assert heir.election.scheduler.may_send_orders


async def test_heir_that_is_cut_off_itself_starts_nothing(fleet):
    await fleet.submit("lot-a", serving_fleet.lot_body(4, events=EVENTS))
    runner, heir = await runner_and_heir(fleet)
    nowhere = state.Address("127.0.0.1", 1)
    heir.store.direct.address = nowhere
    heir.store.update_peers({"gone": nowhere})
    heir.client.close()
    # Neither messages of others nor to others get through.
    heir.peers.handlers.clear()
    heir.standby_link.other_standbys = (nowhere,)
    await asyncio.sleep(2.5)
    assert heir.election.scheduler is None
    assert len(await fleet.read_all("lot-a")) == 4


async def test_heir_follows_the_runners_news_instead_of_watching(fleet):
    await fleet.submit("lot-a", serving_fleet.lot_body(2, events=EVENTS))
    _, heir = await runner_and_heir(fleet)
    await asyncio.sleep(9)
    before = heir.store.calls
    await fleet.store.put("op/config", serving_fleet.configuration(3))
    await serving_fleet.eventually(
        lambda: heir.views.operator.configuration.version == 3
    )
    # The runner's key is watched, each 8 s.
    assert heir.store.calls - before <= 2


async def test_runner_whose_lease_lapsed_goes_on_with_its_texts(fleet):
    await fleet.submit("lot-a", serving_fleet.lot_body(4, events=EVENTS))
    runner, heir = await runner_and_heir(fleet)
    scheduler = runner.election.scheduler
    fence = scheduler.fence
    # The write is done after its answer was given up.
    fleet.store.late_writes = 1
    await fleet.store.remove("cells/0/runner")
    await fleet.store._end_lease(runner.election.key.lease)
    await serving_fleet.eventually(
        lambda: any(
            d.election.scheduler and d.election.scheduler.fence > fence
            for d in fleet.bulks
        )
    )
    assert len(await fleet.read_all("lot-a")) == 4
