"""Refutation, suspicion, pauses and digests among a few members."""

import random

from poplarloft import coordination
from poplarloft import state


def record(name, data_centre="norte-a", incarnation=1):
    address = state.Address("127.0.0.1", 1)
    return state.MemberRecord(
        name,
        incarnation,
        0,
        state.MemberStatus.ALIVE,
        address,
        address,
        state.Location("norte", data_centre),
    )


def member(name, *others, clock=None):
    clock = clock or state.ManualClock(1_000)
    view = coordination.Membership(
        clock, random.Random(1), record(name), coordination.UpdateStore()
    )
    for other in others:
        view.on_update(other)
    return view


def with_status(known, status, refutation=0):
    return state.MemberRecord(
        known.name,
        known.incarnation,
        refutation,
        status,
        known.peer_address,
        known.http_address,
        known.location,
    )


def test_suspected_member_refutes():
    view = member("a", record("b"))
    suspect = with_status(view.own_record, state.MemberStatus.SUSPECT)
    assert view.on_update(suspect)
    assert view.own_record.refutation == 1
    assert view.own_record.status is state.MemberStatus.ALIVE


def test_claim_about_an_earlier_incarnation_is_ignored():
    view = member("a", record("b", incarnation=5))
    dead = with_status(record("b", incarnation=4), state.MemberStatus.DEAD)
    assert not view.on_update(dead)
    assert view.members["b"].status is state.MemberStatus.ALIVE


def test_late_alive_does_not_revert_a_suspicion_of_equal_refutation():
    view = member("a", record("b"))
    view.on_update(with_status(record("b"), state.MemberStatus.SUSPECT))
    assert not view.on_update(record("b"))
    assert view.on_update(
        with_status(record("b"), state.MemberStatus.ALIVE, 1)
    )


def test_unanswered_probe_leads_to_suspicion_then_death():
    clock = state.ManualClock(1_000)
    view = member("a", record("b"), clock=clock)
    statuses = []
    for _ in range(400):
        view.tick()
        statuses.append(view.members["b"].status)
        clock.advance(10)
    assert state.MemberStatus.SUSPECT in statuses
    assert statuses[-1] is state.MemberStatus.DEAD


def test_paused_observer_extends_timeouts_of_others():
    clock = state.ManualClock(1_000)
    view = member("a", record("b"), clock=clock)
    view.tick()
    clock.advance(5_000)
    view.tick()
    assert view.members["b"].status is state.MemberStatus.ALIVE
    assert view.health_score > 0


def test_digests_repair_lost_updates():
    first, second = member("a", record("b")), member("b", record("a"))
    first.on_update(state.LeavingUpdate("engine-1", 2))
    first.store.pending.clear()
    digest = second.store.digest()
    for action in first.on_digest("b", digest, False):
        if isinstance(action, coordination.SendUpdates):
            for update in action.updates:
                second.on_update(update)
    assert second.store.get(("leaving", "engine-1")).incarnation == 2


def test_older_update_never_replaces_a_newer_one():
    store = coordination.UpdateStore()
    assert store.put(state.LeavingUpdate("engine-1", 2))
    assert not store.put(state.LeavingUpdate("engine-1", 1))
    assert store.get(("leaving", "engine-1")).incarnation == 2


def test_dropped_update_leaves_the_digest():
    store = coordination.UpdateStore()
    before = store.digest()
    update = state.LeavingUpdate("engine-1", 2)
    store.put(update)
    store.drop(update.key)
    assert store.digest() == before
