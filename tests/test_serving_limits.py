"""Upstreams that name a limit, end to end through several daemons."""

import asyncio

import pytest

from poplarloft.daemon.serving import store_relay
from tests import serving_fleet

LIMIT_PER_S = 1.5
PACE_S = 0.06


@pytest.fixture
async def fleet(monkeypatch):
    monkeypatch.setattr(store_relay, "FIRST_LIST_DELAY_MS", 300)
    monkeypatch.setattr(store_relay, "LIST_INTERVAL_MS", 1_000)
    made = serving_fleet.Fleet()
    made.uses_change_feed = True
    made.has_members = True
    made.change_bound_ms = 60_000
    await made.start(entries=3, bulks=2)
    await serving_fleet.eventually(
        lambda: all(
            len(daemon.relay.members) == 5
            for daemon in (*made.entries, *made.bulks)
        )
    )
    yield made
    await made.stop()


async def call(fleet, number, deadline_ms=1_500):
    daemon = fleet.entries[number % len(fleet.entries)]
    headers = (
        ("x-request-id", f"r{number}"),
        ("x-deadline-ms", str(deadline_ms)),
    )
    return await fleet.call("POST", "/p/1", b"", headers, daemon)


async def call_for(fleet, seconds):
    """Send requests to all entries in turn; return their responses."""
    calls = []
    for number in range(int(seconds / PACE_S)):
        calls.append(asyncio.ensure_future(call(fleet, number)))
        await asyncio.sleep(PACE_S)
    return await asyncio.gather(*calls)


def exceeded(fleet):
    upstreams = (*fleet.services, *fleet.engines)
    return [line for upstream in upstreams for line in upstream.rate.exceeded]


async def test_instances_together_exceed_no_limit_of_an_upstream(fleet):
    for service in fleet.services:
        service.rate.set_limit(LIMIT_PER_S)
    responses = await call_for(fleet, 6)
    assert exceeded(fleet) == []
    assert {status for status, _, _ in responses} <= {200, 503}
    answered = sum(status == 200 for status, _, _ in responses)
    assert answered >= LIMIT_PER_S * 4


async def test_items_and_scores_exceed_no_limit_and_none_is_lost(fleet):
    for upstream in (*fleet.services, *fleet.engines):
        upstream.rate.set_limit(LIMIT_PER_S)
    assert await fleet.submit("warm", serving_fleet.lot_body(2)) == 202
    await fleet.read_all("warm")
    await asyncio.sleep(1)
    body = serving_fleet.lot_body(34, groups=34, wanted=34)
    assert await fleet.submit("lot", body.replace(b"item-", b"i-")) == 202
    results = await fleet.read_all("lot", timeout_s=60)
    assert exceeded(fleet) == []
    assert {row["state"] for row in results} == {"completed"}
