"""HTTP/1.1 server on h11 and asyncio, with limits on size and time."""

import asyncio
import socket
import ssl

import eliot
import h11

from poplarloft.coordination import client_memory
from poplarloft import state
from poplarloft.transport import client_buffers
from poplarloft.transport import counting_reader
from poplarloft.transport import http_session
from poplarloft.transport import request_reader
from poplarloft.transport import server_limits

__all__ = ["Handler", "HttpServer", "ServerLimits", "machine_limits"]

READ_BYTES = 16_384
BACKLOG = 1_024
ATTACH_STEPS = 2  # iterations of the event loop
MS_PER_S = 1_000
Handler = http_session.Handler
BodyLimit = request_reader.BodyLimit
ServerLimits = server_limits.ServerLimits
machine_limits = server_limits.machine_limits


class HttpServer:
    """Server that passes the requests at one address to one handler.

    Parameters
    ----------
    handler : callable
        Coroutine function from `HttpRequest` to `HttpResponse`.
    limits : ServerLimits
        Limits on clients.
    body_limit : callable
        Returns the maximum size in bytes of a request body for a path.
    tls : ssl.SSLContext or None
        TLS context; None for unencrypted connections.
    cancel_on_disconnect : bool
        Whether to cancel a handler when its client disconnects.
    may_stream : callable
        Returns whether large bodies for a path are passed to the handler
        as a stream instead of being buffered.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        body_limit: BodyLimit,
        tls: ssl.SSLContext | None = None,
        cancel_on_disconnect: bool = False,
        may_stream: request_reader.PathPredicate = lambda path: False,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.buffers = client_buffers.ClientBuffers(
            limits.max_held_bytes, _log_closed
        )
        self.body_limit = body_limit
        self.tls = tls
        self.cancel_on_disconnect = cancel_on_disconnect
        self.may_stream = may_stream
        self.sessions: dict[asyncio.Task[None], http_session.Session] = {}
        self.draining = False
        self.listener: socket.socket | None = None
        self.server: asyncio.Server | None = None

    async def start(self, address: state.Address) -> state.Address:
        """Listen on `address`; return it with the port that was bound."""
        is_ipv6 = ":" in address.host
        self.listener = socket.create_server(
            (address.host, address.port),
            family=socket.AF_INET6 if is_ipv6 else socket.AF_INET,
            backlog=BACKLOG,
        )
        self.listener.setblocking(False)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._new_protocol,
            sock=self.listener,
            ssl=self.tls,
            backlog=BACKLOG,
        )
        host, port = self.listener.getsockname()[:2]
        return state.Address(host, port)

    async def stop_listening(self) -> None:
        """Accept no further connections; open ones are still served.

        The kernel resets established connections that nobody has accepted
        when their listener closes, so these are accepted first.
        """
        server, self.server = self.server, None
        listener, self.listener = self.listener, None
        if server is None or listener is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(listener.fileno())
        # The server must still be open when the connections that it has
        # just accepted are attached to it.
        for _ in range(ATTACH_STEPS):
            await asyncio.sleep(0)
        accepted = _accept_all(listener)
        server.close()
        for connection in accepted:
            await loop.connect_accepted_socket(
                self._new_protocol, connection, ssl=self.tls
            )

    async def drain(self, timeout_ms: int) -> int:
        """Close idle connections and wait for exchanges in flight.

        Returns
        -------
        int
            Number of connections with an unfinished exchange, which were
            closed after `timeout_ms`.
        """
        self.draining = True
        await self.stop_listening()
        for session in self.sessions.values():
            session.end_if_idle()
        if self.sessions:
            await asyncio.wait(
                list(self.sessions), timeout=timeout_ms / MS_PER_S
            )
        cut = len(self.sessions)
        for task in list(self.sessions):
            task.cancel()
        return cut

    def _new_protocol(self) -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()
        reader = counting_reader.CountingReader(READ_BYTES)

        def accept(_: object, writer: asyncio.StreamWriter) -> None:
            self._accept(reader, writer)

        return asyncio.StreamReaderProtocol(reader, accept, loop)

    def _accept(
        self,
        reader: counting_reader.CountingReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if len(self.sessions) >= self.limits.max_connections:
            idle = self._longest_idle()
            if idle is None:
                writer.transport.abort()
                return
            idle.end_if_idle()
        session = http_session.Session(self, reader, writer)
        task = asyncio.get_running_loop().create_task(_serve(session))
        self.sessions[task] = session
        # The session is closed by a callback: a task that is cancelled before
        # its first step runs no code of its own, not even a `finally` block.
        task.add_done_callback(lambda ended: self.sessions.pop(ended).close())

    def _longest_idle(self) -> http_session.Session | None:
        """Return the session that has waited longest for its next request."""
        return min(
            (s for s in self.sessions.values() if s.is_idle),
            key=lambda session: session.idle_since_s,
            default=None,
        )


def _log_closed(hold: client_memory.ClientHold) -> None:
    eliot.log_message(
        "client-closed",
        reason="holds-most",
        ahead_bytes=hold.ahead_bytes,
        body_bytes=hold.body_bytes,
        unread_bytes=hold.unread_bytes,
    )


def _accept_all(listener: socket.socket) -> list[socket.socket]:
    """Return all connections that wait to be accepted."""
    connections: list[socket.socket] = []
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return connections
        connection.setblocking(False)
        connections.append(connection)


async def _serve(session: http_session.Session) -> None:
    try:
        await session.run()
    except (OSError, TimeoutError, h11.LocalProtocolError):
        pass
