"""HTTP/1.1 server with limits on size and time, on h11 and asyncio."""

import asyncio
import ssl

import h11

from poplarloft import state
from poplarloft.transport import http_session
from poplarloft.transport import server_limits

__all__ = ["Handler", "HttpServer", "ServerLimits"]

READ_BYTES = 65_536
MS_PER_S = 1_000
Handler = http_session.Handler
BodyLimit = http_session.BodyLimit
ServerLimits = server_limits.ServerLimits


class HttpServer:
    """Serves one address with one handler.

    Parameters
    ----------
    handler : callable
        Takes a whole `HttpRequest`, returns an `HttpResponse`.
    limits : ServerLimits
        Limits on clients.
    body_limit : callable
        Returns the largest body in bytes for a path.
    tls : ssl.SSLContext or None
        Set for TLS.
    cancel_on_disconnect : bool
        Whether a handler is cancelled when its client leaves.
    may_stream : callable
        Tells for a path whether a large body is handed on in pieces.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        body_limit: BodyLimit,
        tls: ssl.SSLContext | None = None,
        cancel_on_disconnect: bool = False,
        may_stream: http_session.PathTest = lambda path: False,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.body_limit = body_limit
        self.tls = tls
        self.cancel_on_disconnect = cancel_on_disconnect
        self.may_stream = may_stream
        self.sessions: dict[asyncio.Task[None], http_session.Session] = {}
        self.draining = False
        self.server: asyncio.Server | None = None

    async def start(self, address: state.Address) -> state.Address:
        """Listen on `address`; return it with the port that was bound."""
        self.server = await asyncio.start_server(
            self._accept,
            address.host,
            address.port,
            limit=READ_BYTES,
            ssl=self.tls,
            backlog=1_024,
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        return state.Address(host, port)

    def stop_listening(self) -> None:
        """Accept no further connection; open ones go on."""
        if self.server is not None:
            self.server.close()

    async def drain(self, timeout_ms: int) -> int:
        """End idle connections, await exchanges in flight.

        Returns
        -------
        int
            Exchanges that were still unfinished at the end and were cut.
        """
        self.draining = True
        self.stop_listening()
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

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self.sessions) >= self.limits.max_connections:
            writer.transport.abort()
            return
        session = http_session.Session(self, reader, writer)
        task = asyncio.get_running_loop().create_task(_serve(session))
        self.sessions[task] = session
        # Closed here, since a task that is cancelled before its first step
        # runs none of its own code.
        task.add_done_callback(lambda ended: self.sessions.pop(ended).close())


async def _serve(session: http_session.Session) -> None:
    try:
        await session.run()
    except (OSError, TimeoutError, h11.LocalProtocolError):
        pass
