"""Upstreams of several software versions, whose events don't fit together."""

import asyncio
import itertools

import pytest

from poplarloft.coordination.serving import stream_versions
from poplarloft.daemon.serving import store_relay
from poplarloft import state
from poplarloft.transport import http_client
from tests import serving_fleet

EVENTS = 40
STREAMS = 24
EVENT_MS = 10.0
DEADLINE_MS = 4_000


@pytest.fixture
async def fleet(monkeypatch):
    monkeypatch.setattr(store_relay, "FIRST_LIST_DELAY_MS", 300)
    monkeypatch.setattr(store_relay, "LIST_INTERVAL_MS", 1_000)
    made = serving_fleet.Fleet(services=4, engines=4)
    made.uses_change_feed = True
    made.has_members = True
    for upstream in (*made.services, *made.engines):
        upstream.names_version = True
        upstream.event_ms = EVENT_MS
        # Outputs that begin one after the other are cut more often.
        upstream.slots = 4 if upstream in made.engines else 30
    await made.start(entries=4, bulks=2)
    await know_each_other(made)
    yield made
    await made.stop()


async def know_each_other(fleet):
    daemons = (*fleet.entries, *fleet.bulks)
    await serving_fleet.eventually(
        lambda: all(len(d.relay.members) == len(daemons) for d in daemons)
    )


async def set_versions(fleet, upstreams, *versions):
    """Announce upstreams of several software versions, in turn."""
    for upstream, version in zip(
        upstreams, itertools.cycle(versions), strict=False
    ):
        upstream.software_version = version
        await fleet.announce(upstream)
    await asyncio.sleep(1)


def versions_in(text):
    """Return the software versions that the events of a text name."""
    return {line.partition("@")[2] for line in text if "@" in line}


def joined(texts):
    return [text for text in texts if len(versions_in(text)) > 1]


async def cut_engines(fleet, seconds):
    """Cut one output after the other, at all engines."""
    for engine in itertools.islice(
        itertools.cycle(fleet.engines), int(seconds / 0.05)
    ):
        engine.breaks_after = 12
        await asyncio.sleep(0.05)


async def test_no_item_holds_events_of_two_software_versions(fleet):
    await set_versions(fleet, fleet.engines, "a", "b")
    body = serving_fleet.lot_body(40, groups=10, events=EVENTS, wanted=10)
    cutting = asyncio.create_task(cut_engines(fleet, 3))
    assert await fleet.submit("lot", body) == 202
    results = await fleet.read_all("lot", timeout_s=40)
    await cutting
    texts = [row["text"].split("\n") for row in results]
    assert joined(texts) == []
    assert {len(text) for text in texts} == {EVENTS}
    assert sum(len(engine.resumed) for engine in fleet.engines) >= 5


async def test_no_item_holds_two_versions_after_the_leader_ended(fleet):
    await set_versions(fleet, fleet.engines, "a", "b")
    body = serving_fleet.lot_body(30, groups=10, events=EVENTS, wanted=10)
    assert await fleet.submit("lot", body) == 202
    await asyncio.sleep(0.25)
    leader = next(
        bulk for bulk in fleet.bulks if bulk.election.scheduler is not None
    )
    await fleet.kill(leader)
    results = await fleet.read_all("lot", timeout_s=40)
    assert joined([row["text"].split("\n") for row in results]) == []
    assert any(engine.resumed for engine in fleet.engines)


async def test_an_item_begins_anew_when_its_version_is_gone(fleet):
    await set_versions(fleet, fleet.engines, "a")
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
    assert [versions_in(text) for text in texts] == [{"b"}] * 4


class Stream:
    """A client's stream, which it takes up again after it broke."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.lines = []
        self.first_id = None
        self.statuses = []

    @property
    def last_id(self):
        return len(self.lines)

    async def attempt(self, number, entry, most=EVENTS, extra=()):
        """Read up to `most` events of an attempt; return its status."""
        request_id = f"{self.name}-{number}"
        headers = [
            ("host", serving_fleet.HOST),
            ("x-request-id", request_id),
            ("x-model", "m"),
            ("x-token-counts", f"10,{71 * EVENTS}"),
            ("x-deadline-ms", str(DEADLINE_MS)),
            *extra,
        ]
        if self.first_id is not None:
            headers.append(("last-event-id", str(self.last_id)))
            headers.append(("resumes", self.first_id))
        port = entry.request_server.server.sockets[0].getsockname()[1]
        sent = await self.fleet.client.send(
            state.Address("127.0.0.1", port),
            "POST",
            "/r/1",
            headers,
            b"prompt",
            DEADLINE_MS,
        )
        response = sent.unwrap()
        self.statuses.append(response.status)
        if response.status == 200:
            await self._read(response, request_id, most)
        response.close()
        return response.status

    async def _read(self, response, request_id, most):
        buffer = b""
        try:
            async for piece in response.chunks():
                *blocks, buffer = (buffer + piece).split(b"\n\n")
                for block in blocks:
                    if len(self.lines) < EVENTS and most > 0:
                        self.first_id = self.first_id or request_id
                        self.lines.append(block.decode())
                        most -= 1
                if not most:
                    return
        except http_client.TruncatedResponseError:
            pass


async def begin_streams(fleet):
    """Begin streams at all entries, and leave them after a few events."""
    streams = [Stream(fleet, f"s{n}") for n in range(STREAMS)]
    entries = itertools.cycle(fleet.entries)
    await asyncio.gather(
        *(s.attempt(1, e, 8) for s, e in zip(streams, entries, strict=False))
    )
    assert all(len(stream.lines) == 8 for stream in streams)
    return streams


async def take_up(fleet, streams):
    """Take all streams up at other entries; return the statuses."""
    entries = itertools.cycle([*fleet.entries[1:], fleet.entries[0]])
    return await asyncio.gather(
        *(s.attempt(2, e) for s, e in zip(streams, entries, strict=False))
    )


async def restart_entries(fleet):
    names = [entry.settings.name for entry in fleet.entries]
    for entry in list(fleet.entries):
        await fleet.kill(entry)
    for name in names:
        await fleet.add_entry(name)


async def test_streams_taken_up_elsewhere_go_on_at_their_version(fleet):
    await set_versions(fleet, fleet.services, "a", "b")
    streams = await begin_streams(fleet)
    statuses = await take_up(fleet, streams)
    assert joined([stream.lines for stream in streams]) == []
    assert statuses.count(200) >= 0.9 * STREAMS
    whole = [len(stream.lines) == EVENTS for stream in streams]
    assert whole.count(True) == statuses.count(200)


async def test_streams_go_on_at_their_version_after_all_entries_ended(fleet):
    await set_versions(fleet, fleet.services, "a", "b")
    streams = await begin_streams(fleet)
    await asyncio.sleep(0.2)
    await restart_entries(fleet)
    statuses = await take_up(fleet, streams)
    assert joined([stream.lines for stream in streams]) == []
    assert statuses.count(200) >= 0.9 * STREAMS


async def test_streams_of_a_version_that_has_left_are_refused_unrun(fleet):
    await set_versions(fleet, fleet.services, "a")
    streams = await begin_streams(fleet)
    await set_versions(fleet, fleet.services, "b")
    before = sum(len(service.runs) for service in fleet.services)
    assert set(await take_up(fleet, streams)) == {503}
    assert sum(len(service.runs) for service in fleet.services) == before


async def test_streams_that_nobody_knows_are_refused_unrun(fleet):
    await set_versions(fleet, fleet.services, "a", "b")
    stream = Stream(fleet, "unknown")
    stream.first_id, stream.lines = "never-seen", ["id: 1"]
    assert await stream.attempt(2, fleet.entries[0]) == 503
    assert not any(service.runs for service in fleet.services)


async def test_no_stream_goes_on_at_a_run_that_is_not_announced_yet(fleet):
    await set_versions(fleet, fleet.services, "a")
    streams = await begin_streams(fleet)
    for service in fleet.services:
        service.software_version, service.born_ms = "b", 2
    assert set(await take_up(fleet, streams)) == {503}
    assert joined([stream.lines for stream in streams]) == []


ODD_IDS = [
    "",
    "\xe9\xff" * 20,
    "x" * 8_000,
    "s0-1, s1-1",
]


@pytest.mark.parametrize("odd", ODD_IDS, ids=["none", "bytes", "long", "two"])
async def test_odd_names_of_streams_are_refused_unrun(fleet, odd):
    await set_versions(fleet, fleet.services, "a", "b")
    stream = Stream(fleet, "s")
    stream.first_id, stream.lines = odd, ["id: 1"]
    assert await stream.attempt(2, fleet.entries[0]) == 503
    assert not any(service.runs for service in fleet.services)


async def test_a_stream_of_another_account_is_not_taken_up(fleet):
    await set_versions(fleet, fleet.services, "a", "b")
    (stream, *_) = await begin_streams(fleet)
    extra = (("authorization", "Bearer other"),)
    status = await stream.attempt(2, fleet.entries[0], extra=extra)
    assert status == 503


async def test_a_stream_is_taken_up_again_and_again_and_twice_at_once(fleet):
    await set_versions(fleet, fleet.services, "a", "b")
    streams = await begin_streams(fleet)
    for number, entry in enumerate(fleet.entries, 2):
        await asyncio.gather(*(s.attempt(number, entry, 6) for s in streams))
    await asyncio.gather(
        *(s.attempt(9, fleet.entries[0], 4) for s in streams),
        *(s.attempt(10, fleet.entries[1], 4) for s in streams),
    )
    assert {status for s in streams for status in s.statuses} == {200}
    assert joined([stream.lines for stream in streams]) == []


async def test_a_break_before_the_first_event_frees_the_version(fleet):
    await set_versions(fleet, fleet.services, "a")
    stream = Stream(fleet, "s")
    for service in fleet.services:
        service.breaks_after = 0
    await stream.attempt(1, fleet.entries[0])
    assert stream.lines == []
    for service in fleet.services:
        service.breaks_after = None
    await set_versions(fleet, fleet.services, "b")
    assert await stream.attempt(2, fleet.entries[1]) == 200
    assert versions_in(stream.lines) == {"b"}


async def test_an_unknown_stream_goes_on_where_only_one_version_served(
    fleet, monkeypatch
):
    monkeypatch.setattr(stream_versions, "STREAM_LIFETIME_MS", 1_000)
    await set_versions(fleet, fleet.services, "a")
    await asyncio.sleep(0.5)
    streams = await begin_streams(fleet)
    for daemon in (*fleet.entries, *fleet.bulks):
        daemon.streams.table.begun.clear()
    assert set(await take_up(fleet, streams)) == {200}
    assert {len(stream.lines) for stream in streams} == {EVENTS}
