"""Usage of accounts is reported once a window, whoever leads."""

import asyncio
import collections
import json
import time

import pytest

from standins import infrastructure
from tests import serving_fleet
from tests import test_serving_accounts

WINDOW_S = 1.0
DUE_S = 3.0


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet(services=2, engines=1)
    made.has_members = True
    made.uses_change_feed = True
    made.infrastructure = infrastructure.InfrastructureStandin()
    made.extra = [
        f"--infrastructure={await made.infrastructure.start()}",
        f"--metering-window-s={WINDOW_S}",
        f"--metering-due-s={DUE_S}",
    ]
    await made.start(entries=2, bulks=3)
    await made.store.put("op/config", test_serving_accounts.configuration(2))
    await serving_fleet.eventually(
        lambda: all(
            d.operator.configuration.version == 2 for d in made.entries
        )
    )
    yield made
    await made.stop()
    await made.infrastructure.stop()


def reported(fleet):
    """Return the counts of each window; check that no two reports differ."""
    found = {}
    for body in fleet.infrastructure.bodies("/usage"):
        counts = body["counts"]
        assert found.setdefault(body["window"], counts) == counts
    return found


def check_fences(fleet):
    fences = [call.fence for call in fleet.infrastructure.calls]
    assert fences == sorted(fences)


async def send_for(fleet, seconds):
    """Send requests of both accounts; return how many got an answer."""
    sent = collections.Counter()
    end_s = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end_s:
        number += 1
        for key, account in (("key-norte-1", "norte"), ("key-sur-1", "sur")):
            daemon = fleet.entries[number % len(fleet.entries)]
            status = await test_serving_accounts.send(
                fleet, key, request_id=f"{account}-{number}", daemon=daemon
            )
            sent[account] += status == 200
        await asyncio.sleep(0.05)
    return sent


def total(fleet):
    counts = collections.Counter()
    for row in reported(fleet).values():
        counts.update(row)
    return counts


async def reports_all(fleet, sent, timeout_s=10):
    """Wait until all that was sent is reported; name what differs if not."""
    try:
        await serving_fleet.eventually(lambda: total(fleet) == sent, timeout_s)
    except TimeoutError:
        raise AssertionError(
            f"sent {sent}, reported {total(fleet)} in {reported(fleet)}"
        ) from None


async def announced(fleet):
    """Wait until entries know the leader."""
    await serving_fleet.eventually(
        lambda: all(d.leader_location.address() for d in fleet.entries)
    )


async def test_each_request_is_counted_in_one_window(fleet):
    await announced(fleet)
    sent = await send_for(fleet, 3)
    await reports_all(fleet, sent)
    assert len(reported(fleet)) >= 3
    check_fences(fleet)


async def test_successor_reports_the_same(fleet):
    await announced(fleet)
    sending = asyncio.create_task(send_for(fleet, 6))
    await serving_fleet.eventually(lambda: len(reported(fleet)) >= 2)
    leader = next(d for d in fleet.bulks if d.election.scheduler)
    await fleet.kill(leader)
    sent = await sending
    await reports_all(fleet, sent, timeout_s=20)
    holders = {call.holder for call in fleet.infrastructure.calls}
    assert len(holders) == 2
    check_fences(fleet)


async def test_lost_answers_and_an_outage_change_no_count(fleet):
    await announced(fleet)
    fleet.infrastructure.lost_answers = 2
    sending = asyncio.create_task(send_for(fleet, 4))
    await serving_fleet.eventually(lambda: len(reported(fleet)) >= 1)
    fleet.infrastructure.is_down = True
    fleet.store.lost_writes = 1
    await asyncio.sleep(1)
    fleet.infrastructure.is_down = False
    sent = await sending
    await reports_all(fleet, sent, timeout_s=20)


async def test_counts_are_recorded_before_they_are_reported(fleet):
    await announced(fleet)
    await send_for(fleet, 1)
    await serving_fleet.eventually(lambda: reported(fleet))
    windows = set(reported(fleet))
    recorded = {
        int(key.removeprefix("metering/"))
        for key in fleet.store.entries
        if key.startswith("metering/")
    }
    assert windows <= recorded


async def test_requests_that_were_refused_are_not_counted(fleet):
    await announced(fleet)
    for service in fleet.services:
        service.slots = 0
    status = await test_serving_accounts.send(fleet, "key-norte-1")
    assert status == 503
    await serving_fleet.eventually(lambda: len(reported(fleet)) >= 2)
    assert json.dumps(dict(total(fleet))) == "{}"
