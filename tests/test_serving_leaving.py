"""Upstreams that say in their responses that they leave."""

import asyncio
import time

import pytest

from poplarloft.coordination.serving.membership import roster
from poplarloft.daemon.serving.fleet import member_registry
from tests import serving_fleet

LEAVING = (("Server-Leaving", "1"),)
BOUND_S = 2.0
PACE_S = 0.05


@pytest.fixture
async def fleet(monkeypatch):
    monkeypatch.setattr(member_registry, "FIRST_LIST_DELAY_MS", 300)
    monkeypatch.setattr(roster, "LIST_INTERVAL_MS", 1_000)
    made = serving_fleet.Fleet(services=4, engines=3)
    made.uses_change_feed = True
    made.has_members = True
    made.change_bound_ms = int(BOUND_S * 1_000)
    await made.start(entries=3, bulks=2)
    await serving_fleet.eventually(
        lambda: all(
            len(daemon.membership.members) == 5
            for daemon in (*made.entries, *made.bulks)
        )
    )
    yield made
    await made.stop()


class Caller:
    """Sends requests to the entries in turn, and remembers when."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent_at = {}

    async def call(self, number):
        request_id = f"r{number}"
        self.sent_at[request_id] = time.monotonic()
        entries = self.fleet.entries
        headers = (("x-request-id", request_id), ("x-deadline-ms", "1500"))
        return await self.fleet.call(
            "POST", "/p/1", b"", headers, entries[number % len(entries)]
        )

    async def call_for(self, seconds):
        """Return the responses to requests of some seconds."""
        start = len(self.sent_at)
        calls = []
        for number in range(int(seconds / PACE_S)):
            calls.append(asyncio.ensure_future(self.call(start + number)))
            await asyncio.sleep(PACE_S)
        return await asyncio.gather(*calls)

    def late_runs(self):
        """Return the requests that reached a leaving upstream too late."""
        return [
            run
            for service in self.fleet.services
            for run in service.runs
            if service.leaving_since is not None
            and run in self.sent_at
            and self.sent_at[run] > service.leaving_since + BOUND_S
        ]


@pytest.fixture
def caller(fleet):
    return Caller(fleet)


async def test_siblings_take_the_requests_of_upstreams_that_leave(
    fleet, caller
):
    for service in fleet.services[:2]:
        service.leaving_headers = LEAVING
    responses = await caller.call_for(4)
    assert {status for status, _, _ in responses} == {200}
    assert caller.late_runs() == []


async def test_requests_are_refused_unrun_once_all_upstreams_leave(
    fleet, caller
):
    for service in fleet.services:
        service.leaving_headers = LEAVING
    responses = await caller.call_for(BOUND_S / 4)
    assert {status for status, _, _ in responses} == {200}
    await asyncio.sleep(BOUND_S)
    responses = await caller.call_for(1)
    assert {status for status, _, _ in responses} == {503}
    assert all(
        float(headers["retry-after"]) > 0 for _, headers, _ in responses
    )
    assert caller.late_runs() == []


def upstreams_of(daemon):
    """Return the plain services that a daemon may use."""
    view = getattr(daemon, "samplers", None) or daemon.views.samplers
    return view.registry.of_service("app")


async def test_other_instances_learn_of_an_upstream_that_leaves(fleet):
    for service in fleet.services:
        service.leaving_headers = LEAVING
    await fleet.call("POST", "/p/1", b"")
    (leaving,) = [s.name for s in fleet.services if s.leaving_since]
    daemons = (*fleet.entries, *fleet.bulks)
    await serving_fleet.eventually(
        lambda: all(
            leaving not in {s.name for s in upstreams_of(daemon)}
            for daemon in daemons
        ),
        timeout_s=2,
    )


async def test_neither_the_store_nor_its_absence_ends_what_was_said(
    fleet, caller
):
    for service in fleet.services[:2]:
        service.leaving_headers = LEAVING
    await caller.call_for(1)
    for service in fleet.services[:2]:
        await fleet.announce(service)
    await caller.call_for(1)
    fleet.store.is_down = True
    await asyncio.sleep(0.5)
    await fleet.store.remove("servers/s0")
    fleet.store.is_down = False
    await asyncio.sleep(1)
    await fleet.announce(fleet.services[0])
    responses = await caller.call_for(2)
    assert {status for status, _, _ in responses} == {200}
    assert caller.late_runs() == []


async def test_an_upstream_that_starts_again_is_used_at_once(fleet, caller):
    for service in fleet.services:
        service.leaving_headers = LEAVING
    await caller.call_for(1)
    await asyncio.sleep(BOUND_S)
    service = fleet.services[0]
    service.leaving_headers, service.leaving_since = (), None
    service.born_ms = 7
    await fleet.announce(service)
    await asyncio.sleep(1.2)
    responses = await caller.call_for(0.5)
    assert {status for status, _, _ in responses} == {200}


async def test_items_and_scores_leave_upstreams_that_leave(fleet):
    body = serving_fleet.lot_body(4, groups=2, wanted=2)
    assert await fleet.submit("first", body) == 202
    await fleet.read_all("first")
    for upstream in (*fleet.services[:2], fleet.engines[0]):
        upstream.leaving_headers = LEAVING
    # So many items that each engine gets some.
    second = serving_fleet.lot_body(24, groups=6, wanted=6)
    assert await fleet.submit("second", second.replace(b"item-", b"s-")) == 202
    await fleet.read_all("second")
    for upstream in (*fleet.services[:2], fleet.engines[0]):
        assert upstream.leaving_since is not None
    await asyncio.sleep(BOUND_S)
    started_s = time.monotonic()
    third = serving_fleet.lot_body(40, groups=10, wanted=10)
    assert await fleet.submit("third", third.replace(b"item-", b"t-")) == 202
    results = await fleet.read_all("third")
    assert {row["state"] for row in results} == {"completed"}
    late = [
        run
        for upstream in (*fleet.services[:2], fleet.engines[0])
        for run, at_s in upstream.run_times
        if at_s > started_s
    ]
    assert late == []


@pytest.mark.parametrize(
    "headers",
    [
        (("Server-Leaving", "0"),),
        (("Server-Leaving", "yes"),),
        (("Server-Leaving", ""),),
        (("Server-Leaving", "1"), ("Server-Leaving", "1")),
        (("Server-Leaving", "1" * 10_000),),
    ],
    ids=["zero", "word", "empty", "two", "long"],
)
async def test_odd_values_say_nothing(fleet, caller, headers):
    for service in fleet.services:
        service.leaving_headers = headers
    await caller.call_for(0.3)
    await asyncio.sleep(BOUND_S)
    responses = await caller.call_for(0.3)
    assert {status for status, _, _ in responses} == {200}
