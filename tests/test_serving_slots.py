"""Streams that nobody reads make room at upstreams that are full."""

import asyncio
import socket

import pytest

from tests import serving_fleet

SLOTS = 2
STALLED_S = 2.0  # longer than a client that does not act is borne
STREAM = (
    b"POST /s/x HTTP/1.1\r\nhost: h.example\r\nx-model: m\r\n"
    b"x-request-id: stalled-%d\r\nx-token-counts: 10,71000\r\n"
    b"x-deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n"
)


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet(services=1, engines=0)
    made.services[0].slots = SLOTS
    made.services[0].padding = "x" * 100_000
    await made.start(entries=2, bulks=0)
    yield made
    await made.stop()


async def ask_for_stream(entry, number):
    """Return the connection of a client that will read nothing."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.setblocking(False)
    address = entry.request_server.address
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, (address.host, address.port))
    await loop.sock_sendall(client, STREAM % number)
    return client


@pytest.mark.parametrize(("queue", "entry"), [(0, 0), (1, 1)])
async def test_stalled_streams_make_room_at_a_full_upstream(
    fleet, queue, entry
):
    # Guards against places that a client holds without reading: at an
    # upstream that refuses, and at one where a request of another entry's
    # client waits.
    upstream = fleet.services[0]
    upstream.queue = queue
    clients = [
        await ask_for_stream(fleet.entries[0], number)
        for number in range(SLOTS)
    ]
    await asyncio.sleep(STALLED_S * (1 - queue))
    await serving_fleet.eventually(lambda: upstream.running == SLOTS)
    status, _, _ = await fleet.call(
        "POST",
        "/p/1",
        headers=(("x-request-id", "r1"), ("x-deadline-ms", "4000")),
        daemon=fleet.entries[entry],
    )
    assert status == 200
    assert upstream.running == SLOTS - 1  # no more than was needed
    for client in clients:
        client.close()
