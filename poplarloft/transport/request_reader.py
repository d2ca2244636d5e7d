"""Reading of requests from one HTTP/1.1 connection."""

import asyncio
from collections import abc
import typing

import h11

from poplarloft.coordination import clients
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.transport import client_stream
from poplarloft.transport import server_limits

__all__ = [
    "BodyLimit",
    "ClientBuffer",
    "PathPredicate",
    "RequestPolicy",
    "RequestReader",
]

READ_BYTES = client_stream.READ_BYTES
EVENTS_PER_TURN = 32  # then other connections are served
HEADER_BYTES = 400  # memory of a header, beside its text
BODY_COPIES = 2  # of a body, one of them on its way to an upstream
BODY_STEP_BYTES = 16_384  # in which memory for a body is taken
MS_PER_S = 1_000
BodyLimit = abc.Callable[[str], int]
PathPredicate = abc.Callable[[str], bool]
Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
MAX_BUFFERED_BODY_BYTES = 262_144  # larger bodies may be streamed
DISCARD_TIMEOUT_MS = 3_000
FIRST_REQUEST_GRACE_MS = 1_000
FINAL_READ_TIMEOUT_MS = 20


class ClientBuffer(typing.Protocol):
    """Accounts for what one connection makes the server hold."""

    def enter(self, phase: clients.Phase) -> None:
        """Set what the connection waits for."""

    def set_arrived(self, ahead_bytes: int, kernel_bytes: int) -> None:
        """Set what has arrived and is not yet part of a request."""

    def take_body(self, size: int) -> bool:
        """Set the memory for the request; return whether it may be used."""


class RequestPolicy(typing.Protocol):
    """What a server allows in requests.

    Attributes
    ----------
    body_limit : callable
        Returns the maximum size in bytes of a request body for a path.
    may_stream : callable
        Returns whether request bodies for a path that are large, or of
        unknown size, are passed to the handler as a stream instead of being
        buffered.
    """

    limits: server_limits.ServerLimits
    body_limit: BodyLimit
    may_stream: PathPredicate
    draining: bool


class RequestReader:
    """Reads the requests of one client within the server's limits.

    Attributes
    ----------
    http : h11.Connection
        State of the connection, shared with the sender of responses.
    idle_timeout : asyncio.Timeout or None
        Timeout of the wait for a request; None outside of that wait.
    body : bytearray
        What has arrived of a body that is not complete.
    parsed_ahead : int
        Bytes that were taken from the stream and follow the request.
    """

    def __init__(
        self,
        policy: RequestPolicy,
        stream: client_stream.ClientStream,
        buffer: ClientBuffer,
    ) -> None:
        self.policy = policy
        self.buffer = buffer
        self.stream = stream
        self.body = bytearray()
        self.head_bytes = 0
        self.parsed_ahead = 0
        self.events_in_turn = 0
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=policy.limits.max_head_bytes
        )
        self.idle_timeout: asyncio.Timeout | None = None

    @property
    def limits(self) -> server_limits.ServerLimits:
        """The limits of the server."""
        return self.policy.limits

    def drop_body(self) -> None:
        """Drop what has arrived of a body that will not be complete."""
        self.body.clear()

    def end_wait(self, grace_ms: int) -> None:
        """End a wait for a request after `grace_ms`."""
        if self.idle_timeout is None:
            return
        now_s = asyncio.get_running_loop().time()
        self.idle_timeout.reschedule(now_s + grace_ms / MS_PER_S)

    async def read(self) -> http.HttpRequest | None:
        """Return the next request, None if the connection ended or idled.

        Raises
        ------
        RequestRefusedError
            If the request is malformed or exceeds a limit.
        """
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
        self.head_bytes = HEADER_BYTES * len(headers)
        if not self.buffer.take_body(self.head_bytes):
            raise server_limits.no_memory(self.head_bytes)
        if self._may_exceed_buffer(headers) and self.policy.may_stream(path):
            stream = self._stream_body(path, headers)
            return http.HttpRequest(method, path, query, headers, b"", stream)
        body = await self._read_body(path, headers)
        self.note_complete()
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
        limit = self.policy.body_limit(path)
        length = headers.get("content-length")
        if int(length or 0) > limit:
            raise server_limits.too_large(limit)
        chunks = self._body_chunks(limit)
        return http.BodyStream(chunks, None if length is None else int(length))

    async def _body_chunks(self, limit: int) -> abc.AsyncIterator[bytes]:
        """Yield the request body as it arrives; raises `ProtocolError`."""
        if self.http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self.stream.write(self.http.send(proceed) or b"")
        size = 0
        try:
            while True:
                async with asyncio.timeout(
                    self.limits.body_timeout_ms / MS_PER_S
                ):
                    event = await self._next_event()
                if not isinstance(event, h11.Data):
                    self.note_complete()
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
        if not self.is_ahead and not await self._wait_for_request():
            return None
        self.buffer.enter(clients.Phase.RECEIVING)
        try:
            async with asyncio.timeout(self.limits.head_timeout_ms / MS_PER_S):
                event = await self._next_event()
        except TimeoutError:
            raise server_limits.too_slow(
                "head", self.limits.head_timeout_ms
            ) from None
        if not isinstance(event, h11.Request):
            return None
        _check_head(event)
        return event

    async def _wait_for_request(self) -> bool:
        """Wait for a request to begin; return whether one did."""
        data = await self._read_with_timeout(self._idle_ms())
        if data is None:
            # Data may have arrived at the moment when the wait timed out.
            data = await self._read_with_timeout(FINAL_READ_TIMEOUT_MS)
        if not data:
            return False
        self._receive(data)
        return True

    @property
    def is_ahead(self) -> bool:
        """Whether more has arrived than the requests so far."""
        return bool(self.http.trailing_data[0] or self.stream.pending)

    def note_complete(self) -> None:
        """Note that the request has arrived completely."""
        self.parsed_ahead = len(self.http.trailing_data[0])
        self.note_arrival()
        self.buffer.enter(clients.Phase.SERVED)

    def note_arrival(self) -> None:
        """Account for what has arrived, also for what may have."""
        stream = self.stream
        may_have_more = stream.is_paused or stream.has_more
        self.buffer.set_arrived(
            self.parsed_ahead + len(stream.pending),
            self.limits.receive_buffer_bytes if may_have_more else 0,
        )

    def _receive(self, data: bytes) -> None:
        """Take data that was read from the connection."""
        self.http.receive_data(data)
        self.parsed_ahead = len(data)
        self.note_arrival()

    def _idle_ms(self) -> int:
        if self.policy.draining:
            return FIRST_REQUEST_GRACE_MS
        return self.limits.idle_timeout_ms

    async def _read_with_timeout(self, timeout_ms: int) -> bytes | None:
        """Return received data, empty at the end, or None after a timeout."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S) as timeout:
                self.idle_timeout = timeout
                return await self.stream.read(READ_BYTES)
        except TimeoutError:
            return None
        finally:
            self.idle_timeout = None

    async def _read_body(self, path: str, headers: dict[str, str]) -> bytes:
        limit = self.policy.body_limit(path)
        length = int(headers.get("content-length", "0"))
        if length > limit:
            raise server_limits.too_large(limit)
        self._take_body(length)
        if self.http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self.stream.write(self.http.send(proceed) or b"")
        try:
            async with asyncio.timeout(self.limits.body_timeout_ms / MS_PER_S):
                return await self._collect_body(limit, length)
        except TimeoutError:
            raise server_limits.too_slow(
                "body", self.limits.body_timeout_ms
            ) from None

    async def _collect_body(self, limit: int, taken: int) -> bytes:
        """Return the body, for whose first `taken` bytes there is memory."""
        while True:
            event = await self._next_event()
            if not isinstance(event, h11.Data):
                body, self.body = bytes(self.body), bytearray()
                return body
            self.body += event.data
            size = len(self.body)
            if size > limit:
                raise server_limits.too_large(limit)
            if size > taken:
                taken = size + BODY_STEP_BYTES
                self._take_body(taken)

    def _take_body(self, size: int) -> None:
        """Take memory for a body; raises `RequestRefusedError` if none."""
        if not self.buffer.take_body(self.head_bytes + BODY_COPIES * size):
            raise server_limits.no_memory(size)

    async def _next_event(self) -> Event:
        """Return the next event; let other connections have their turns."""
        self.events_in_turn += 1
        if self.events_in_turn > EVENTS_PER_TURN:
            self.events_in_turn = 0
            await asyncio.sleep(0)
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise server_limits.malformed(error) from error
            if event is not h11.NEED_DATA:
                return event
            data = await self.stream.read(READ_BYTES)
            self._receive(data)

    async def discard_body(self) -> None:
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


def _check_head(head: h11.Request) -> None:
    """Raise `RequestRefusedError` for a head that is valid but unsafe.

    A body that is given both a length and a transfer encoding could be
    delimited differently by another server, whose next request would then
    begin within it.
    """
    names = {name for name, _ in head.headers}
    if {b"content-length", b"transfer-encoding"} <= names:
        raise server_limits.bad_request(
            400, "both a content length and a transfer encoding"
        )
    if not head.http_version.startswith(b"1."):
        version = head.http_version.decode("ascii")
        raise server_limits.bad_request(
            505, f"HTTP version {version} is not supported"
        )
