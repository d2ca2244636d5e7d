"""Servers that send too much, too late, or a response twice."""

import asyncio
import os
import resource

import pytest

from poplarloft.coordination import retries
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import http_server

FailureKind = retries.FailureKind
MAX_BYTES = 100_000
KILOBYTES_OF_GROWTH = 50_000
COPY_DELAY_S = 0.05


class Server:
    """A server that runs `respond(target, writer)` for each request."""

    def __init__(self, respond):
        self.respond = respond
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return state.Address(*self.server.sockets[0].getsockname()[:2])

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self.respond(head.split()[1].decode(), writer)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def response(body):
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )


async def get(client, address, target="/", timeout_ms=2_000):
    sent = await client.send(address, "GET", target, timeout_ms=timeout_ms)
    return await sent.unwrap().read(MAX_BYTES)


@pytest.mark.parametrize("yields_between", [False, True])
async def test_second_copy_of_a_response_does_not_answer_the_next_request(
    yields_between,
):
    """A copy may be known to the event loop, or still to the kernel only."""
    writers = []

    async def respond(target, writer):
        writer.write(response(b"answer to " + target.encode()))
        writers.append(writer)

    server = Server(respond)
    address = await server.start()
    client = http_client.HttpClient()
    assert await get(client, address, "/first") == b"answer to /first"
    sock = writers[0].get_extra_info("socket")
    writers[0].write(response(b"answer to /first"))
    assert sock is not None
    if yields_between:
        await asyncio.sleep(COPY_DELAY_S)
    assert await get(client, address, "/second") == b"answer to /second"
    assert server.connections == 2
    client.close()


async def test_body_over_the_limit_is_not_read_into_memory():
    async def respond(target, writer):
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        while True:
            writer.write(b"10000\r\n" + bytes(0x10000) + b"\r\n")
            await writer.drain()

    address = await Server(respond).start()
    client = http_client.HttpClient()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    with pytest.raises(http_client.ResponseTooLargeError, match="100000"):
        await get(client, address)
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assert after - before < KILOBYTES_OF_GROWTH
    assert client.idle.get(address, []) == []


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\nx: ",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
    ],
    ids=["header", "chunk-size", "chunk-extension"],
)
async def test_line_without_end_fails_in_bounded_memory(start):
    async def respond(target, writer):
        writer.write(start)
        while True:
            writer.write(b"1" * 0x10000)
            await writer.drain()

    address = await Server(respond).start()
    client = http_client.HttpClient()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    sent = await client.send(address, "GET", "/", timeout_ms=2_000)
    with pytest.raises(Exception) as caught:  # noqa: PT011
        await sent.unwrap().read(MAX_BYTES)
    assert type(caught.value).__name__ in (
        "TruncatedResponseError",
        "UnwrapFailedError",
    )
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assert after - before < KILOBYTES_OF_GROWTH
    assert client.idle.get(address, []) == []


async def test_interim_responses_without_end_stop_at_the_timeout():
    async def respond(target, writer):
        while True:
            writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100)
            await writer.drain()
            await asyncio.sleep(0)

    address = await Server(respond).start()
    client = http_client.HttpClient()
    sent = await client.send(address, "GET", "/", timeout_ms=300)
    assert sent.failure().kind is http_client.FailureKind.TIMEOUT


async def test_dripping_body_ends_at_the_timeout_of_the_request():
    async def respond(target, writer):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n")
        while True:
            writer.write(b".")
            await writer.drain()
            await asyncio.sleep(0.02)

    address = await Server(respond).start()
    client = http_client.HttpClient()
    async with asyncio.timeout(3):
        with pytest.raises(
            http_client.TruncatedResponseError, match="in time"
        ):
            await get(client, address, timeout_ms=200)


async def test_slow_stream_outlasts_the_timeout_of_its_first_byte():
    async def respond(target, writer):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n")
        for _ in range(10):
            writer.write(b".")
            await writer.drain()
            await asyncio.sleep(0.05)

    address = await Server(respond).start()
    client = http_client.HttpClient()
    sent = await client.send(address, "GET", "/", timeout_ms=200)
    chunks = [chunk async for chunk in sent.unwrap().chunks()]
    assert b"".join(chunks) == b"." * 10


async def test_stream_with_a_deadline_ends_although_bytes_arrive():
    async def respond(target, writer):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n")
        while True:
            writer.write(b".")
            await writer.drain()
            await asyncio.sleep(0.02)

    address = await Server(respond).start()
    client = http_client.HttpClient()
    sent = await client.send(address, "GET", "/", timeout_ms=300)
    streamed = sent.unwrap()
    streamed.limit_to_timeout()
    async with asyncio.timeout(3):
        with pytest.raises(http_client.TruncatedResponseError):
            async for _ in streamed.chunks():
                pass


async def test_connections_beyond_the_bound_wait_or_end_an_idle_one():
    served = asyncio.Event()

    async def handler(request):
        if request.path == "/slow":
            await served.wait()
        return http.HttpResponse(200)

    servers = [
        http_server.HttpServer(
            handler, http_server.ServerLimits(), lambda path: 0
        )
        for _ in range(2)
    ]
    loopback = state.Address("127.0.0.1", 0)
    first, second = [await server.start(loopback) for server in servers]
    client = http_client.HttpClient(100, max_connections=1)
    exhausted = []
    client.on_exhausted = lambda: exhausted.append(client.slots.taken)
    for address in (first, second):  # the idle connection makes room
        sent = await client.send(address, "GET", "/")
        await sent.unwrap().read(1)
    slow = asyncio.create_task(client.send(second, "GET", "/slow"))
    await asyncio.sleep(0)
    refused = await client.send(first, "GET", "/")
    assert refused.failure().kind is FailureKind.NO_CONNECTION_FREE
    assert exhausted and set(exhausted) == {1}
    waiting = asyncio.create_task(client.send(first, "GET", "/"))
    served.set()
    await (await slow).unwrap().read(1)
    assert (await waiting).unwrap().status == 200
    client.close()
    for server in servers:
        await server.drain(0)
    assert client.slots.taken <= 1


async def test_connection_waits_until_a_descriptor_is_free():
    # Guards against a burst of connections elsewhere in the process that
    # fails requests.
    async def respond(target, writer):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    server = Server(respond)
    address = await server.start()
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    client = http_client.HttpClient()
    first = os.dup(0)
    os.close(first)
    resource.setrlimit(resource.RLIMIT_NOFILE, (first, before[1]))
    try:
        sending = asyncio.create_task(client.send(address, "GET", "/"))
        await asyncio.sleep(0.1)
        assert not sending.done()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)
    assert (await sending).unwrap().status == 200
    client.close()
    server.server.close()
