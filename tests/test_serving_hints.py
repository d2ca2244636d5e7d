"""Lots that the scheduler learns of from hints of entry daemons.

Hints arrive without the store's watches, so they may be newer or older
than the listing that the scheduler has.
"""

import asyncio

import pytest

from poplarloft.daemon.serving.store import lots_view
from poplarloft import state
from tests import serving_fleet


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet()
    made.uses_change_feed = True
    await made.start(entries=2)
    for daemon in (*made.entries, *made.bulks):
        await daemon.join_members(state.Address("127.0.0.1", 0))
    await asyncio.sleep(0.3)
    for daemon in (*made.entries, *made.bulks):
        await daemon.membership._list()
    for daemon in made.entries:
        await serving_fleet.eventually(daemon.leader_location.address)
    yield made
    await made.stop()


async def test_lot_runs_without_a_watch_event(fleet):
    # The first message to the leader only opens the connection.
    await fleet.submit("lot-0", serving_fleet.lot_body(1))
    await fleet.read_all("lot-0")
    fleet.store.drops_watch_events = True
    await fleet.submit("lot-a", serving_fleet.lot_body(4))
    await serving_fleet.eventually(
        lambda: sum(len(e.runs) for e in fleet.engines) >= 5, timeout_s=1
    )


async def test_end_stops_a_lot_without_a_watch_event(fleet):
    for engine in fleet.engines:
        engine.event_ms = 50
    await fleet.submit("lot-0", serving_fleet.lot_body(1))
    await fleet.submit("lot-a", serving_fleet.lot_body(30, events=20))
    await asyncio.sleep(0.5)
    fleet.store.drops_watch_events = True
    status, _, _ = await fleet.call("DELETE", "/poplarloft/lots/lot-a")
    assert status == 200
    scheduler = fleet.bulks[0].election.scheduler.lots
    await serving_fleet.eventually(
        lambda: "lot-a" in scheduler.ended_lots, timeout_s=1
    )


class RecordingListener:
    """Record the lots that a listener is notified of."""

    def __init__(self):
        self.started, self.ended = [], []

    def on_lot(self, record, is_new):
        self.started.append(record.lot.id)

    def on_lot_end(self, lot_id):
        self.ended.append(lot_id)


def view_at(revision):
    view = lots_view.LotsView(state.ManualClock())
    view.history = lots_view.serving.PrefixHistory(
        state.ManualClock(), "lots/"
    )
    view.history.on_listing((), revision, 0)
    view.listener = RecordingListener()
    return view


def lot_accepted(revision):
    lot = state.Lot("lot-a", "h", "/l/", "m", 0, 1, 1, ())
    return state.LotAccepted(state.LotRecord(lot, 0), revision)


def test_older_listing_does_not_end_a_lot_known_from_a_hint():
    view = view_at(10)
    view.on_accepted(lot_accepted(12))
    view.history.on_listing((), 11, 0)
    view.on_listing(())
    assert view.listener.started == ["lot-a"]
    assert view.listener.ended == []
    view.history.on_listing((), 13, 0)
    view.on_listing(())
    assert view.listener.ended == ["lot-a"]


def test_late_hint_does_not_restart_an_ended_lot():
    view = view_at(10)
    view.history.on_listing((), 15, 0)
    view.on_accepted(lot_accepted(12))
    assert view.listener.started == []
