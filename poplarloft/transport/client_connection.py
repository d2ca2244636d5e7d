"""One accepted connection, from its socket to the end of its session."""

import asyncio
from collections import abc
import socket
import ssl

from poplarloft.transport import client_buffers
from poplarloft.transport import client_stream
from poplarloft.transport import departures

__all__ = ["ClientConnection"]

Attach = abc.Callable[["ClientConnection"], "asyncio.Task[None]"]


def _nothing() -> None:
    pass


class ClientConnection:
    """Keeps the place of a connection until nothing of it is left.

    Parameters
    ----------
    buffers : client_buffers.ClientBuffers
        What all connections hold.
    watch : departures.DepartureWatch
        Notices that a client has left from which nothing is read.
    attach : callable
        Starts a session once data can be exchanged; returns its task.
    max_ahead_bytes : int
        What is read ahead of the client's requests.
    unread_timeout_s : float
        Time after which a closed connection is reset, if its client has
        not read the rest of the response.

    Attributes
    ----------
    drop_body : callable
        Drops what has arrived of a request's body.
    """

    def __init__(
        self,
        buffers: client_buffers.ClientBuffers,
        watch: departures.DepartureWatch,
        attach: Attach,
        max_ahead_bytes: int,
        unread_timeout_s: float,
    ) -> None:
        self.watch = watch
        self.attach = attach
        self.unread_timeout_s = unread_timeout_s
        self.stream = client_stream.ClientStream(
            max_ahead_bytes, self._on_connected, self._on_lost
        )
        self.buffer = client_buffers.ConnectionBuffer(
            buffers, self.abort, lambda: self.stream.unread_bytes
        )
        self.stream.on_paused = self._on_paused
        self.drop_body: abc.Callable[[], None] = _nothing
        self.connecting: asyncio.Task[None] | None = None
        self.session: asyncio.Task[None] | None = None
        self.descriptor = -1
        self.is_begun = False

    def start(
        self, accepted: socket.socket, tls: ssl.SSLContext | None
    ) -> "asyncio.Task[None]":
        """Make the connection's transport, after a handshake for TLS."""
        self.descriptor = accepted.fileno()
        loop = asyncio.get_running_loop()
        self.connecting = loop.create_task(self._connect(accepted, tls))
        self.connecting.add_done_callback(
            lambda _: self._on_connecting_done(accepted)
        )
        return self.connecting

    def abort(self) -> None:
        """Close the connection, and drop what its client has sent."""
        self.drop_body()
        if self.stream.transport is not None:
            self.stream.abort()
        elif self.connecting is not None:
            self.connecting.cancel()

    async def _connect(
        self, accepted: socket.socket, tls: ssl.SSLContext | None
    ) -> None:
        self.is_begun = True
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: self.stream, accepted, ssl=tls
            )
        except OSError:
            return  # the client left, or its handshake failed

    def _on_connecting_done(self, accepted: socket.socket) -> None:
        if not self.is_begun:
            accepted.close()
        if self.stream.transport is None:
            self.buffer.remove()

    def _on_connected(self, _: client_stream.ClientStream) -> None:
        self.session = self.attach(self)
        self.session.add_done_callback(lambda _: self._on_session_done())

    def _on_session_done(self) -> None:
        if self.stream.is_lost:
            self.buffer.remove()
        elif self.stream.unread_bytes:
            loop = asyncio.get_running_loop()
            loop.call_later(self.unread_timeout_s, self.stream.abort)

    def _on_lost(self) -> None:
        self.watch.forget(self.descriptor)
        self.drop_body = _nothing
        if self.session is not None and self.session.done():
            self.buffer.remove()

    def _on_paused(self, is_paused: bool) -> None:
        if is_paused:
            self.watch.watch(self.descriptor, self.abort)
        else:
            self.watch.forget(self.descriptor)
