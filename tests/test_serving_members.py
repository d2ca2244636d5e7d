"""Daemons that are gone leave the list of members, those that live stay."""

import asyncio
import base64
import json

import pytest

from poplarloft.coordination import serving
from poplarloft.coordination.serving.membership import roster
from poplarloft.coordination.serving.membership import tenure
from poplarloft.daemon.serving.streams import stream_link
from tests import serving_fleet
from tests import serving_streams

pytestmark = pytest.mark.alone

ROUNDS = 9
LEASE_MS = 2_000
LIMIT_PER_S = 5.0
ITEMS = 16


@pytest.fixture
async def fleet(monkeypatch):
    monkeypatch.setattr(serving, "MEMBER_LEASE_MS", LEASE_MS)
    monkeypatch.setattr(tenure, "RENEW_INTERVAL_MS", 600)
    monkeypatch.setattr(tenure, "RETRY_MS", 200)
    monkeypatch.setattr(tenure, "SETTLING_MS", 3_000)
    monkeypatch.setattr(roster, "CONFIRM_DELAY_MS", 600)
    monkeypatch.setattr(roster, "MIN_INTERVAL_MS", 600)
    monkeypatch.setattr(stream_link, "MAX_UNLISTED_MS", 2_000)
    made = await serving_streams.start_fleet(monkeypatch, entries=3, bulks=3)
    await serving_streams.set_versions(made, made.services, "a", "b")
    yield made
    await made.stop()


def names_of(fleet):
    return {d.settings.name for d in (*fleet.entries, *fleet.bulks)}


def listed_in_store(fleet):
    return {
        key.removeprefix("members/"): entry
        for key, entry in fleet.store.entries.items()
        if key.startswith("members/")
    }


async def retire(fleet, daemon):
    """Take a bulk daemon away by plan."""
    name = daemon.settings.name
    status = f"status/retire/{name}"
    await fleet.store.put(f"op/retire/{name}", b'{"over_s": 9.0}')
    await serving_fleet.eventually(lambda: status in fleet.store.entries)
    value = base64.b64decode(fleet.store.entries[status].value)
    assert json.loads(value)["state"] == "completed"
    fleet.bulks.remove(daemon)
    await daemon.stop()
    await fleet.store.remove(f"op/retire/{name}")


async def replace_all(fleet, take_away):
    """Replace each bulk daemon by one under another name, in turn."""
    for number in range(ROUNDS):
        for place, old in enumerate(list(fleet.bulks)):
            await fleet.add_bulk(f"bulk-{place}-{number}")
            await take_away(fleet, old)
            await asyncio.sleep(0.1)


async def expect_service(fleet):
    """Check that streams go on, and that a limited step becomes whole."""
    streams = await serving_streams.begin_streams(fleet)
    await asyncio.sleep(0.5)
    statuses = await serving_streams.take_up(fleet, streams)
    assert serving_streams.joined([s.lines for s in streams]) == []
    assert statuses.count(200) >= 0.9 * serving_streams.STREAMS
    for engine in fleet.engines:
        engine.rate.set_limit(LIMIT_PER_S)
    assert await fleet.submit("warm", serving_fleet.lot_body(4)) == 202
    await fleet.read_all("warm")
    body = serving_fleet.lot_body(ITEMS, events=2).replace(b"item-", b"i-")
    assert await fleet.submit("lot", body) == 202
    results = await fleet.read_all("lot", timeout_s=10)
    assert {row["state"] for row in results} == {"completed"}
    assert not any(engine.rate.exceeded for engine in fleet.engines)


@pytest.mark.parametrize("take_away", [retire, serving_fleet.Fleet.kill])
async def test_who_was_replaced_is_chosen_for_nothing(fleet, take_away):
    """Guards against issuers and keepers that are gone (LOST, review/9)."""
    await replace_all(fleet, take_away)
    await serving_fleet.eventually(
        lambda: all(
            set(d.membership.members) == names_of(fleet)
            for d in (*fleet.entries, *fleet.bulks)
        )
    )
    assert set(listed_in_store(fleet)) == names_of(fleet)
    await expect_service(fleet)


async def test_a_daemon_that_stops_takes_itself_off_the_list(fleet):
    """Guards against entries that outlast a planned stop."""
    assert all(entry.lease for entry in listed_in_store(fleet).values())
    daemon = fleet.entries.pop()
    fleet.grace_s = 1
    await daemon.stop()
    assert daemon.settings.name not in listed_in_store(fleet)
    # A stop that takes effect late leaves the next run's entry alone.
    daemon.membership.tenure.is_listed = True
    again = await fleet.add_entry(daemon.settings.name)
    await serving_fleet.eventually(lambda: again.membership.tenure.is_listed)
    await daemon.membership.leave()
    assert daemon.settings.name in listed_in_store(fleet)


async def test_an_outage_of_the_store_drops_nobody(fleet):
    """Guards against a list that shrinks as the store comes back."""
    fleet.store.is_down = True
    await serving_fleet.eventually(lambda: not listed_in_store(fleet))
    fleet.store.is_down = False
    everybody = names_of(fleet)
    async with asyncio.timeout(2):
        while set(listed_in_store(fleet)) != everybody:
            await asyncio.sleep(0.05)
    for _ in range(30):
        for daemon in (*fleet.entries, *fleet.bulks):
            assert set(daemon.membership.members) == everybody
        await asyncio.sleep(0.1)
    await expect_service(fleet)
