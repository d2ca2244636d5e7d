"""Accounts for what the connections of a server hold."""

import asyncio
from collections import abc
import dataclasses
import itertools

from poplarloft.coordination import clients
from poplarloft import state

__all__ = ["ClientBuffers", "ConnectionBuffer"]

# Between two looks at who reads; shorter than the time after which a client
# that does not act makes room.
READING_INTERVAL_S = clients.PATIENCE_MS / 2 / 1_000


class ConnectionBuffer:
    """What one connection makes the server hold.

    Parameters
    ----------
    buffers : ClientBuffers
        What all connections hold.
    close : callable
        Closes the connection at once.
    measure_unread : callable
        Returns the bytes that were written and not read so far.
    """

    def __init__(
        self,
        buffers: "ClientBuffers",
        close: abc.Callable[[], None],
        measure_unread: abc.Callable[[], int],
    ) -> None:
        self.buffers = buffers
        self.close = close
        self.measure_unread = measure_unread
        self.number = next(buffers.numbers)
        self.hold = clients.ClientHold()
        self.phase = clients.Phase.SILENT
        buffers.connections[self.number] = self
        buffers.table.add(self.number)

    def enter(self, phase: clients.Phase) -> None:
        """Set what the connection waits for."""
        if self.phase is not phase:
            self.phase = phase
            self.buffers.table.enter(self.number, phase)
            if phase is clients.Phase.UNREAD:
                self.buffers.watch_reading()

    def set_channel(self, upstream: state.Address | None) -> None:
        """Set the upstream to which its request may use a channel."""
        self.buffers.table.set_channel(self.number, upstream)

    def set_arrived(self, ahead_bytes: int, kernel_bytes: int) -> None:
        """Set what has arrived and is not yet part of a request."""
        self._update(ahead_bytes=ahead_bytes, kernel_bytes=kernel_bytes)

    def set_unread(self, size: int) -> None:
        """Set the bytes of answers that the client has not read."""
        self._update(unread_bytes=size)

    def note_reading(self) -> None:
        """Note what the client has read since it was last looked at."""
        unread_bytes = self.measure_unread()
        read_bytes = self.hold.unread_bytes - unread_bytes
        self._update(unread_bytes=unread_bytes)
        self.buffers.table.note_read(self.number, read_bytes)

    def take_body(self, size: int) -> bool:
        """Set the memory for the request; return whether it may be used."""
        if size > self.hold.body_bytes:
            decision = self.buffers.table.take_body(self.number, size)
            self.buffers.close_all(decision.closed)
            if not decision.is_taken:
                return False
        self._update(body_bytes=size)
        return True

    def remove(self) -> None:
        """Forget the connection, which has been closed."""
        self.buffers.table.remove(self.number)
        self.buffers.connections.pop(self.number, None)

    def _update(self, **changed: int) -> None:
        before_bytes = self.hold.total_bytes
        self.hold = dataclasses.replace(self.hold, **changed)
        self.buffers.table.set_hold(self.number, self.hold)
        if self.hold.total_bytes > before_bytes:
            self.buffers.close_excess()


class ClientBuffers:
    """What all connections of a server hold.

    Parameters
    ----------
    max_connections : int
        Number of connections that may be open.
    max_bytes : int
        Bound on what all connections together hold.
    on_closed : callable
        Called with the reason for which a connection was closed, and what
        it held.

    Attributes
    ----------
    on_stalled : callable
        Called while clients have read nothing for long, from time to time.
    """

    def __init__(
        self,
        max_connections: int,
        max_bytes: int,
        on_closed: abc.Callable[[str, clients.ClientHold], None],
    ) -> None:
        self.table = clients.ClientTable(
            state.MonotonicClock(), max_connections, max_bytes
        )
        self.on_closed = on_closed
        self.connections: dict[int, ConnectionBuffer] = {}
        self.numbers = itertools.count(1)
        self.next_look: asyncio.TimerHandle | None = None
        self.on_stalled: abc.Callable[[], object] = lambda: None

    @property
    def open_count(self) -> int:
        """Number of connections, also of those whose closing is under way."""
        return len(self.connections)

    def uses(self, listener: str) -> list[clients.ResourceUse]:
        """Return what the connections of a listener take."""
        table = self.table
        places = clients.ResourceUse(
            f"{listener}-places", self.open_count, table.max_connections
        )
        memory = clients.ResourceUse(
            f"{listener}-bytes", table.total_bytes, table.max_bytes
        )
        return [places, memory]

    def watch_reading(self) -> None:
        """Look from time to time who reads what was sent, while any has to."""
        if self.next_look is None:
            loop = asyncio.get_running_loop()
            self.next_look = loop.call_later(READING_INTERVAL_S, self._look)

    def _look(self) -> None:
        self.next_look = None
        reading = self.table.in_phase(clients.Phase.UNREAD)
        for number in reading:
            self.connections[number].note_reading()
        if not reading:
            return
        self.watch_reading()
        if self.stalled_upstreams():
            self.on_stalled()

    def close_excess(self) -> None:
        """Close connections until the bound on memory holds."""
        self.close_all(self.table.close_excess())

    def make_room(self) -> bool:
        """Return whether there is a place for one more connection."""
        if len(self.table.clients) < self.table.max_connections:
            return True
        number = self.table.make_room()
        if number is None:
            return False
        self._close(number, "makes-room")
        return True

    def free_channel(self) -> bool:
        """Close a connection that does not use its channel upstream."""
        number = self.table.free_channel()
        if number is None:
            return False
        self._close(number, "holds-channel")
        return True

    def stalled_upstreams(self) -> set[abc.Hashable]:
        """Return the upstreams that send what nobody reads."""
        return self.table.stalled_upstreams()

    def free_slot(self, upstream: state.Address) -> bool:
        """Close a connection that does not read what an upstream sends."""
        number = self.table.free_slot(upstream)
        if number is None:
            return False
        self._close(number, "holds-slot")
        return True

    def may_free_slot(self, upstream: state.Address) -> bool:
        """Return whether there are clients who may not read its responses."""
        return self.table.may_free_slot(upstream)

    def close_all(self, numbers: abc.Iterable[int]) -> None:
        """Close connections that the table has chosen for their memory."""
        for number in numbers:
            self._close(number, "holds-most")

    def _close(self, number: int, reason: str) -> None:
        connection = self.connections[number]
        self.on_closed(reason, connection.hold)
        connection.close()
