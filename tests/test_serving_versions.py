"""Upstreams of several software versions, whose events don't fit together."""

import asyncio
import itertools

import pytest

from poplarloft.coordination.serving.streams import stream_versions
from tests import serving_fleet
from tests import serving_streams

EVENTS = serving_streams.EVENTS
STREAMS = serving_streams.STREAMS


@pytest.fixture
async def fleet(monkeypatch):
    made = await serving_streams.start_fleet(monkeypatch)
    yield made
    await made.stop()


async def cut_engines(fleet, seconds):
    """Cut one output after the other, at all engines."""
    for engine in itertools.islice(
        itertools.cycle(fleet.engines), int(seconds / 0.05)
    ):
        engine.breaks_after = 12
        await asyncio.sleep(0.05)


async def test_no_item_holds_events_of_two_software_versions(fleet):
    await serving_streams.set_versions(fleet, fleet.engines, "a", "b")
    body = serving_fleet.lot_body(40, groups=10, events=EVENTS, wanted=10)
    cutting = asyncio.create_task(cut_engines(fleet, 3))
    assert await fleet.submit("lot", body) == 202
    results = await fleet.read_all("lot", timeout_s=40)
    await cutting
    texts = [row["text"].split("\n") for row in results]
    assert serving_streams.joined(texts) == []
    assert {len(text) for text in texts} == {EVENTS}
    assert sum(len(engine.resumed) for engine in fleet.engines) >= 5


async def test_no_item_holds_two_versions_after_the_leader_ended(fleet):
    await serving_streams.set_versions(fleet, fleet.engines, "a", "b")
    body = serving_fleet.lot_body(30, groups=10, events=EVENTS, wanted=10)
    assert await fleet.submit("lot", body) == 202
    await asyncio.sleep(0.25)
    leader = next(
        bulk for bulk in fleet.bulks if bulk.election.scheduler is not None
    )
    await fleet.kill(leader)
    results = await fleet.read_all("lot", timeout_s=40)
    assert (
        serving_streams.joined([row["text"].split("\n") for row in results])
        == []
    )
    assert any(engine.resumed for engine in fleet.engines)


async def test_an_item_begins_anew_when_its_version_is_gone(fleet):
    await serving_streams.set_versions(fleet, fleet.engines, "a")
    body = serving_fleet.lot_body(4, groups=4, events=EVENTS, wanted=4)
    assert await fleet.submit("lot", body) == 202
    await asyncio.sleep(0.2)
    for engine in fleet.engines:
        await engine.stop()
        engine.software_version = "b"
        engine.born_ms = 2
        await engine.start()
        await fleet.announce(engine)
    results = await fleet.read_all("lot", timeout_s=20)
    texts = [row["text"].split("\n") for row in results]
    assert [serving_streams.versions_in(text) for text in texts] == [{"b"}] * 4


async def test_streams_taken_up_elsewhere_go_on_at_their_version(fleet):
    await serving_streams.set_versions(fleet, fleet.services, "a", "b")
    streams = await serving_streams.begin_streams(fleet)
    statuses = await serving_streams.take_up(fleet, streams)
    assert serving_streams.joined([stream.lines for stream in streams]) == []
    assert statuses.count(200) >= 0.9 * STREAMS
    whole = [len(stream.lines) == EVENTS for stream in streams]
    assert whole.count(True) == statuses.count(200)


async def test_streams_go_on_at_their_version_after_all_entries_ended(fleet):
    await serving_streams.set_versions(fleet, fleet.services, "a", "b")
    streams = await serving_streams.begin_streams(fleet)
    await asyncio.sleep(0.2)
    await serving_streams.restart_entries(fleet)
    statuses = await serving_streams.take_up(fleet, streams)
    assert serving_streams.joined([stream.lines for stream in streams]) == []
    assert statuses.count(200) >= 0.9 * STREAMS


async def test_streams_of_a_version_that_has_left_are_refused_unrun(fleet):
    await serving_streams.set_versions(fleet, fleet.services, "a")
    streams = await serving_streams.begin_streams(fleet)
    await serving_streams.set_versions(fleet, fleet.services, "b")
    before = sum(len(service.runs) for service in fleet.services)
    assert set(await serving_streams.take_up(fleet, streams)) == {503}
    assert sum(len(service.runs) for service in fleet.services) == before


async def test_streams_that_nobody_knows_are_refused_unrun(fleet):
    await serving_streams.set_versions(fleet, fleet.services, "a", "b")
    stream = serving_streams.Stream(fleet, "unknown")
    stream.first_id, stream.lines = "never-seen", ["id: 1"]
    assert await stream.attempt(2, fleet.entries[0]) == 503
    assert not any(service.runs for service in fleet.services)


async def test_no_stream_goes_on_at_a_run_that_is_not_announced_yet(fleet):
    await serving_streams.set_versions(fleet, fleet.services, "a")
    streams = await serving_streams.begin_streams(fleet)
    for service in fleet.services:
        service.software_version, service.born_ms = "b", 2
    assert set(await serving_streams.take_up(fleet, streams)) == {503}
    assert serving_streams.joined([stream.lines for stream in streams]) == []


ODD_IDS = [
    "",
    "\xe9\xff" * 20,
    "x" * 8_000,
    "s0-1, s1-1",
]


@pytest.mark.parametrize("odd", ODD_IDS, ids=["none", "bytes", "long", "two"])
async def test_odd_names_of_streams_are_refused_unrun(fleet, odd):
    await serving_streams.set_versions(fleet, fleet.services, "a", "b")
    stream = serving_streams.Stream(fleet, "s")
    stream.first_id, stream.lines = odd, ["id: 1"]
    assert await stream.attempt(2, fleet.entries[0]) == 503
    assert not any(service.runs for service in fleet.services)


async def test_a_stream_of_another_account_is_not_taken_up(fleet):
    await serving_streams.set_versions(fleet, fleet.services, "a", "b")
    (stream, *_) = await serving_streams.begin_streams(fleet)
    extra = (("authorization", "Bearer other"),)
    status = await stream.attempt(2, fleet.entries[0], extra=extra)
    assert status == 503


async def test_a_stream_is_taken_up_again_and_again_and_twice_at_once(fleet):
    await serving_streams.set_versions(fleet, fleet.services, "a", "b")
    streams = await serving_streams.begin_streams(fleet)
    for number, entry in enumerate(fleet.entries, 2):
        await asyncio.gather(*(s.attempt(number, entry, 6) for s in streams))
    await asyncio.gather(
        *(s.attempt(9, fleet.entries[0], 4) for s in streams),
        *(s.attempt(10, fleet.entries[1], 4) for s in streams),
    )
    assert {status for s in streams for status in s.statuses} == {200}
    assert serving_streams.joined([stream.lines for stream in streams]) == []


async def test_a_break_before_the_first_event_frees_the_version(fleet):
    await serving_streams.set_versions(fleet, fleet.services, "a")
    stream = serving_streams.Stream(fleet, "s")
    for service in fleet.services:
        service.breaks_after = 0
    await stream.attempt(1, fleet.entries[0])
    assert stream.lines == []
    for service in fleet.services:
        service.breaks_after = None
    await serving_streams.set_versions(fleet, fleet.services, "b")
    assert await stream.attempt(2, fleet.entries[1]) == 200
    assert serving_streams.versions_in(stream.lines) == {"b"}


async def test_an_unknown_stream_goes_on_where_only_one_version_served(
    fleet, monkeypatch
):
    monkeypatch.setattr(stream_versions, "STREAM_LIFETIME_MS", 1_000)
    await serving_streams.set_versions(fleet, fleet.services, "a")
    await asyncio.sleep(0.5)
    streams = await serving_streams.begin_streams(fleet)
    for daemon in (*fleet.entries, *fleet.bulks):
        daemon.streams.table.begun.clear()
    assert set(await serving_streams.take_up(fleet, streams)) == {200}
    assert {len(stream.lines) for stream in streams} == {EVENTS}
