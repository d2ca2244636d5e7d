"""TCP proxy that injects delays, resets, lost responses and partitions."""

import asyncio
import dataclasses

import msgspec

from poplarloft.protocol import http
from poplarloft import state
from standins import serving

__all__ = ["FaultProxy", "LinkFaults", "ProxyControl"]

READ_BYTES = 65_536
MS_PER_S = 1_000


@dataclasses.dataclass
class LinkFaults:
    """Faults injected into the connections of one proxy.

    Parameters
    ----------
    delay_ms : int
        Delay of each direction.
    partitioned : bool
        Nothing is forwarded and new connections wait; open ones stay
        open.
    refuse : bool
        New connections are closed at once.
    drop_answers : bool
        Bytes to the upstream are forwarded, its responses are discarded.
    cut_after_bytes : int or None
        Reset a connection before its responses exceed this many bytes.
    """

    delay_ms: int = 0
    partitioned: bool = False
    refuse: bool = False
    drop_answers: bool = False
    cut_after_bytes: int | None = None


class FaultProxy:
    """Forwards connections to one address.

    Parameters
    ----------
    upstream : state.Address
        Address to which connections are forwarded.
    """

    def __init__(self, upstream: state.Address) -> None:
        self.upstream = upstream
        self.faults = LinkFaults()
        self.not_partitioned = asyncio.Event()
        self.not_partitioned.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.address = state.Address("127.0.0.1", 0)
        self.server: asyncio.Server | None = None
        self.forwarded_bytes = 0

    async def start(self, address: state.Address | None = None) -> None:
        """Listen on `address`, or on a free port of the loopback interface."""
        listen = address or self.address
        self.server = await asyncio.start_server(
            self._accept, listen.host, listen.port
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = state.Address(host, port)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.cut()
        for task in list(self.tasks):
            task.cancel()

    def set_faults(self, faults: LinkFaults) -> None:
        """Replace the faults.

        When a partition ends, delayed bytes and connections go on.
        """
        self.faults = faults
        if faults.partitioned:
            self.not_partitioned.clear()
        else:
            self.not_partitioned.set()

    def cut(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            await self._forward(reader, writer)
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.not_partitioned.wait()
        if self.faults.refuse:
            return
        up_reader, up_writer = await asyncio.open_connection(
            self.upstream.host, self.upstream.port
        )
        self.writers.add(up_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, up_writer, False))
                group.create_task(self._pump(up_reader, writer, True))
        except* OSError:
            pass
        finally:
            self.writers.discard(up_writer)
            up_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        forwarded = 0
        while data := await reader.read(READ_BYTES):
            await self.not_partitioned.wait()
            if self.faults.delay_ms:
                await asyncio.sleep(self.faults.delay_ms / MS_PER_S)
            if is_response and self.faults.drop_answers:
                continue
            if is_response:
                forwarded = self._count_or_reset(forwarded, data)
            writer.write(data)
            self.forwarded_bytes += len(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def _count_or_reset(self, forwarded: int, data: bytes) -> int:
        limit = self.faults.cut_after_bytes
        if limit is not None and forwarded + len(data) > limit:
            raise ConnectionResetError(
                "connection reset by the fault cut_after_bytes"
            )
        return forwarded + len(data)


class ProxyControl(serving.StandIn):
    """Sets the faults of a proxy over HTTP, for proxies in other processes."""

    def __init__(self, proxy: FaultProxy) -> None:
        super().__init__()
        self.proxy = proxy

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Set new faults, or reset all connections."""
        if request.path == "/control/cut":
            self.proxy.cut()
            return serving.json_response({})
        if request.path != "/control/link":
            return http.HttpResponse(404)
        faults = msgspec.json.decode(
            request.body, type=LinkFaults, strict=True
        )
        self.proxy.set_faults(faults)
        return serving.json_response(self.proxy.faults)
