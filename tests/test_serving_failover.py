"""Failover of the lot scheduler, with and without the store.

When the leader dies during a store outage, no standby can get the
leader key. The preferred standby continues the lots from checkpoints,
but sends no orders before it has a fencing token; a standby that is
itself isolated must not start a second scheduler.
"""

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
        await daemon.join_members(state.Address("127.0.0.1", 0))
    await asyncio.sleep(0.3)
    for daemon in (*made.entries, *made.bulks):
        await daemon.membership._list()
    for engine in made.engines:
        engine.event_ms = EVENT_MS
    yield made
    await made.stop()


async def leader_and_standby(fleet):
    """Return the leader and its preferred standby, once it is synced."""
    await serving_fleet.eventually(
        lambda: any(d.election.scheduler for d in fleet.bulks)
    )
    leader = next(d for d in fleet.bulks if d.election.scheduler)
    await serving_fleet.eventually(
        lambda: len(leader.standby_link.receivers) == 2
    )
    name = leader.standby_link.receivers[0]
    standby = next(d for d in fleet.bulks if d.settings.name == name)
    await serving_fleet.eventually(
        lambda: standby.standby_link.is_synced and standby.views.lots.records
    )
    return leader, standby


def count_runs(fleet):
    return sum(len(engine.runs) for engine in fleet.engines)


async def test_standby_continues_while_the_store_is_unavailable(fleet):
    await fleet.submit("lot-a", serving_fleet.lot_body(4, events=EVENTS))
    leader, standby = await leader_and_standby(fleet)
    await asyncio.sleep(1)
    fleet.store.is_down = True
    await asyncio.sleep(0.8)
    run_count = count_runs(fleet)
    await fleet.kill(leader)
    await serving_fleet.eventually(lambda: count_runs(fleet) > run_count)
    assert standby.election.scheduler.fence == 0
    assert not standby.election.scheduler.may_send_orders
    event_counts = [count for e in fleet.engines for _, count in e.resumed]
    # Events older than one and a half heartbeats are checkpointed.
    assert min(event_counts[-4:]) >= 0.6 * 1_800 / EVENT_MS
    await asyncio.sleep(2)
    fleet.store.is_down = False
    results = await fleet.read_all("lot-a", timeout_s=4)
    assert len(results) == 4
    for row in results:
        expected = [f"{row['id']}-{n}" for n in range(1, EVENTS + 1)]
        assert row["text"].split("\n") == expected
    await serving_fleet.eventually(
        lambda: standby.election.scheduler.fence > 0
    )
    assert standby.election.scheduler.may_send_orders


async def test_isolated_standby_starts_nothing(fleet):
    await fleet.submit("lot-a", serving_fleet.lot_body(4, events=EVENTS))
    leader, standby = await leader_and_standby(fleet)
    unreachable = state.Address("127.0.0.1", 1)
    standby.store.direct.address = unreachable
    standby.store.update_peers({"gone": unreachable})
    standby.client.close()
    # Messages from and to other daemons are lost.
    standby.peers.handlers.clear()
    standby.standby_link.other_standbys = (unreachable,)
    await asyncio.sleep(2.5)
    assert standby.election.scheduler is None
    assert len(await fleet.read_all("lot-a")) == 4


async def test_standby_reads_leader_changes_instead_of_watching(fleet):
    await fleet.submit("lot-a", serving_fleet.lot_body(2, events=EVENTS))
    _, standby = await leader_and_standby(fleet)
    await asyncio.sleep(9)
    before = standby.store.calls
    await fleet.store.put("op/config", serving_fleet.configuration(3))
    await serving_fleet.eventually(
        lambda: standby.views.operator.configuration.version == 3
    )
    # Only the leader key is watched, with a call each 8 s.
    assert standby.store.calls - before <= 2


async def test_leader_with_expired_lease_resumes_its_outputs(fleet):
    await fleet.submit("lot-a", serving_fleet.lot_body(4, events=EVENTS))
    leader, standby = await leader_and_standby(fleet)
    scheduler = leader.election.scheduler
    fence = scheduler.fence
    # The store applies the next write after the caller timed out.
    fleet.store.late_writes = 1
    await fleet.store.remove("cells/0/runner")
    await fleet.store._revoke_lease(leader.election.key.lease)
    await serving_fleet.eventually(
        lambda: any(
            d.election.scheduler and d.election.scheduler.fence > fence
            for d in fleet.bulks
        )
    )
    assert len(await fleet.read_all("lot-a")) == 4


async def test_unreadable_leader_key_is_replaced(fleet):
    await fleet.submit("lot-a", serving_fleet.lot_body(4))
    leader, _ = await leader_and_standby(fleet)
    await fleet.kill(leader)
    await fleet.store.put("cells/0/runner", b"damaged")
    await serving_fleet.eventually(
        lambda: any(
            d.election.scheduler and d.election.scheduler.fence
            for d in fleet.bulks
        )
    )


@pytest.mark.parametrize("part", ["heartbeats", "renewal", "campaign"])
async def test_error_in_the_election_costs_one_term_at_most(fleet, part):
    """Each part of the election fails once, on all daemons."""
    await fleet.submit("lot-0", serving_fleet.lot_body(1))
    await leader_and_standby(fleet)
    for daemon in fleet.bulks:
        if part == "heartbeats":
            _fail_once(daemon.standby_link, "_choose_receivers")
        elif part == "renewal":
            _fail_once(daemon.election.key, "renew")
        else:
            _fail_once(daemon.election, "_stand_by")
    await fleet.submit("lot-a", serving_fleet.lot_body(4))
    assert len(await fleet.read_all("lot-a", timeout_s=30)) == 4


def _fail_once(owner, name):
    def fail(*args):
        delattr(owner, name)
        raise ValueError(f"{name} failed on demand")

    setattr(owner, name, fail)
