"""Server side of one HTTP/1.1 connection."""

import asyncio
from collections import abc
import typing

import h11

from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.transport import server_limits

__all__ = ["BodyLimit", "Handler", "PathPredicate", "Session"]

READ_BYTES = 65_536
MS_PER_S = 1_000
Handler = abc.Callable[[http.HttpRequest], abc.Awaitable[http.HttpResponse]]
BodyLimit = abc.Callable[[str], int]
PathPredicate = abc.Callable[[str], bool]
Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
MAX_BUFFERED_BODY_BYTES = 262_144  # larger bodies may be streamed
DISCARD_TIMEOUT_MS = 3_000
FIRST_REQUEST_GRACE_MS = 1_000
FINAL_READ_TIMEOUT_MS = 20


class _Server(typing.Protocol):
    """The attributes of the server that a session reads.

    Attributes
    ----------
    body_limit : callable
        Returns the maximum size in bytes of a request body for a path.
    may_stream : callable
        Returns whether request bodies for a path that are large, or of
        unknown size, are passed to the handler as a stream instead of being
        buffered.
    cancel_on_disconnect : bool
        Whether to cancel a handler when its client disconnects, unless
        the request body is streamed to it.
    """

    handler: Handler
    limits: server_limits.ServerLimits
    body_limit: BodyLimit
    may_stream: PathPredicate
    cancel_on_disconnect: bool
    draining: bool


class Session:
    """One connection of a client.

    Attributes
    ----------
    idle_timeout : asyncio.Timeout or None
        Timeout of the wait for a request; None outside of that wait.
    has_served : bool
        Whether a request was answered on this connection.
    response_complete : bool
        False while a streamed response is being sent, and after sending it
        has failed.
    """

    def __init__(
        self,
        server: _Server,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.server = server
        self.reader = reader
        self.writer = writer
        self.http = self._new_http()
        self.idle_timeout: asyncio.Timeout | None = None
        self.has_served = False
        self.response_complete = True

    @property
    def limits(self) -> server_limits.ServerLimits:
        """The limits of the server."""
        return self.server.limits

    def _new_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_head_bytes
        )

    async def run(self) -> None:
        """Serve requests until either side ends the connection."""
        while await self._serve_one():
            self.http.start_next_cycle()
            if self.server.draining and not self.http.trailing_data[0]:
                return

    def end_if_idle(self) -> None:
        """End the connection if it is waiting for a request.

        A connection without a request so far ends after
        `FIRST_REQUEST_GRACE_MS`, since its client may have opened it just
        before the server stopped listening.
        """
        if self.idle_timeout is None:
            return
        grace_ms = 0 if self.has_served else FIRST_REQUEST_GRACE_MS
        now_s = asyncio.get_running_loop().time()
        self.idle_timeout.reschedule(now_s + grace_ms / MS_PER_S)

    def close(self) -> None:
        """Close the connection; reset it if a response is incomplete.

        The reset prevents the client from treating a truncated response as
        complete.
        """
        if self.response_complete:
            self.writer.close()
        else:
            self.writer.transport.abort()

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            request = await self._read_request()
        except server_limits.RequestRefusedError as refused:
            await self._send_refusal(refused)
            return False
        if request is None:
            return False
        response = await self._handle(request)
        if response is None:
            return False
        await self._send(request, response)
        if request.stream is not None:
            await self._discard_body()
        self.has_served = True
        return self.http.our_state is h11.DONE and (
            self.http.their_state is h11.DONE
        )

    async def _discard_body(self) -> None:
        """Read and discard the rest of a streamed request body.

        Closing a connection with unread data would reset it, and the client
        could lose the response.
        """
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_MS / MS_PER_S):
                while self.http.their_state is h11.SEND_BODY:
                    await self._next_event()
        except (OSError, TimeoutError, server_limits.RequestRefusedError):
            return

    async def _handle(
        self, request: http.HttpRequest
    ) -> http.HttpResponse | None:
        """Return the handler's response, None if the client disconnected."""
        if not self.server.cancel_on_disconnect or request.stream is not None:
            return await self.server.handler(request)
        loop = asyncio.get_running_loop()
        handling = loop.create_task(self._call_handler(request))
        disconnect_wait = loop.create_task(self._await_disconnect())
        try:
            await asyncio.wait(
                {handling, disconnect_wait},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if handling.done():
                return handling.result()
            return None
        finally:
            for task in (handling, disconnect_wait):
                task.cancel()
            await asyncio.gather(
                handling, disconnect_wait, return_exceptions=True
            )

    async def _call_handler(
        self, request: http.HttpRequest
    ) -> http.HttpResponse:
        return await self.server.handler(request)

    async def _await_disconnect(self) -> None:
        """Return when the client disconnects; buffer what it sends."""
        try:
            while data := await self.reader.read(READ_BYTES):
                self.http.receive_data(data)
        except OSError:
            return

    async def _read_request(self) -> http.HttpRequest | None:
        head = await self._read_head()
        if head is None:
            return None
        target = head.target.decode("latin-1")
        path, _, query = target.partition("?")
        headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        }
        method = head.method.decode("ascii")
        if self._may_exceed_buffer(headers) and self.server.may_stream(path):
            stream = self._stream_body(path, headers)
            return http.HttpRequest(method, path, query, headers, b"", stream)
        body = await self._read_body(path, headers)
        return http.HttpRequest(method, path, query, headers, body)

    def _may_exceed_buffer(self, headers: dict[str, str]) -> bool:
        """Return whether a body is, or may become, too large to buffer."""
        if "transfer-encoding" in headers:
            return True
        return (
            int(headers.get("content-length", "0")) > MAX_BUFFERED_BODY_BYTES
        )

    def _stream_body(
        self, path: str, headers: dict[str, str]
    ) -> http.BodyStream:
        limit = self.server.body_limit(path)
        length = headers.get("content-length")
        if int(length or 0) > limit:
            raise server_limits.too_large(limit)
        chunks = self._body_chunks(limit)
        return http.BodyStream(chunks, None if length is None else int(length))

    async def _body_chunks(self, limit: int) -> abc.AsyncIterator[bytes]:
        """Yield the request body as it arrives; raises `ProtocolError`."""
        if self.http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self.writer.write(self.http.send(proceed) or b"")
        size = 0
        try:
            while True:
                async with asyncio.timeout(
                    self.limits.body_timeout_ms / MS_PER_S
                ):
                    event = await self._next_event()
                if not isinstance(event, h11.Data):
                    return
                size += len(event.data)
                if size > limit:
                    raise server_limits.too_large(limit)
                yield bytes(event.data)
        except server_limits.RequestRefusedError as refused:
            raise errors.ProtocolError(refused.refusal.detail) from refused
        except (OSError, TimeoutError) as error:
            raise errors.ProtocolError("request body is incomplete") from error

    async def _read_head(self) -> h11.Request | None:
        """Return the next request head.

        Returns None if the connection ended or stayed idle.
        """
        pipelined = self.http.trailing_data[0]
        if not pipelined and not await self._wait_for_request():
            return None
        try:
            async with asyncio.timeout(self.limits.head_timeout_ms / MS_PER_S):
                event = await self._next_event()
        except TimeoutError:
            raise server_limits.too_slow(
                "head", self.limits.head_timeout_ms
            ) from None
        if isinstance(event, h11.Request):
            return event
        return None

    async def _wait_for_request(self) -> bool:
        """Wait for a request to begin; return whether one did."""
        data = await self._read_with_timeout(self._idle_ms())
        if data is None:
            # Data may have arrived at the moment when the wait timed out.
            data = await self._read_with_timeout(FINAL_READ_TIMEOUT_MS)
        if not data:
            return False
        self.http.receive_data(data)
        return True

    def _idle_ms(self) -> int:
        if self.server.draining:
            return FIRST_REQUEST_GRACE_MS
        return self.limits.idle_timeout_ms

    async def _read_with_timeout(self, timeout_ms: int) -> bytes | None:
        """Return received data, empty at the end, or None after a timeout."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S) as timeout:
                self.idle_timeout = timeout
                return await self.reader.read(READ_BYTES)
        except TimeoutError:
            return None
        finally:
            self.idle_timeout = None

    async def _read_body(self, path: str, headers: dict[str, str]) -> bytes:
        limit = self.server.body_limit(path)
        if int(headers.get("content-length", "0")) > limit:
            raise server_limits.too_large(limit)
        if self.http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self.writer.write(self.http.send(proceed) or b"")
        try:
            async with asyncio.timeout(self.limits.body_timeout_ms / MS_PER_S):
                return await self._collect_body(limit)
        except TimeoutError:
            raise server_limits.too_slow(
                "body", self.limits.body_timeout_ms
            ) from None

    async def _collect_body(self, limit: int) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if not isinstance(event, h11.Data):
                return b"".join(chunks)
            size += len(event.data)
            if size > limit:
                raise server_limits.too_large(limit)
            chunks.append(bytes(event.data))

    async def _next_event(self) -> Event:
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise server_limits.malformed(error) from error
            if event is not h11.NEED_DATA:
                return event
            data = await self.reader.read(READ_BYTES)
            self.http.receive_data(data)

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
        self.writer.write(b"".join(p for p in parts if p))
        await self.writer.drain()

    async def _send_streamed(
        self,
        request: http.HttpRequest,
        response: http.HttpResponse,
        body: abc.AsyncIterator[bytes],
    ) -> None:
        head = self._head(response.status, list(response.headers))
        self.writer.write(self.http.send(head) or b"")
        async for chunk in body:
            if request.method != "HEAD":
                self.writer.write(self.http.send(h11.Data(data=chunk)) or b"")
            await self.writer.drain()
        self.writer.write(self.http.send(h11.EndOfMessage()) or b"")
        await self.writer.drain()

    def _head(
        self, status: int, headers: list[tuple[str, str]]
    ) -> h11.Response:
        if self.server.draining:
            headers.append(("connection", "close"))
        return h11.Response(status_code=status, headers=headers)

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
        self.writer.write(b"".join(p for p in parts if p))
        await self.writer.drain()
