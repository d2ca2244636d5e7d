"""Client side of one HTTP/1.1 connection."""

import asyncio
from collections import abc
import re
import select
import socket
import ssl
import time

import h11

from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import counting_reader

__all__ = [
    "Connection",
    "MalformedHeadError",
    "open_connection",
    "read_head",
    "write_and_read",
]

READ_BYTES = 16_384
BUFFER_BYTES = 65_536
Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
MAX_HEAD_BYTES = 65_536
MAX_STATUS = 599  # h11 itself refuses those under 100
MAX_EVENTS_PER_TURN = 16  # then other tasks of the event loop run
TURN_PAUSE_S = 0.005
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Subtracted from the announced timeout, since a request sent just before the
# expiry is reset.
EXPIRY_MARGIN_S = 0.3
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,9})")


class MalformedHeadError(ConnectionError):
    """The head of a response can't be that of a response."""


class Connection:
    """A client connection and the state of its current exchange.

    Attributes
    ----------
    expires_s : float
        Monotonic time after which the peer may close the idle connection;
        infinite until the peer has announced a timeout.
    """

    def __init__(
        self,
        reader: counting_reader.CountingReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.events_in_turn = 0
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.expires_s = float("inf")
        _enable_keepalive_probes(writer)

    def apply_keep_alive(self, value: str) -> None:
        """Set the expiry from the value of a ``Keep-Alive`` header."""
        found = KEEP_ALIVE_TIMEOUT.search(value)
        if found is not None:
            idle_s = int(found[1]) - EXPIRY_MARGIN_S
            self.expires_s = time.monotonic() + idle_s

    def is_open(self) -> bool:
        """Return whether the idle connection can take a request.

        Any bytes on it belong to no request, such as a second copy of an
        earlier response, and would be taken for the next response.
        """
        return (
            not self.reader.at_eof()
            and not self.writer.is_closing()
            and time.monotonic() < self.expires_s
            and not self.has_unread_bytes()
        )

    def has_unread_bytes(self) -> bool:
        """Return whether bytes, or the peer's end, have arrived unread."""
        if self.reader.buffered_bytes > 0:
            return True
        # Bytes that the event loop has not received yet.
        poller = select.poll()
        poller.register(self.writer.get_extra_info("socket"), select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Abort the connection; unsent data is discarded."""
        self.writer.transport.abort()

    def set_idle(self, is_idle: bool) -> None:
        """Set whether no exchange uses it; bytes that arrive then end it."""
        self.reader.on_unexpected = self.close if is_idle else None

    def is_reusable(self) -> bool:
        """Return whether another exchange may follow the current one."""
        states = self.http.states
        return (
            states[h11.CLIENT] is h11.DONE
            and states[h11.SERVER] is h11.DONE
            and not self.http.trailing_data[0]
            and self.reader.buffered_bytes == 0
            and not self.reader.at_eof()
            and not self.writer.is_closing()
        )

    async def next_event(self) -> Event:
        """Return the next event, reading from the socket as needed.

        A peer whose bytes arrive as fast as they are read gets no more than
        its turns of the event loop.
        """
        while True:
            if self.events_in_turn >= MAX_EVENTS_PER_TURN:
                self.events_in_turn = 0
                await asyncio.sleep(TURN_PAUSE_S)
            event = self.http.next_event()
            self.events_in_turn += 1
            if event is not h11.NEED_DATA:
                return event
            if self.reader.buffered_bytes == 0:
                self.events_in_turn = 0  # as the read has to wait
            else:
                await asyncio.sleep(0)
            data = await self.reader.read(READ_BYTES)
            self.http.receive_data(data)

    def buffered_event(self) -> Event:
        """Return the next event from data that was read already.

        Returns `h11.NEED_DATA` if that does not complete an event, or if
        the turn of this connection is over.
        """
        if self.events_in_turn >= MAX_EVENTS_PER_TURN:
            return h11.NEED_DATA
        self.events_in_turn += 1
        return self.http.next_event()


class _Protocol(asyncio.StreamReaderProtocol):
    """Tells when the connection's socket is closed."""

    def __init__(
        self, reader: asyncio.StreamReader, on_lost: abc.Callable[[], None]
    ) -> None:
        super().__init__(reader)
        self.on_lost = on_lost

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the loss on."""
        super().connection_lost(exc)
        self.on_lost()


async def open_connection(
    address: state.Address,
    tls: ssl.SSLContext | None,
    on_lost: abc.Callable[[], None] = lambda: None,
) -> Connection:
    """Connect to an address; raises `OSError` if that fails.

    `on_lost` is called once a connection that was made is closed.
    """
    loop = asyncio.get_running_loop()
    reader = counting_reader.CountingReader(BUFFER_BYTES)
    protocol = _Protocol(reader, on_lost)
    transport, _ = await loop.create_connection(
        lambda: protocol, address.host, address.port, ssl=tls
    )
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return Connection(reader, writer)


def _enable_keepalive_probes(writer: asyncio.StreamWriter) -> None:
    """Enable TCP keep-alive on IPv4 connections.

    It detects peers that are unreachable.
    """
    sock = writer.get_extra_info("socket")
    if sock is None or sock.family is not socket.AF_INET:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)


async def write_and_read(
    connection: Connection, request: h11.Request, body: http.BodyStream
) -> h11.Response:
    """Stream a request body and return the head of the response.

    If the response begins before the end of the body, the rest of the body
    is not sent, and the connection cannot be reused.
    """
    loop = asyncio.get_running_loop()
    writing = loop.create_task(_write_stream(connection, request, body))
    reading = loop.create_task(read_head(connection))
    try:
        await asyncio.wait(
            {writing, reading}, return_when=asyncio.FIRST_COMPLETED
        )
        if not reading.done():
            await writing
        return await reading
    finally:
        for task in (writing, reading):
            task.cancel()
        await asyncio.gather(writing, reading, return_exceptions=True)


async def _write_stream(
    connection: Connection, request: h11.Request, body: http.BodyStream
) -> None:
    connection.writer.write(connection.http.send(request) or b"")
    async for chunk in body.pieces:
        sent = connection.http.send(h11.Data(data=chunk))
        connection.writer.write(sent or b"")
        await connection.writer.drain()
    connection.writer.write(connection.http.send(h11.EndOfMessage()) or b"")
    await connection.writer.drain()


async def read_head(connection: Connection) -> h11.Response:
    """Return the head of the final response, skipping interim ones.

    Raises
    ------
    ConnectionResetError
        If the peer closes the connection first.
    MalformedHeadError
        If the status is none of HTTP.
    """
    while True:
        event = await connection.next_event()
        if isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS:
                raise MalformedHeadError(
                    f"status {event.status_code} is not from 200 to 599"
                )
            return event
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("connection closed before a response")
