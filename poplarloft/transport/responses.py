"""A response of an upstream, whose body is read as a stream."""

import asyncio
from collections import abc
import typing

import h11

from poplarloft import state
from poplarloft.transport import connections

__all__ = [
    "Pool",
    "ResponseTooLargeError",
    "TruncatedResponseError",
    "UpstreamResponse",
]

MS_PER_S = 1_000


class Pool(typing.Protocol):
    """Takes back the connections of responses that have been read."""

    def release(
        self, address: state.Address, connection: connections.Connection
    ) -> None:
        """Take a connection whose response has been read to its end."""


class TruncatedResponseError(ConnectionError):
    """The body of a response stopped before its end.

    Raised when the connection is lost, when no data arrives within the
    idle timeout, and when the deadline of the response passes.
    """


class ResponseTooLargeError(TruncatedResponseError):
    """A body is larger than the caller allows; the rest was not read."""


class UpstreamResponse:
    """The head of a response, and its body as a stream.

    A response that is not read to its end must be closed; its connection is
    not reused. Reading fails if no data arrives for `idle_timeout_ms`, or,
    if there is a deadline, once that has passed. A body that is read as a
    whole must arrive within the timeout of the request.

    Attributes
    ----------
    expires_s : float
        Time on the event loop's clock at which the timeout of the request
        ends.
    deadline_s : float or None
        Time on the event loop's clock at which reading fails even if data
        keeps arriving; None for a timeout between two chunks only.
    ended : bool
        Whether the whole body has been read.
    is_closed : bool
        Whether the connection was released or closed.
    """

    def __init__(
        self,
        pool: Pool,
        address: state.Address,
        connection: connections.Connection,
        head: h11.Response,
        idle_timeout_ms: int,
        expires_s: float,
    ) -> None:
        self.pool = pool
        self.address = address
        self.connection = connection
        self.idle_timeout_ms = idle_timeout_ms
        self.expires_s = expires_s
        self.deadline_s: float | None = None
        self.status = int(head.status_code)
        self.headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        }
        self.all_headers = head.headers
        self.ended = False
        self.is_closed = False
        connection.apply_keep_alive(self.headers.get("keep-alive", ""))

    def header_values(self, name: str) -> list[str]:
        """Return all values of a header, which `headers` has the last of.

        Parameters
        ----------
        name : str
            Name in lower case.
        """
        wanted = name.encode("ascii")
        return [
            value.decode("latin-1")
            for found, value in self.all_headers
            if found == wanted
        ]

    def limit_to_timeout(self) -> None:
        """Let reading fail once the timeout of the request has ended."""
        self.deadline_s = self.expires_s

    async def chunks(self) -> abc.AsyncIterator[bytes]:
        """Yield the body, one chunk per read of the socket.

        Raises
        ------
        TruncatedResponseError
            If the upstream ends the connection before the body's end, or
            does not send it in time.
        """
        try:
            while not self.ended:
                chunk = await self._read_chunk(self.deadline_s)
                if chunk:
                    yield chunk
        finally:
            self.close()

    async def chunks_after(self, start: bytes) -> abc.AsyncIterator[bytes]:
        """Yield the start of the body, which was read, and then its rest."""
        yield start
        async for chunk in self.chunks():
            yield chunk

    async def read(self, max_bytes: int) -> bytes:
        """Return the complete body.

        Raises
        ------
        ResponseTooLargeError
            If the body is larger than `max_bytes`.
        TruncatedResponseError
            If the body does not arrive completely before the timeout of
            the request.
        """
        body = await self.read_up_to(max_bytes + 1)
        if len(body) > max_bytes:
            self.close()
            raise ResponseTooLargeError(f"body is over {max_bytes} bytes")
        return body

    async def read_up_to(self, size: int) -> bytes:
        """Return the first bytes of the body, up to about `size`.

        `ended` is set if that was the whole body; otherwise `chunks` yields
        the rest.

        Raises
        ------
        TruncatedResponseError
            If the upstream ends the connection before the body's end, or
            does not send it before the timeout of the request.
        """
        chunks: list[bytes] = []
        size_read = 0
        try:
            while not self.ended and size_read < size:
                chunk = await self._read_chunk(self.expires_s)
                size_read += len(chunk)
                chunks.append(chunk)
        except BaseException:
            self.close()
            raise
        if self.ended:
            self.close()
        return b"".join(chunks)

    def close(self) -> None:
        """Release the connection to the pool if the body has ended.

        Otherwise the connection is closed. Further calls do nothing, as the
        connection may be in use by another request by then.
        """
        if self.is_closed:
            return
        self.is_closed = True
        if self.ended:
            self.pool.release(self.address, self.connection)
        else:
            self.connection.close()

    async def _read_chunk(self, deadline_s: float | None) -> bytes:
        """Return the data of one read of the socket, which may be empty."""
        limit_s = deadline_s
        if limit_s is None:
            now_s = asyncio.get_running_loop().time()
            limit_s = now_s + self.idle_timeout_ms / MS_PER_S
        try:
            async with asyncio.timeout_at(limit_s):
                event = await self.connection.next_event()
            chunks = []
            while isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                event = self.connection.buffered_event()
        except TimeoutError as error:
            detail = f"no data arrived in {self.idle_timeout_ms} ms"
            if deadline_s is not None:
                detail = "the body did not arrive in time"
            raise TruncatedResponseError(detail) from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise TruncatedResponseError(
                str(error) or "connection lost"
            ) from error
        if isinstance(event, h11.EndOfMessage):
            self.ended = True
        return b"".join(chunks)
