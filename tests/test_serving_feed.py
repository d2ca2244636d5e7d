"""Change feeds: few daemons watch the store and the others read from them.

A change must come into force within its bound when the sources lose
the store, when they end, and when a watch silently misses events.
"""

import asyncio
import time

import pytest

from poplarloft import state
from tests import serving_fleet

BOUND_S = serving_fleet.CHANGE_BOUND_MS / 1_000
SETTLED_S = 6


@pytest.fixture
async def fleet(request):
    made = serving_fleet.Fleet()
    made.uses_change_feed = True
    made.change_bound_ms = getattr(
        request, "param", serving_fleet.CHANGE_BOUND_MS
    )
    await made.start(entries=5)
    for daemon in (*made.entries, *made.bulks):
        await daemon.join_members(state.Address("127.0.0.1", 0))
    await asyncio.sleep(0.3)
    for daemon in made.entries:
        await daemon.membership._list()
    await asyncio.sleep(SETTLED_S)
    yield made
    await made.stop()


def sources_of(fleet):
    return [d for d in fleet.entries if d.feed.reader.is_source]


async def wait_until_in_force(fleet, version):
    async with asyncio.timeout(BOUND_S):
        for daemon in fleet.entries:
            await serving_fleet.eventually(
                lambda d=daemon: d.operator.configuration.version >= version
            )


# A reader lists the store itself once its feed is older than 0.7 of the
# bound, which an event loop held up by a busy machine can cause.
@pytest.mark.parametrize("fleet", [60_000], indirect=True)
async def test_only_two_daemons_watch_the_store(fleet):
    assert len(sources_of(fleet)) == 2
    others = [d for d in fleet.entries if d not in sources_of(fleet)]
    before = [d.store.calls for d in others]
    await fleet.store.put("op/config", serving_fleet.configuration(5))
    await wait_until_in_force(fleet, 5)
    time.sleep(2 * BOUND_S)  # noqa: ASYNC251 - holds up all daemons
    await asyncio.sleep(2)
    # Peers are listed each 20 s.
    assert all(
        d.store.calls - b <= 1 for d, b in zip(others, before, strict=True)
    )


async def test_change_is_in_force_after_both_sources_lost_the_store(fleet):
    for source in sources_of(fleet):
        source.store.direct.address = fleet.store.refusing_address
        source.store.update_peers({})
    await fleet.store.put("op/config", serving_fleet.configuration(6))
    sources = sources_of(fleet)
    fleet.entries[:] = [d for d in fleet.entries if d not in sources]
    try:
        await wait_until_in_force(fleet, 6)
    finally:
        fleet.entries += sources


async def test_change_is_in_force_after_both_sources_ended(fleet):
    for source in sources_of(fleet):
        await fleet.kill(source)
    await fleet.store.put("op/config", serving_fleet.configuration(7))
    await wait_until_in_force(fleet, 7)


async def test_all_daemons_drop_a_leaving_upstream_in_time(fleet):
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


async def test_changes_that_a_silent_watch_missed_are_listed(fleet):
    fleet.store.drops_watch_events = True
    await fleet.store.put("op/config", serving_fleet.configuration(8))
    await asyncio.sleep(1)
    fleet.store.drops_watch_events = False
    fleet.store.compact_history()
    await wait_until_in_force(fleet, 8)
