"""Requests around a planned stop: each gets a response that is true."""

import asyncio
import re

import msgspec
import pytest

from tests import serving_fleet

GRACE_S = 2.5
LONG_MS = 20_000.0
LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet(services=2)
    made.grace_s = GRACE_S
    await made.start(entries=1, bulks=1)
    yield made
    await made.stop()


class Connection:
    """A client's connection, kept open from before the stop."""

    async def open(self, fleet):
        entry = fleet.entries[0]
        port = entry.request_server.address.port
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", port
        )

    async def call(self, request_id, path, deadline_ms):
        """Send a request; return the status, 0 without a response."""
        self.writer.write(
            f"POST {path} HTTP/1.1\r\nhost: {serving_fleet.HOST}\r\n"
            f"x-request-id: {request_id}\r\nx-deadline-ms: {deadline_ms}\r\n"
            "content-length: 0\r\n\r\n".encode()
        )
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            await self.reader.readexactly(int(LENGTH.search(head)[1]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        return int(head.split()[1])

    def close(self):
        self.writer.close()


async def connect(fleet, count):
    connections = [Connection() for _ in range(count)]
    for connection in connections:
        await connection.open(fleet)
        assert await connection.call("warm", "/p/1", 1_000) == 200
    return connections


def runs(fleet):
    return {run for service in fleet.services for run in service.runs}


async def test_what_cannot_end_before_the_stop_is_refused_unrun(fleet):
    once, repeatable = await connect(fleet, 2)
    stopping = asyncio.create_task(fleet.entries[0].stop())
    await asyncio.sleep(0.02)
    assert await once.call("once", "/once/1", 4_000) == 503
    assert await repeatable.call("soon", "/p/1", 4_000) == 200
    await stopping
    for connection in (once, repeatable):
        connection.close()
    assert "once" not in runs(fleet)


async def test_late_requests_are_refused_unrun(fleet):
    (late,) = await connect(fleet, 1)
    entry = fleet.entries[0]
    entry.settings = msgspec.structs.replace(
        entry.settings, drain_notice_ms=1_600
    )
    stopping = asyncio.create_task(entry.stop())
    await asyncio.sleep(1.55)
    assert await late.call("late", "/p/1", 4_000) == 503
    await stopping
    late.close()
    assert "late" not in runs(fleet)


@pytest.mark.parametrize("path", ["/once/1", "/p/1"])
async def test_what_was_passed_on_is_answered_before_the_end(fleet, path):
    connections = await connect(fleet, 4)
    for service in fleet.services:
        service.work_ms = LONG_MS
    pending = [
        asyncio.create_task(c.call(f"long-{n}", path, 4_500))
        for n, c in enumerate(connections)
    ]
    await asyncio.sleep(0.2)
    await fleet.entries[0].stop()
    assert {await call for call in pending} <= {502, 504}
    for connection in connections:
        connection.close()
    assert {f"long-{n}" for n in range(4)} <= runs(fleet)
