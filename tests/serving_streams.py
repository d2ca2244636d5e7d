"""Clients' streams at upstreams of several software versions."""

import asyncio
import itertools

from poplarloft.coordination.serving.membership import roster
from poplarloft.daemon.serving.fleet import member_registry
from poplarloft import state
from poplarloft.transport import http_client
from tests import serving_fleet

EVENTS = 40
STREAMS = 24
EVENT_MS = 10.0
DEADLINE_MS = 4_000


async def start_fleet(monkeypatch, entries=4, bulks=2):
    """Start daemons that list each other often."""
    monkeypatch.setattr(member_registry, "FIRST_LIST_DELAY_MS", 300)
    monkeypatch.setattr(roster, "LIST_INTERVAL_MS", 1_000)
    made = serving_fleet.Fleet(services=4, engines=4)
    made.uses_change_feed = True
    made.has_members = True
    for upstream in (*made.services, *made.engines):
        upstream.names_version = True
        upstream.event_ms = EVENT_MS
        # Outputs that begin one after the other are cut more often.
        upstream.slots = 4 if upstream in made.engines else 30
    await made.start(entries=entries, bulks=bulks)
    await know_each_other(made)
    return made


async def know_each_other(fleet):
    daemons = (*fleet.entries, *fleet.bulks)
    await serving_fleet.eventually(
        lambda: all(len(d.membership.members) == len(daemons) for d in daemons)
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
        port = entry.request_server.address.port
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
