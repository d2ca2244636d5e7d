"""Orders of a leader and its successor to engines that check no fences."""

import asyncio

import pytest

from poplarloft.coordination.serving.leadership import order_lock
from poplarloft import state
from tests import serving_fleet

TURN_MS = 1_000
MS_PER_S = 1_000


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet()
    made.order_turn_ms = TURN_MS
    for engine in made.engines:
        engine.checks_fence = False
    await made.start(bulks=3)
    yield made
    await made.stop()


async def name_version(fleet, version):
    value = b'{"model":"m","version":%d}' % version
    await fleet.store.put("op/version/m", value)


async def leader_of(fleet):
    def leaders():
        return [
            daemon
            for daemon in fleet.bulks
            if daemon.election.scheduler and daemon.orders.is_held
        ]

    await serving_fleet.eventually(leaders)
    return leaders()[0]


def check_turns(engine):
    """Check that fences never fall, and that nobody orders by turns."""
    rows = list(zip(engine.orders, engine.order_times, strict=True))
    last_s = {}
    previous = None
    for order, at_s in rows:
        holder = order["holder"]
        if previous is not None and previous["holder"] != holder:
            assert previous["fence"] < order["fence"]
            if holder in last_s:
                assert at_s - last_s[holder] >= TURN_MS / MS_PER_S
        last_s[holder] = at_s
        previous = order


async def test_leader_that_lost_the_store_and_its_successor_take_no_turns(
    fleet,
):
    leader = await leader_of(fleet)
    await serving_fleet.eventually(
        lambda: len(leader.standby_link.receivers) == 2
    )
    leader.store.direct.address = fleet.store.refusing_address
    leader.store.update_peers({})
    leader.peers.send = lambda *message, **options: None
    others = [daemon for daemon in fleet.bulks if daemon is not leader]
    await name_version(fleet, 2)
    leader.views.operator.targets.update(others[0].views.operator.targets)
    leader.election.scheduler.lots.wake()
    await serving_fleet.eventually(
        lambda: any(daemon.election.scheduler for daemon in others)
    )
    await serving_fleet.eventually(
        lambda: any(daemon.orders.is_held for daemon in others)
    )
    await name_version(fleet, 3)
    await serving_fleet.eventually(
        lambda: all(engine.versions["m"] == 3 for engine in fleet.engines)
    )
    holders = {order["holder"] for e in fleet.engines for order in e.orders}
    assert holders - {leader.settings.name}
    for engine in fleet.engines:
        check_turns(engine)


async def test_successor_of_a_killed_leader_waits_before_its_first_order(
    fleet,
):
    leader = await leader_of(fleet)
    await name_version(fleet, 2)
    await serving_fleet.eventually(
        lambda: all(engine.versions["m"] == 2 for engine in fleet.engines)
    )
    await fleet.kill(leader)
    await name_version(fleet, 3)
    await serving_fleet.eventually(
        lambda: all(engine.versions["m"] == 3 for engine in fleet.engines)
    )
    for engine in fleet.engines:
        check_turns(engine)
        first_s, last_s = engine.order_times[0], engine.order_times[-1]
        wait_ms = order_lock.VALID_MS
        assert last_s - first_s >= wait_ms / MS_PER_S


async def test_leader_that_stops_hands_the_lock_over(fleet):
    leader = await leader_of(fleet)
    await leader.stop()
    fleet.bulks.remove(leader)
    successor = await leader_of(fleet)
    assert successor.orders.holder.name == leader.settings.name
    assert successor.orders.holder.is_released
    await name_version(fleet, 2)
    await serving_fleet.eventually(
        lambda: all(engine.versions["m"] == 2 for engine in fleet.engines)
    )


async def test_leader_that_was_replaced_does_not_come_back_at_once(fleet):
    """Its lease was revoked, and it hears nothing of its successor."""
    leader = await leader_of(fleet)
    fleet.store.drops_watch_events = True  # its renewal fails first
    leader.peers.sockets.send = lambda *args, **options: False
    leader.peers.on(state.Heartbeat, lambda heartbeat: None)
    others = [daemon for daemon in fleet.bulks if daemon is not leader]
    await serving_fleet.eventually(
        lambda: any(d.election.scheduler for d in others)
    )
    await serving_fleet.eventually(lambda: leader.election.scheduler is None)
    await asyncio.sleep(3)
    assert leader.election.scheduler is None
    assert any(d.election.scheduler for d in others)
