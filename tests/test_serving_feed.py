"""Daemons that take news of the store from others, on stand-ins."""

import asyncio

import pytest

from poplarloft import state
from tests import serving_fleet

BOUND_S = serving_fleet.NEWS_BOUND_MS / 1_000
SETTLED_S = 6


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet()
    made.shares_news = True
    await made.start(entries=5)
    for daemon in (*made.entries, *made.bulks):
        await daemon.relay.start(
            state.Address("127.0.0.1", 0), daemon.task_set
        )
    await asyncio.sleep(0.3)
    for daemon in made.entries:
        await daemon.relay._list_peers()
    await asyncio.sleep(SETTLED_S)
    yield made
    await made.stop()


def hubs_of(fleet):
    return [d for d in fleet.entries if d.feed.reader.is_source]


async def in_force(fleet, version):
    async with asyncio.timeout(BOUND_S):
        for daemon in fleet.entries:
            await serving_fleet.eventually(
                lambda d=daemon: d.operator.configuration.version >= version
            )


async def test_only_two_daemons_watch_the_store(fleet):
    assert len(hubs_of(fleet)) == 2
    others = [d for d in fleet.entries if d not in hubs_of(fleet)]
    before = [d.store.calls for d in others]
    await fleet.store.put("op/config", serving_fleet.configuration(5))
    await in_force(fleet, 5)
    await asyncio.sleep(2)
    # Lists of members come each 20 s.
    assert all(
        d.store.calls - b <= 1 for d, b in zip(others, before, strict=True)
    )


async def test_a_change_is_in_force_after_both_hubs_were_cut_off(fleet):
    for hub in hubs_of(fleet):
        hub.store.direct.address = fleet.store.refusing
        hub.store.update_peers({})
    await fleet.store.put("op/config", serving_fleet.configuration(6))
    hubs = hubs_of(fleet)
    fleet.entries[:] = [d for d in fleet.entries if d not in hubs]
    try:
        await in_force(fleet, 6)
    finally:
        fleet.entries += hubs


async def test_a_change_is_in_force_after_both_hubs_ended(fleet):
    for hub in hubs_of(fleet):
        await fleet.kill(hub)
    await fleet.store.put("op/config", serving_fleet.configuration(7))
    await in_force(fleet, 7)


async def test_a_leaving_upstream_is_heeded_by_all_in_time(fleet):
    leaving = fleet.services[0]
    await fleet.announce(leaving, is_leaving=True)
    async with asyncio.timeout(BOUND_S):
        for daemon in fleet.entries:
            registry = daemon.samplers.registry
            await serving_fleet.eventually(
                lambda r=registry: (
                    leaving.name not in {s.name for s in r.of_service("app")}
                )
            )


async def test_news_that_a_deaf_watch_missed_are_listed(fleet):
    fleet.store.is_deaf = True
    await fleet.store.put("op/config", serving_fleet.configuration(8))
    await asyncio.sleep(1)
    fleet.store.is_deaf = False
    fleet.store.forget_history()
    await in_force(fleet, 8)
