"""HTTP/1.1 server on h11 and asyncio, with limits on size and time."""

import asyncio
import socket
import ssl

import eliot
import h11

from poplarloft.coordination import clients
from poplarloft import state
from poplarloft.transport import acceptor
from poplarloft.transport import client_buffers
from poplarloft.transport import client_connection
from poplarloft.transport import departures
from poplarloft.transport import http_session
from poplarloft.transport import request_reader
from poplarloft.transport import server_limits
from poplarloft.transport import turns

__all__ = ["Handler", "HttpServer", "ServerLimits", "share_limits"]

SENT_AHEAD_PER_TURN = 8  # requests
CONNECTING_S = 0.5  # for handshakes that have begun before a stop
MS_PER_S = 1_000
Handler = http_session.Handler
BodyLimit = request_reader.BodyLimit
ServerLimits = server_limits.ServerLimits
share_limits = server_limits.share_limits


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

    Attributes
    ----------
    address : state.Address
        Address that it listens on, once it has started.
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
            limits.max_connections, limits.max_held_bytes, _log_closed
        )
        self.body_limit = body_limit
        self.tls = tls
        self.cancel_on_disconnect = cancel_on_disconnect
        self.may_stream = may_stream
        self.turns = turns.TurnQueue(SENT_AHEAD_PER_TURN)
        self.departures = departures.DepartureWatch()
        self.sessions: dict[asyncio.Task[None], http_session.Session] = {}
        self.connecting: set[asyncio.Task[None]] = set()
        self.draining = False
        self.acceptor: acceptor.Acceptor | None = None
        self.address = state.Address("", 0)

    async def start(self, address: state.Address) -> state.Address:
        """Listen on `address`; return it with the port that was bound."""
        self.acceptor = acceptor.Acceptor(
            address,
            self.limits.backlog,
            self.limits.receive_buffer_bytes,
            self.buffers,
            self._accept,
        )
        self.address = self.acceptor.address
        return self.address

    def allow_bodies_of(self, size: int) -> None:
        """Let requests with bodies of `size` bytes be served in any case.

        The bound on memory is raised if it is too small for two of them.
        """
        least_bytes = 2 * request_reader.BODY_COPIES * size
        self.buffers.table.max_bytes = max(
            self.limits.max_held_bytes, least_bytes
        )

    async def stop_listening(self) -> None:
        """Accept no further connections; open ones are still served.

        The kernel resets established connections that nobody has accepted
        when their listener closes, so these are accepted first.
        """
        stopped, self.acceptor = self.acceptor, None
        if stopped is None:
            return
        stopped.stop()
        if self.connecting:
            await asyncio.wait(self.connecting, timeout=CONNECTING_S)

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
        self.departures.close()
        return cut

    def _accept(self, accepted: socket.socket) -> None:
        """Serve a connection that has just been accepted."""
        connection = client_connection.ClientConnection(
            self.buffers,
            self.departures,
            self.attach,
            self.limits.max_ahead_bytes,
            self.limits.unread_timeout_ms / MS_PER_S,
        )
        connecting = connection.start(accepted, self.tls)
        self.connecting.add(connecting)
        connecting.add_done_callback(self.connecting.discard)

    def attach(
        self, connection: client_connection.ClientConnection
    ) -> asyncio.Task[None]:
        """Start a session on a connection that can exchange data."""
        session = http_session.Session(
            self, connection.stream, connection.buffer
        )
        connection.drop_body = session.requests.drop_body
        task = asyncio.get_running_loop().create_task(_serve(session))
        self.sessions[task] = session
        # The session is closed by a callback: a task that is cancelled before
        # its first step runs no code of its own, not even a `finally` block.
        task.add_done_callback(self._on_session_done)
        return task

    def _on_session_done(self, task: asyncio.Task[None]) -> None:
        self.sessions.pop(task).close()


def _log_closed(reason: str, hold: clients.ClientHold) -> None:
    eliot.log_message(
        "client-closed",
        reason=reason,
        ahead_bytes=hold.ahead_bytes,
        body_bytes=hold.body_bytes,
        unread_bytes=hold.unread_bytes,
    )


async def _serve(session: http_session.Session) -> None:
    try:
        await session.run()
    except (OSError, TimeoutError, h11.LocalProtocolError):
        pass
