"""Compare a daemon's relay with a bare h11 relay, in one run.

Times are comparable only as ratios within one run on one machine. The
upstream, the bare relay, the daemon and the load generator share one event
loop, so the figures compare relays under the same conditions; they are not
the maximum throughput of a machine.
"""

import asyncio
import dataclasses
import resource
import sys
import time
import typing

import h11

from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client
from standins import plain
from standins import platform

__all__ = ["run"]

MAX_BODY_BYTES = 1_000_000
REQUESTS = 3_000
SMALL_REQUESTS = 300
CONCURRENCY = 16
READ_BYTES = 65_536
STREAM_LINES = 4_000
TOKENS_PER_LINE = (1, 8, 32)
STREAMS = 8
IDLE_CONNECTIONS = (200, 400, 800)
SMALL_IDLE_CONNECTIONS = (20, 40)


class _Echo(plain.PlainServer):
    """Upstream that responds immediately or streams lines of tokens."""

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Respond to one request; ``/stream/N`` streams N tokens a line."""
        if request.path.startswith("/stream/"):
            count = int(request.path.rpartition("/")[2])
            return http.HttpResponse(200, (), _lines(count))
        return http.HttpResponse(200, (), b"ok" * 50)


async def _lines(tokens: int) -> typing.AsyncIterator[bytes]:
    """Yield lines as an engine does, with tokens of eight bytes."""
    line = b"7654321," * tokens + b"\n"
    for number in range(STREAM_LINES):
        yield line
        if number % 16 == 0:
            await asyncio.sleep(0)


class _BareRelay:
    """Minimal relay with h11 on both sides, as the baseline."""

    def __init__(self, upstream: state.Address) -> None:
        self.upstream = upstream
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> state.Address:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return state.Address(host, port)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        up_reader, up_writer = await asyncio.open_connection(
            self.upstream.host, self.upstream.port
        )
        server = h11.Connection(h11.SERVER)
        client = h11.Connection(h11.CLIENT)
        while await self._forward_message(server, reader, client, up_writer):
            await self._forward_message(client, up_reader, server, writer)
            server.start_next_cycle()
            client.start_next_cycle()
        writer.close()
        up_writer.close()

    async def _forward_message(
        self,
        source: h11.Connection,
        reader: asyncio.StreamReader,
        sink: h11.Connection,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Forward one message; return False if the connection was closed."""
        while True:
            event = source.next_event()
            if event is h11.NEED_DATA:
                source.receive_data(await reader.read(READ_BYTES))
                continue
            if isinstance(event, h11.ConnectionClosed):
                return False
            writer.write(sink.send(event) or b"")  # type: ignore[arg-type]
            if isinstance(event, h11.EndOfMessage):
                await writer.drain()
                return True


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return times per request, tokens per second, memory per connection."""
    return asyncio.run(_run(seed, small))


async def _run(seed: int, small: bool) -> dict[str, typing.Any]:
    requests = SMALL_REQUESTS if small else REQUESTS
    small_platform = platform.SmallPlatform(seed)
    await small_platform.start(engines=0, plains=0, scorers=0)
    upstream = state.Upstream(
        "echo",
        1,
        "echo",
        state.UpstreamKind.PLAIN,
        state.Address("127.0.0.1", 0),
        platform.LOCATIONS[0],
    )
    echo = _Echo(upstream)
    await echo.start()
    small_platform.plains.append(echo)
    small_platform.instances.put(
        dataclasses.replace(upstream, address=echo.address)
    )
    small_platform.instances.publish_now()
    small_platform.put_in_force(
        *(platform.owner_document(owner) for owner in platform.OWNERS),
        _route("echo", streamed=False),
        _route("stream", streamed=True),
    )
    node = await small_platform.start_node(
        "entry-1", platform.LOCATIONS[0], max_connections=10_000
    )
    assert node.is_ready
    assert node.address is not None
    bare = _BareRelay(echo.address)
    bare_address = await bare.start()
    times = {}
    for name, address, path in (
        ("direct", echo.address, "/run"),
        ("bare", bare_address, "/run"),
        ("daemon", node.address, "/r/echo/run"),
    ):
        print(f"{name}, {requests} requests", file=sys.stderr)
        await _time_requests(address, path, requests // 10)
        times[name] = await _time_requests(address, path, requests)
    tokens = {}
    for count in TOKENS_PER_LINE[:1] if small else TOKENS_PER_LINE:
        print(f"streams of {count} tokens a line", file=sys.stderr)
        tokens[str(count)] = await _time_streams(node.address, count)
    memory = await _measure_idle_connections(node.address, small)
    await small_platform.stop()
    bare_ms = times["bare"] - times["direct"]
    daemon_ms = times["daemon"] - times["direct"]
    return {
        "experiment": "relay",
        "seed": seed,
        "requests": requests,
        "ms_per_request": {n: round(t, 3) for n, t in times.items()},
        "daemon_to_bare": round(times["daemon"] / times["bare"], 2),
        "added_by_daemon_to_bare": round(daemon_ms / bare_ms, 2),
        "streamed_tokens_per_s": tokens,
        "kb_per_idle_connection": memory,
    }


def _route(name: str, streamed: bool) -> state.Document:
    body = state.RouteBody("echo", streamed=streamed, timeout_ms=60_000)
    return state.Document(
        state.DocumentKind.ROUTE, platform.OWNERS[0], name, body
    )


HEADERS = [
    (
        "authorization",
        f"Bearer {platform.caller_token(platform.OWNERS[0])}",
    )
]


async def _time_requests(
    address: state.Address, path: str, requests: int
) -> float:
    """Return milliseconds per request, with sixteen requests in flight."""
    client = http_client.HttpClient()
    remaining = iter(range(requests))

    async def worker() -> None:
        for _ in remaining:
            sent = await client.send(address, "POST", path, HEADERS, b"x" * 64)
            response = sent.unwrap()
            await response.read(MAX_BODY_BYTES)
            assert response.status == 200

    started_s = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    elapsed_s = time.perf_counter() - started_s
    client.close()
    return 1_000 * elapsed_s / requests


async def _time_streams(address: state.Address, tokens: int) -> int:
    """Return tokens per second through the daemon over several streams."""
    client = http_client.HttpClient()

    async def read_stream() -> None:
        path = f"/r/stream/stream/{tokens}"
        sent = await client.send(address, "GET", path, HEADERS)
        async for _ in sent.unwrap().chunks():
            pass

    started_s = time.perf_counter()
    await asyncio.gather(*(read_stream() for _ in range(STREAMS)))
    elapsed_s = time.perf_counter() - started_s
    client.close()
    return round(STREAMS * STREAM_LINES * tokens / elapsed_s)


async def _measure_idle_connections(
    address: state.Address, small: bool
) -> dict[str, float]:
    """Return KB per idle connection, keyed by the number of connections.

    Both ends of each connection are in this process, so half of the growth
    belongs to the client.
    """
    rows = {}
    writers: list[asyncio.StreamWriter] = []
    for count in SMALL_IDLE_CONNECTIONS if small else IDLE_CONNECTIONS:
        before_kb = _resident_kb()
        opened = count - len(writers)
        for _ in range(opened):
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writers.append(writer)
        await asyncio.sleep(0.05)
        grown_kb = _resident_kb() - before_kb
        rows[str(count)] = round(grown_kb / opened / 2, 1)
    for writer in writers:
        writer.close()
    return rows


def _resident_kb() -> float:
    """Return the peak resident memory of this process, in KB."""
    return float(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)
