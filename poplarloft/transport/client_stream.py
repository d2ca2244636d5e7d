"""Server side of a client's connection, with bounded buffers."""

import asyncio
from collections import abc

__all__ = ["READ_BYTES", "ClientStream"]

READ_BYTES = 16_384  # at most, of one connection in a turn of the event loop
WRITE_HIGH_BYTES = 65_536
# Each read is copied from here at once, so that one buffer serves all.
_SCRATCH = memoryview(bytearray(READ_BYTES))


class ClientStream(asyncio.BufferedProtocol):
    """Reads from and writes to one connection.

    Parameters
    ----------
    max_ahead_bytes : int
        Nothing more is read once so much has arrived and was not taken.
    on_connected : callable
        Called with the stream once data can be exchanged.
    on_lost : callable
        Called once the connection is closed and its socket too.

    Attributes
    ----------
    on_arrival : callable or None
        Called after data has arrived.
    on_paused : callable or None
        Called with whether reading is paused, after that has changed.
    has_more : bool
        Whether the last read was as large as a read can be, so that more
        may have arrived.
    is_ended : bool
        Whether the client has closed its side, or the connection is lost.
    """

    def __init__(
        self,
        max_ahead_bytes: int,
        on_connected: abc.Callable[["ClientStream"], None],
        on_lost: abc.Callable[[], None],
    ) -> None:
        self.max_ahead_bytes = max_ahead_bytes
        self.on_connected = on_connected
        self.on_lost = on_lost
        self.on_arrival: abc.Callable[[], None] | None = None
        self.on_paused: abc.Callable[[bool], None] | None = None
        self.on_ended: abc.Callable[[], None] | None = None
        self.transport: asyncio.Transport | None = None
        self.pending = bytearray()
        self.has_more = False
        self.is_paused = False
        self.is_lost = False
        self.is_write_paused = False
        self.is_ended = False
        self.arrived: asyncio.Future[None] | None = None
        self.written: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(WRITE_HIGH_BYTES)
        self.on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        self.pending += _SCRATCH[:nbytes]
        self.has_more = nbytes == READ_BYTES
        _wake(self.arrived)
        if len(self.pending) >= self.max_ahead_bytes:
            self._set_paused(True)
        if self.on_arrival is not None:
            self.on_arrival()

    def eof_received(self) -> bool:
        """Note that the client sends nothing more."""
        self.note_end()
        # TLS ends both directions at once.
        return self._get_extra("sslcontext") is None

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is closed."""
        self.is_lost = True
        self.note_end()
        _wake(self.written)
        self.on_arrival = self.on_paused = None
        self.on_lost()

    def note_end(self) -> None:
        """Note that the client has left, whatever it sent before."""
        self.is_ended = True
        _wake(self.arrived)
        if self.on_ended is not None:
            self.on_ended()

    def set_end_listener(
        self, on_ended: abc.Callable[[], None] | None
    ) -> None:
        """Set what is called when the client leaves, or has left already."""
        self.on_ended = on_ended
        if on_ended is not None and self.is_ended:
            # A response that is there at once is still sent.
            asyncio.get_running_loop().call_soon(on_ended)

    def pause_writing(self) -> None:
        """Note that much of what was written was not read."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Note that the client has read most of what was written."""
        self.is_write_paused = False
        _wake(self.written)

    @property
    def unread_bytes(self) -> int:
        """Bytes that were written and that the kernel did not take yet."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    async def read(self, size: int) -> bytes:
        """Return up to `size` bytes, empty at the end."""
        while not self.pending and not self.is_ended:
            self.arrived = asyncio.get_running_loop().create_future()
            await self.arrived
        data = bytes(self.pending[:size])
        del self.pending[:size]
        if self.is_paused and len(self.pending) < self.max_ahead_bytes:
            self._set_paused(False)
        return data

    def write(self, data: bytes) -> None:
        """Send data, or buffer it until it can be sent."""
        if self.transport is not None:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the client has read most of what was written.

        Raises
        ------
        ConnectionResetError
            If the connection is lost.
        """
        if self.transport is not None and self.transport.is_closing():
            # Lets a loss that the last write has shown become known.
            await asyncio.sleep(0)
        while self.is_write_paused and not self.is_lost:
            self.written = asyncio.get_running_loop().create_future()
            await self.written
        if self.is_lost:
            raise ConnectionResetError("connection lost")

    def close(self) -> None:
        """Close the connection once all was sent that was written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection and drop all that it holds."""
        self.pending = bytearray()
        if self.transport is not None:
            self.transport.abort()

    def _set_paused(self, is_paused: bool) -> None:
        if self.is_paused == is_paused or self.transport is None:
            return
        self.is_paused = is_paused
        if self.transport.is_closing():
            return
        if is_paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        if self.on_paused is not None:
            self.on_paused(is_paused)

    def _get_extra(self, name: str) -> object:
        if self.transport is None:
            return None
        return self.transport.get_extra_info(name)


def _wake(waiter: "asyncio.Future[None] | None") -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
