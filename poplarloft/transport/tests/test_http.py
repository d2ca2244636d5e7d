"""Connections that end early, stand still or arrive while stopping."""

import asyncio

import pytest

from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import http_server

LOOPBACK = state.Address("127.0.0.1", 0)


async def serve(handler):
    server = http_server.HttpServer(
        handler, http_server.ServerLimits(), lambda path: 1_000
    )
    return server, await server.start(LOOPBACK)


async def answer_ok(request):
    return http.HttpResponse(200, (), b"ok")


async def test_session_that_is_cancelled_before_it_began_is_closed():
    """Otherwise its client would wait for an answer until its timeout."""
    server = http_server.HttpServer(
        answer_ok, http_server.ServerLimits(), lambda path: 1_000
    )

    def accept_and_cancel(reader, writer):
        server._accept(reader, writer)
        for task in server.sessions:
            task.cancel()

    listening = await asyncio.start_server(accept_and_cancel, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    writer.close()
    listening.close()


async def test_body_that_stands_still_is_cut():
    stuck = asyncio.Event()

    async def half():
        yield b"half"
        await stuck.wait()

    async def handler(request):
        return http.HttpResponse(200, (), half())

    server, address = await serve(handler)
    client = http_client.HttpClient()
    sent = await client.send(address, "GET", "/", timeout_ms=100)
    with pytest.raises(
        http_client.TruncatedResponseError, match="nothing arrived"
    ):
        await sent.unwrap().read()
    await server.drain(0)


async def test_body_without_its_end_mark_is_cut():
    async def broken():
        yield b"half"
        raise ConnectionResetError("gone")

    async def handler(request):
        return http.HttpResponse(200, (), broken())

    server, address = await serve(handler)
    client = http_client.HttpClient()
    sent = await client.send(address, "GET", "/")
    with pytest.raises(http_client.TruncatedResponseError):
        await sent.unwrap().read()
    await server.drain(0)


async def test_connection_with_an_abandoned_answer_is_not_used_again():
    server, address = await serve(answer_ok)
    client = http_client.HttpClient()
    abandoned = (await client.send(address, "GET", "/")).unwrap()
    abandoned.close()
    assert client.idle.get(address, []) == []
    whole = (await client.send(address, "GET", "/")).unwrap()
    assert await whole.read() == b"ok"
    assert len(client.idle[address]) == 1
    client.close()
    await server.drain(0)


async def test_fresh_request_never_takes_an_idle_connection():
    server, address = await serve(answer_ok)
    client = http_client.HttpClient()
    await (await client.send(address, "GET", "/")).unwrap().read()
    kept = client.idle[address][0]
    fresh = (
        await client.send(address, "GET", "/", new_connection=True)
    ).unwrap()
    assert fresh.connection is not kept
    await fresh.read()
    client.close()
    await server.drain(0)


async def test_drain_serves_what_has_begun_and_reports_no_cut():
    release = asyncio.Event()

    async def handler(request):
        await release.wait()
        return http.HttpResponse(200, (), b"late")

    server, address = await serve(handler)
    client = http_client.HttpClient()
    asking = asyncio.create_task(client.send(address, "GET", "/"))
    while not any(s.http.their_state for s in server.sessions.values()):
        await asyncio.sleep(0)
    draining = asyncio.create_task(server.drain(5_000))
    await asyncio.sleep(0.05)
    release.set()
    answer = (await asking).unwrap()
    assert await answer.read() == b"late"
    assert await draining == 0
