"""Upstreams that name a limit, end to end through several daemons."""

import asyncio

import pytest

from poplarloft.coordination.serving.membership import roster
from poplarloft.daemon.serving.fleet import member_registry
from tests import serving_fleet

LIMIT_PER_S = 1.5
PACE_S = 0.06


@pytest.fixture
async def fleet(monkeypatch):
    monkeypatch.setattr(member_registry, "FIRST_LIST_DELAY_MS", 300)
    monkeypatch.setattr(roster, "LIST_INTERVAL_MS", 1_000)
    made = serving_fleet.Fleet()
    made.uses_change_feed = True
    made.has_members = True
    made.change_bound_ms = 60_000
    await made.start(entries=3, bulks=2)
    await serving_fleet.eventually(
        lambda: all(
            len(daemon.membership.members) == 5
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


async def test_siblings_with_room_take_what_a_limited_upstream_cannot(fleet):
    fleet.services[0].rate.set_limit(0.5)
    responses = await call_for(fleet, 3)
    assert {status for status, _, _ in responses} == {200}
    assert len(fleet.services[0].runs) < 10
    assert exceeded(fleet) == []


async def test_requests_beyond_all_limits_are_refused_as_not_run(fleet):
    for service in fleet.services:
        service.rate.set_limit(0.5)
    responses = await call_for(fleet, 3)
    refused = [headers for status, headers, _ in responses if status == 503]
    assert refused
    assert all(float(headers["retry-after"]) > 0 for headers in refused)
    runs = sum(len(service.runs) for service in fleet.services)
    assert runs == len(responses) - len(refused)


async def test_a_limit_ends_with_the_first_response_without_it(fleet):
    for service in fleet.services:
        service.rate.set_limit(1.0)
    await call_for(fleet, 2)
    for service in fleet.services:
        service.rate.set_limit(None)
    await call_for(fleet, 3)
    responses = await call_for(fleet, 1)
    assert {status for status, _, _ in responses} == {200}


async def test_all_instances_learn_of_a_limit_from_one_response(fleet):
    fleet.services[0].rate.set_limit(7.0)
    engine_id = (fleet.services[0].name, 1)
    entry = fleet.entries[0]
    while entry.limits.rate_of(engine_id) is None:
        await call(fleet, 0)
    daemons = (*fleet.entries, *fleet.bulks)
    await serving_fleet.eventually(
        lambda: all(d.limits.rate_of(engine_id) == 7.0 for d in daemons)
    )


async def test_the_deputy_issues_permits_when_the_first_issuer_is_gone(fleet):
    for service in fleet.services:
        service.rate.set_limit(3.0)
    await call_for(fleet, 2)
    await fleet.kill(fleet.bulks[1])
    await call_for(fleet, 1)
    responses = await call_for(fleet, 4)
    assert sum(status == 200 for status, _, _ in responses) >= 4
    assert exceeded(fleet) == []


@pytest.mark.parametrize(
    "headers",
    [
        (("Server-Limit", "-1"),),
        (("Server-Limit", "nan"),),
        (("Server-Limit", "soon"),),
        (("Server-Limit", "1"), ("Server-Limit", "2")),
    ],
)
async def test_an_unreadable_limit_is_no_limit(fleet, headers):
    for service in fleet.services:
        service.limit_headers = headers
    responses = await call_for(fleet, 0.5)
    assert {status for status, _, _ in responses} == {200}
    assert fleet.entries[0].limits.table.known == {}


async def test_a_limit_of_a_megabyte_fails_the_request_only(fleet):
    for service in fleet.services:
        service.limit_headers = (("Server-Limit", "1" * 1_000_000),)
    status, _, _ = await call(fleet, 0)
    assert status == 502
    for service in fleet.services:
        service.limit_headers = ()
    assert (await call(fleet, 1))[0] == 200


async def test_a_sibling_that_failed_once_is_tried_before_refusing(fleet):
    fleet.services[0].rate.set_limit(0)
    engine_id = (fleet.services[0].name, 1)
    entry = fleet.entries[0]
    while entry.limits.rate_of(engine_id) is None:
        await call(fleet, 0)
    fleet.services[1].failing = 1
    assert (await call(fleet, 0))[0] == 200
    assert len(fleet.services[0].runs) <= 2
