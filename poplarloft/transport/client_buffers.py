"""Accounts for what the connections of a server hold."""

from collections import abc
import itertools

from poplarloft.coordination import client_memory

__all__ = ["ClientBuffers", "ConnectionBuffer"]


class ConnectionBuffer:
    """What one connection makes the server hold.

    Parameters
    ----------
    buffers : ClientBuffers
        What all connections hold.
    close : callable
        Closes the connection at once.
    """

    def __init__(
        self, buffers: "ClientBuffers", close: abc.Callable[[], None]
    ) -> None:
        self.buffers = buffers
        self.close = close
        self.number = next(buffers.numbers)
        self.hold = client_memory.ClientHold()
        buffers.connections[self.number] = self

    def set_ahead(self, size: int) -> None:
        """Set the bytes that are not yet part of a request."""
        self._update(ahead_bytes=size)

    def set_unread(self, size: int) -> None:
        """Set the bytes of answers that the client has not read."""
        self._update(unread_bytes=size)

    def take_body(self, size: int) -> bool:
        """Set the size of the body; return whether it may be read."""
        memory = self.buffers.memory
        if size and not memory.may_take_body(self.number, size):
            return False
        self._update(body_bytes=size)
        return True

    def remove(self) -> None:
        """Forget the connection, which has been closed."""
        self.buffers.memory.remove(self.number)
        self.buffers.connections.pop(self.number, None)

    def _update(
        self,
        ahead_bytes: int | None = None,
        body_bytes: int | None = None,
        unread_bytes: int | None = None,
    ) -> None:
        old = self.hold
        self.hold = client_memory.ClientHold(
            old.ahead_bytes if ahead_bytes is None else ahead_bytes,
            old.body_bytes if body_bytes is None else body_bytes,
            old.unread_bytes if unread_bytes is None else unread_bytes,
        )
        if self.number in self.buffers.connections:
            self.buffers.memory.update(self.number, self.hold)
            if self.hold.total_bytes > old.total_bytes:
                self.buffers.close_excess()


class ClientBuffers:
    """What all connections of a server hold.

    Parameters
    ----------
    max_bytes : int
        Bound for all connections together.
    on_closed : callable
        Called with what a connection held that was closed for it.
    """

    def __init__(
        self,
        max_bytes: int,
        on_closed: abc.Callable[[client_memory.ClientHold], None],
    ) -> None:
        self.memory = client_memory.ClientMemory(max_bytes)
        self.on_closed = on_closed
        self.connections: dict[int, ConnectionBuffer] = {}
        self.numbers = itertools.count(1)

    def close_excess(self) -> None:
        """Close connections until the bound holds."""
        for number in self.memory.to_close():
            connection = self.connections.pop(number)
            self.on_closed(connection.hold)
            connection.close()
