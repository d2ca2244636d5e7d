"""Places of a server that is full: who gets one, and what is left over."""

import asyncio
import socket
import ssl

import pytest
import trustme

from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import http_server

LOOPBACK = state.Address("127.0.0.1", 0)
PLACES = 4
READS_S = 2.0  # longer than a client that does not act is borne


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


async def test_client_that_reads_slowly_keeps_its_place():
    # Guards against taking a slow reader for one that reads nothing.
    async def events():
        while True:
            yield b"x" * 100_000

    async def handler(request):
        return http.HttpResponse(200, (), events())

    limits = http_server.ServerLimits(max_connections=2)
    server = http_server.HttpServer(handler, limits, lambda path: 0)
    address = await server.start(LOOPBACK)
    loop = asyncio.get_running_loop()
    clients = [socket.socket() for _ in range(2)]
    for client in clients:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        client.setblocking(False)
        await loop.sock_connect(client, (address.host, address.port))
        await loop.sock_sendall(client, b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
    slow, stalled = clients
    begun_s = loop.time()
    while loop.time() < begun_s + READS_S:
        await loop.sock_recv(slow, 400)
        await asyncio.sleep(0.02)
    _, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
    async with asyncio.timeout(5):
        while await loop.sock_recv(stalled, 100_000):
            pass  # the rest of what had been sent
        for _ in range(100):
            assert await loop.sock_recv(slow, 100_000)
    for client in clients:
        client.close()
    writer.close()
    await settle(server, 0)
    await server.drain(0)
