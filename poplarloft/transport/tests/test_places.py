"""Places of a server that is full: who gets one, and what is left over."""

import asyncio
import ssl

import pytest
import trustme

from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import http_server

LOOPBACK = state.Address("127.0.0.1", 0)
PLACES = 4


async def respond_ok(request):
    return http.HttpResponse(200, (), b"ok")


def certificates():
    """Return the contexts of a server and of its client."""
    authority = trustme.CA()
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert("127.0.0.1").configure_cert(server)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    authority.configure_trust(client)
    return server, client


async def settle(server, count):
    async with asyncio.timeout(5):
        while server.buffers.open_count != count:
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("encrypted", [False, True])
async def test_silent_connections_keep_nobody_out(encrypted):
    # Guards against a handshake that never ends, too.
    tls, trust = certificates() if encrypted else (None, None)
    limits = http_server.ServerLimits(max_connections=PLACES)
    server = http_server.HttpServer(respond_ok, limits, lambda path: 0, tls)
    address = await server.start(LOOPBACK)
    silent = [
        await asyncio.open_connection(address.host, address.port)
        for _ in range(3 * PLACES)
    ]
    await settle(server, PLACES)
    client = http_client.HttpClient(tls=trust)
    response = (await client.send(address, "GET", "/")).unwrap()
    assert await response.read(10) == b"ok"
    for _, writer in silent:
        writer.close()
    client.close()
    await settle(server, 0)
    assert server.buffers.table.total_bytes == 0
    assert await server.drain(0) == 0


async def test_client_that_leaves_ends_its_request_in_every_state():
    begun = asyncio.Event()
    ended = asyncio.Event()

    async def events():
        try:
            begun.set()
            yield b"event"
            await asyncio.Event().wait()
        finally:
            ended.set()

    async def handler(request):
        if request.path == "/stream":
            return http.HttpResponse(200, (), events())
        try:
            begun.set()
            await asyncio.Event().wait()
        finally:
            ended.set()

    server = http_server.HttpServer(
        handler,
        http_server.ServerLimits(),
        lambda path: 0,
        cancel_on_disconnect=True,
    )
    address = await server.start(LOOPBACK)
    for path in (b"/stream", b"/"):
        for ahead in (0, 100_000):  # more than is read ahead
            begun.clear()
            ended.clear()
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(b"GET %s HTTP/1.1\r\nhost: h\r\n\r\n" % path)
            writer.write(b"x" * ahead)
            async with asyncio.timeout(5):
                await begun.wait()
                await asyncio.sleep(0.05)
                writer.close()
                await ended.wait()
    await settle(server, 0)
    assert server.buffers.table.total_bytes == 0
    await server.drain(0)
