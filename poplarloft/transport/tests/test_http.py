"""Connections that end early, stall or arrive during shutdown."""

import asyncio
import socket

import pytest

from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import http_server

MAX_BODY_BYTES = 1_000_000
LOOPBACK = state.Address("127.0.0.1", 0)


async def serve(handler):
    server = http_server.HttpServer(
        handler, http_server.ServerLimits(), lambda path: 1_000
    )
    return server, await server.start(LOOPBACK)


async def respond_ok(request):
    return http.HttpResponse(200, (), b"ok")


async def test_session_cancelled_before_its_first_step_is_closed():
    """Otherwise its client would wait for a response until its timeout."""
    server = http_server.HttpServer(
        respond_ok, http_server.ServerLimits(), lambda path: 1_000
    )

    attach = server.attach

    def attach_and_cancel(connection):
        task = attach(connection)
        task.cancel()
        return task

    server.attach = attach_and_cancel
    address = await server.start(LOOPBACK)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    writer.close()
    await server.drain(0)


async def test_stalled_body_raises_truncated_response_error():
    stalled = asyncio.Event()

    async def partial():
        yield b"half"
        await stalled.wait()

    async def handler(request):
        return http.HttpResponse(200, (), partial())

    server, address = await serve(handler)
    client = http_client.HttpClient()
    sent = await client.send(address, "GET", "/", timeout_ms=100)
    with pytest.raises(
        http_client.TruncatedResponseError, match="not arrive in time"
    ):
        await sent.unwrap().read(MAX_BODY_BYTES)
    await server.drain(0)


async def test_body_without_its_end_raises_truncated_response_error():
    async def interrupted():
        yield b"half"
        raise ConnectionResetError("gone")

    async def handler(request):
        return http.HttpResponse(200, (), interrupted())

    server, address = await serve(handler)
    client = http_client.HttpClient()
    sent = await client.send(address, "GET", "/")
    with pytest.raises(http_client.TruncatedResponseError):
        await sent.unwrap().read(MAX_BODY_BYTES)
    await server.drain(0)


async def test_connection_of_an_abandoned_response_is_not_reused():
    server, address = await serve(respond_ok)
    client = http_client.HttpClient()
    abandoned = (await client.send(address, "GET", "/")).unwrap()
    abandoned.close()
    assert client.idle.get(address, []) == []
    complete = (await client.send(address, "GET", "/")).unwrap()
    assert await complete.read(MAX_BODY_BYTES) == b"ok"
    assert len(client.idle[address]) == 1
    client.close()
    await server.drain(0)


async def test_new_connection_is_opened_despite_an_idle_one():
    server, address = await serve(respond_ok)
    client = http_client.HttpClient()
    await (
        (await client.send(address, "GET", "/")).unwrap().read(MAX_BODY_BYTES)
    )
    idle = client.idle[address][0]
    second = (
        await client.send(address, "GET", "/", new_connection=True)
    ).unwrap()
    assert second.connection is not idle
    await second.read(MAX_BODY_BYTES)
    client.close()
    await server.drain(0)


async def test_drain_completes_requests_in_flight_and_reports_none_closed():
    release = asyncio.Event()

    async def handler(request):
        await release.wait()
        return http.HttpResponse(200, (), b"late")

    server, address = await serve(handler)
    client = http_client.HttpClient()
    sending = asyncio.create_task(client.send(address, "GET", "/"))
    while not any(s.http.their_state for s in server.sessions.values()):
        await asyncio.sleep(0)
    draining = asyncio.create_task(server.drain(5_000))
    await asyncio.sleep(0.05)
    release.set()
    response = (await sending).unwrap()
    assert await response.read(MAX_BODY_BYTES) == b"late"
    assert await draining == 0


@pytest.mark.parametrize("accepted", [False, True])
async def test_connections_made_just_before_a_stop_are_served(accepted):
    """Whether the event loop has just accepted them, or not noticed them."""
    server, address = await serve(respond_ok)
    loop = asyncio.get_running_loop()
    sockets = []
    for _ in range(20):
        sock = socket.create_connection((address.host, address.port))
        sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        sock.setblocking(False)
        sockets.append(sock)
    if accepted:
        await asyncio.sleep(0)
    draining = asyncio.create_task(server.drain(5_000))
    for sock in sockets:
        async with asyncio.timeout(5):
            assert (await loop.sock_recv(sock, 100)).startswith(
                b"HTTP/1.1 200"
            )
        sock.close()
    assert await draining == 0


async def exchange(address, request):
    """Send raw bytes; return all that the server sends until it closes."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(request)
    async with asyncio.timeout(5):
        received = await reader.read()
    writer.close()
    return received


async def test_failing_handler_is_answered_and_reported():
    async def fail(request):
        raise KeyError("unexpected")

    failures = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: failures.append(context)
    )
    server, address = await serve(fail)
    client = http_client.HttpClient()
    for _ in range(2):
        sent = await client.send(address, "GET", "/orders/7")
        response = sent.unwrap()
        assert response.status == 500
        assert response.headers["poplarloft-verdict"] == "may-have-run"
        await response.read(MAX_BODY_BYTES)
    assert len(server.sessions) == 1
    assert "GET /orders/7" in failures[0]["message"]
    assert isinstance(failures[0]["exception"], KeyError)
    client.close()
    await server.drain(0)


async def test_body_with_length_and_encoding_is_refused_unserved():
    """Otherwise what follows the length could pass as a second request."""
    served = []

    async def record(request):
        served.append(request.path)
        return http.HttpResponse(200)

    server, address = await serve(record)
    received = await exchange(
        address,
        b"POST /first HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n"
        b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        b"GET /second HTTP/1.1\r\nhost: h\r\n\r\n",
    )
    assert received.startswith(b"HTTP/1.1 400")
    assert received.count(b"HTTP/1.1") == 1
    assert served == []
    await server.drain(0)


async def test_other_http_versions_are_refused():
    server, address = await serve(respond_ok)
    received = await exchange(address, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 505")
    await server.drain(0)


async def test_header_values_beyond_ascii_pass_both_ways():
    async def echo(request):
        return http.HttpResponse(200, (("x-note", request.headers["x-note"]),))

    server, address = await serve(echo)
    client = http_client.HttpClient()
    headers = (("x-note", "caf\xe9"),)
    sent = await client.send(address, "GET", "/", headers)
    assert sent.unwrap().headers["x-note"] == "caf\xe9"
    await server.drain(0)
