"""One client connection of the HTTP/1.1 server."""

import asyncio
from collections import abc
import typing

import h11

from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.transport import server_limits

__all__ = ["BodyLimit", "Handler", "PathTest", "Session"]

READ_BYTES = 65_536
MS_PER_S = 1_000
Handler = abc.Callable[[http.HttpRequest], abc.Awaitable[http.HttpResponse]]
BodyLimit = abc.Callable[[str], int]
PathTest = abc.Callable[[str], bool]
Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
WHOLE_BODY_BYTES = 262_144  # larger bodies may be handed on in pieces
REST_TIMEOUT_MS = 3_000
FIRST_REQUEST_GRACE_MS = 1_000
LAST_LOOK_MS = 20


class _Server(typing.Protocol):
    """What a session needs of its server."""

    handler: Handler
    limits: server_limits.ServerLimits
    body_limit: BodyLimit
    may_stream: PathTest
    cancel_on_disconnect: bool
    draining: bool


class Session:
    """One client connection."""

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
        self.served = False
        self.whole = True

    @property
    def limits(self) -> server_limits.ServerLimits:
        """Return the limits in force."""
        return self.server.limits

    def _new_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_head_bytes
        )

    async def run(self) -> None:
        """Serve exchanges until either side ends the connection."""
        while await self._serve_one():
            self.http.start_next_cycle()
            if self.server.draining and not self.http.trailing_data[0]:
                return

    def end_if_idle(self) -> None:
        """Shorten the wait for a next request.

        A connection that has brought no request yet gets some time: its
        client may have opened it just before the listening ended.
        """
        if self.idle_timeout is None:
            return
        grace_ms = 0 if self.served else FIRST_REQUEST_GRACE_MS
        now_s = asyncio.get_running_loop().time()
        self.idle_timeout.reschedule(now_s + grace_ms / MS_PER_S)

    def close(self) -> None:
        """Close the connection; a cut response is reset, not ended."""
        if self.whole:
            self.writer.close()
        else:
            self.writer.transport.abort()

    async def _serve_one(self) -> bool:
        """Serve one exchange; tell whether another may follow."""
        try:
            request = await self._read_request()
        except server_limits.Refused as refused:
            await self._send_refusal(refused)
            return False
        if request is None:
            return False
        response = await self._handle(request)
        if response is None:
            return False
        await self._send(request, response)
        if request.stream is not None:
            await self._skip_rest()
        self.served = True
        return self.http.our_state is h11.DONE and (
            self.http.their_state is h11.DONE
        )

    async def _skip_rest(self) -> None:
        """Read what is left of a body that was answered early.

        Closing with unread bytes would reset the connection, and the
        client could lose the answer.
        """
        try:
            async with asyncio.timeout(REST_TIMEOUT_MS / MS_PER_S):
                while self.http.their_state is h11.SEND_BODY:
                    await self._next_event()
        except (OSError, TimeoutError, server_limits.Refused):
            return

    async def _handle(
        self, request: http.HttpRequest
    ) -> http.HttpResponse | None:
        """Return the handler's response, None if the client left."""
        if not self.server.cancel_on_disconnect or request.stream is not None:
            return await self.server.handler(request)
        loop = asyncio.get_running_loop()
        handling = loop.create_task(self._handler_call(request))
        leaving = loop.create_task(self._await_leaving())
        try:
            await asyncio.wait(
                {handling, leaving}, return_when=asyncio.FIRST_COMPLETED
            )
            if handling.done():
                return handling.result()
            return None
        finally:
            for task in (handling, leaving):
                task.cancel()
            await asyncio.gather(handling, leaving, return_exceptions=True)

    async def _handler_call(
        self, request: http.HttpRequest
    ) -> http.HttpResponse:
        return await self.server.handler(request)

    async def _await_leaving(self) -> None:
        """Return when the client closes; keep what it sends meanwhile."""
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
        if self._is_large(headers) and self.server.may_stream(path):
            stream = self._stream_body(path, headers)
            return http.HttpRequest(method, path, query, headers, b"", stream)
        body = await self._read_body(path, headers)
        return http.HttpRequest(method, path, query, headers, body)

    def _is_large(self, headers: dict[str, str]) -> bool:
        """Tell whether a body is, or may become, too large to hold."""
        if "transfer-encoding" in headers:
            return True
        return int(headers.get("content-length", "0")) > WHOLE_BODY_BYTES

    def _stream_body(
        self, path: str, headers: dict[str, str]
    ) -> http.BodyStream:
        limit = self.server.body_limit(path)
        length = headers.get("content-length")
        if int(length or 0) > limit:
            raise server_limits.too_large(limit)
        pieces = self._body_pieces(limit)
        return http.BodyStream(pieces, None if length is None else int(length))

    async def _body_pieces(self, limit: int) -> abc.AsyncIterator[bytes]:
        """Yield the body as it arrives; raises `ProtocolError`."""
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
        except server_limits.Refused as refused:
            raise errors.ProtocolError(refused.refusal.detail) from refused
        except (OSError, TimeoutError) as error:
            raise errors.ProtocolError("the body was broken off") from error

    async def _read_head(self) -> h11.Request | None:
        pipelined = self.http.trailing_data[0]
        if not pipelined and not await self._first_bytes():
            return None
        try:
            async with asyncio.timeout(self.limits.head_timeout_ms / MS_PER_S):
                event = await self._next_event()
        except TimeoutError:
            raise server_limits.slow(
                "head", self.limits.head_timeout_ms
            ) from None
        if isinstance(event, h11.Request):
            return event
        return None

    async def _first_bytes(self) -> bool:
        """Wait for a request to begin; tell whether one did."""
        data = await self._read_within(self._idle_ms())
        if data is None:
            # The wait may have been ended in the moment of an arrival.
            data = await self._read_within(LAST_LOOK_MS)
        if not data:
            return False
        self.http.receive_data(data)
        return True

    def _idle_ms(self) -> int:
        if self.server.draining:
            return FIRST_REQUEST_GRACE_MS
        return self.limits.idle_timeout_ms

    async def _read_within(self, timeout_ms: int) -> bytes | None:
        """Return what arrives, empty at the end, None after the time."""
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
            raise server_limits.slow(
                "body", self.limits.body_timeout_ms
            ) from None

    async def _collect_body(self, limit: int) -> bytes:
        pieces: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if not isinstance(event, h11.Data):
                return b"".join(pieces)
            size += len(event.data)
            if size > limit:
                raise server_limits.too_large(limit)
            pieces.append(bytes(event.data))

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
            await self._send_whole(request, response, body)
            return
        self.whole = False
        try:
            await self._send_streamed(request, response, body)
        finally:
            await body.aclose()  # type: ignore[attr-defined]
        self.whole = True

    async def _send_whole(
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
        async for piece in body:
            if request.method != "HEAD":
                self.writer.write(self.http.send(h11.Data(data=piece)) or b"")
            await self.writer.drain()
        self.writer.write(self.http.send(h11.EndOfMessage()) or b"")
        await self.writer.drain()

    def _head(
        self, status: int, headers: list[tuple[str, str]]
    ) -> h11.Response:
        if self.server.draining:
            headers.append(("connection", "close"))
        return h11.Response(status_code=status, headers=headers)

    async def _send_refusal(self, refused: server_limits.Refused) -> None:
        """Answer a request that could not be read, then end."""
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
