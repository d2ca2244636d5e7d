"""Server side of one HTTP/1.1 connection: handling and responses."""

import asyncio
from collections import abc
import contextlib
import typing

import h11

from poplarloft.coordination import clients
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import channel_notes
from poplarloft.transport import client_buffers
from poplarloft.transport import client_stream
from poplarloft.transport import request_reader
from poplarloft.transport import server_limits
from poplarloft.transport import turns

__all__ = ["Handler", "Session", "UnreadResponseError"]

MS_PER_S = 1_000

Handler = abc.Callable[[http.HttpRequest], abc.Awaitable[http.HttpResponse]]


class UnreadResponseError(ConnectionError):
    """A client has read nothing of its response for too long."""


class _Server(request_reader.RequestPolicy, typing.Protocol):
    """The attributes of the server that a session reads.

    Attributes
    ----------
    cancel_on_disconnect : bool
        Whether to cancel a handler when its client disconnects.
    turns : turns.TurnQueue
        Shares the event loop among clients that send requests ahead.
    """

    handler: Handler
    cancel_on_disconnect: bool
    turns: turns.TurnQueue


class Session:
    """One connection of a client.

    Attributes
    ----------
    has_served : bool
        Whether a request was answered on this connection.
    response_complete : bool
        False while a streamed response is being sent, and after sending it
        has failed.
    """

    def __init__(
        self,
        server: _Server,
        stream: client_stream.ClientStream,
        buffer: client_buffers.ConnectionBuffer,
    ) -> None:
        self.server = server
        self.buffer = buffer
        self.requests = request_reader.RequestReader(server, stream, buffer)
        stream.on_arrival = self.requests.note_arrival
        self.http = self.requests.http
        self.stream = stream
        self.has_served = False
        self.response_complete = True
        self.is_serving = False
        self.task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve requests until either side ends the connection."""
        self.task = asyncio.current_task()
        while await self._serve_one():
            self.http.start_next_cycle()
            if self.requests.is_ahead:
                await self.server.turns.wait()
            elif self.server.draining:
                return
            else:
                self.buffer.enter(clients.Phase.IDLE)

    def end_if_idle(self) -> None:
        """End the connection if it is waiting for a request.

        A connection without a request so far ends after
        `FIRST_REQUEST_GRACE_MS`, since its client may have opened it just
        before the server stopped listening.
        """
        first_ms = request_reader.FIRST_REQUEST_GRACE_MS
        self.requests.end_wait(0 if self.has_served else first_ms)

    def close(self) -> None:
        """Close the connection; reset it if a response is incomplete.

        The reset prevents the client from treating a truncated response as
        complete.
        """
        self.requests.drop_body()
        if self.response_complete:
            self.stream.close()
        else:
            self.stream.abort()
        # Closed only once the client has read what was written.
        self.buffer.enter(clients.Phase.UNREAD)

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            request = await self.requests.read()
        except server_limits.RequestRefusedError as refused:
            await self._send_refusal(refused)
            return False
        if request is None:
            return False
        with self._serving():
            response = await self._call_handler(request)
            await self._send(request, response)
        self.buffer.take_body(0)
        if request.stream is not None:
            await self.requests.discard_body()
        self.has_served = True
        return self.http.our_state is h11.DONE and (
            self.http.their_state is h11.DONE
        )

    @contextlib.contextmanager
    def _serving(self) -> abc.Iterator[None]:
        """Cancel the session if its client leaves in the meantime."""
        self.is_serving = True
        token = channel_notes.holder.set(self)
        if self.server.cancel_on_disconnect:
            self.stream.set_end_listener(self._on_departure)
        try:
            yield
        finally:
            self.is_serving = False
            self.stream.set_end_listener(None)
            self.buffer.set_channel(None)
            channel_notes.holder.reset(token)

    @property
    def is_ordinary(self) -> bool:
        """Whether its client has sent nothing beyond this request."""
        return self._is_complete and not self.buffer.hold.ahead_bytes

    @property
    def has_sent_ahead(self) -> bool:
        """Whether its client has sent more after this request."""
        return self._is_complete and self.buffer.hold.ahead_bytes > 0

    @property
    def _is_complete(self) -> bool:
        return self.buffer.phase is clients.Phase.SERVED

    def on_channel(self, upstream: state.Address) -> None:
        """Note that the request has a channel to an upstream."""
        self.buffer.set_channel(upstream)

    def _on_departure(self) -> None:
        """Cancel the session, once, so that it ends in order."""
        if self.is_serving and self.task is not None:
            self.is_serving = False
            self.response_complete = False
            self.task.cancel()

    async def _call_handler(
        self, request: http.HttpRequest
    ) -> http.HttpResponse:
        """Return the handler's response, or status 500 if it fails.

        A lost connection is left to the caller, which closes this one too.
        """
        try:
            return await self.server.handler(request)
        except OSError:
            raise
        except Exception as error:
            asyncio.get_running_loop().call_exception_handler(
                {
                    "message": f"{request.method} {request.path[:200]} failed",
                    "exception": error,
                }
            )
        return http.problem_response(
            state.Refusal(
                state.Reason.INTERNAL_ERROR,
                state.Verdict.MAY_HAVE_RUN,
                "an unexpected error; see the log",
            )
        )

    async def _send(
        self, request: http.HttpRequest, response: http.HttpResponse
    ) -> None:
        body = response.body
        if isinstance(body, bytes):
            await self._send_buffered(request, response, body)
            return
        self.response_complete = False
        try:
            await self._send_streamed(request, response, body)
        finally:
            await body.aclose()  # type: ignore[attr-defined]
        self.response_complete = True

    async def _send_buffered(
        self,
        request: http.HttpRequest,
        response: http.HttpResponse,
        body: bytes,
    ) -> None:
        headers = [
            *response.headers,
            ("content-length", str(len(body))),
        ]
        parts = [self.http.send(self._head(response.status, headers))]
        if request.method != "HEAD" and body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        self.stream.write(b"".join(p for p in parts if p))
        await self._drain()

    async def _drain(self) -> None:
        """Wait until the client has read most of what was sent.

        Raises
        ------
        UnreadResponseError
            If it has read nothing for `unread_timeout_ms`.
        """
        if not self.stream.is_write_paused:
            self.buffer.set_unread(self.stream.unread_bytes)
            await self.stream.drain()
            return
        phase = self.buffer.phase
        self.buffer.enter(clients.Phase.UNREAD)
        await self._drain_paused()
        self.buffer.enter(phase)

    async def _drain_paused(self) -> None:
        timeout_s = self.server.limits.unread_timeout_ms / MS_PER_S
        unread = self.stream.unread_bytes
        self.buffer.set_unread(unread)
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    await self.stream.drain()
                self.buffer.set_unread(self.stream.unread_bytes)
                return
            except TimeoutError:
                left = self.stream.unread_bytes
                if left >= unread:
                    self.response_complete = False
                    raise UnreadResponseError(
                        f"{left} bytes were not read for {timeout_s} s"
                    ) from None
                unread = left

    async def _send_streamed(
        self,
        request: http.HttpRequest,
        response: http.HttpResponse,
        body: abc.AsyncIterator[bytes],
    ) -> None:
        head = self._head(response.status, list(response.headers))
        self.stream.write(self.http.send(head) or b"")
        async for chunk in body:
            if request.method != "HEAD":
                self.stream.write(self.http.send(h11.Data(data=chunk)) or b"")
            await self._drain()
        self.stream.write(self.http.send(h11.EndOfMessage()) or b"")
        await self._drain()

    def _head(
        self, status: int, headers: list[tuple[str, str]]
    ) -> h11.Response:
        if self.server.draining:
            headers.append(("connection", "close"))
        return h11.Response(
            status_code=status, headers=http.encode_headers(headers)
        )

    async def _send_refusal(
        self, refused: server_limits.RequestRefusedError
    ) -> None:
        """Respond to a request that was refused while it was read."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = http.problem_response(refused.refusal)
        assert isinstance(response.body, bytes)
        headers = [
            *response.headers,
            ("content-length", str(len(response.body))),
            ("connection", "close"),
        ]
        head = h11.Response(status_code=refused.status, headers=headers)
        parts = [
            self.http.send(head),
            self.http.send(h11.Data(data=response.body)),
            self.http.send(h11.EndOfMessage()),
        ]
        self.stream.write(b"".join(p for p in parts if p))
        await self._drain()
