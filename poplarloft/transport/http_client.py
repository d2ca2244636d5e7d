"""HTTP/1.1 client with pooled connections, on h11 and asyncio."""

import asyncio
from collections import abc
import ssl

import h11
from returns import result

from poplarloft.coordination import retries
from poplarloft.protocol import errors as protocol_errors
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import connections
from poplarloft.transport import errors

__all__ = ["HttpClient", "TruncatedResponseError", "UpstreamResponse"]

MS_PER_S = 1_000
FailureKind = retries.FailureKind


class TruncatedResponseError(ConnectionError):
    """An answer's body ended before its end mark."""


class UpstreamResponse:
    """The head of an answer, and its body as it arrives.

    An answer that isn't read to its end must be closed; its connection
    is not used again. A body that stands still for `idle_timeout_ms` is
    cut.
    """

    def __init__(
        self,
        pool: "HttpClient",
        address: state.Address,
        connection: connections.Connection,
        head: h11.Response,
        idle_timeout_ms: int,
    ) -> None:
        self.pool = pool
        self.address = address
        self.connection = connection
        self.idle_timeout_ms = idle_timeout_ms
        self.status = int(head.status_code)
        self.headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        }
        self.ended = False
        self.is_closed = False
        connection.heed_keep_alive(self.headers.get("keep-alive", ""))

    async def chunks(self) -> abc.AsyncIterator[bytes]:
        """Yield the body in pieces as large as each read gave.

        Raises
        ------
        TruncatedResponseError
            If the upstream ends the connection before the body's end.
        """
        try:
            while not self.ended:
                piece = await self._read_piece()
                if piece:
                    yield piece
        finally:
            self.close()

    async def read(self) -> bytes:
        """Return the whole body; raises `TruncatedResponseError`."""
        return b"".join([piece async for piece in self.chunks()])

    async def read_up_to(self, size: int) -> bytes:
        """Return the first bytes of the body, up to about `size`.

        `ended` is set if that was the whole body; otherwise `chunks` yields
        the rest.

        Raises
        ------
        TruncatedResponseError
            If the upstream ends the connection before the body's end.
        """
        pieces: list[bytes] = []
        held = 0
        try:
            while not self.ended and held < size:
                piece = await self._read_piece()
                held += len(piece)
                pieces.append(piece)
        except BaseException:
            self.close()
            raise
        if self.ended:
            self.close()
        return b"".join(pieces)

    def close(self) -> None:
        """Return the connection if the body has ended, else close it.

        Further calls do nothing: the connection may serve others then.
        """
        if self.is_closed:
            return
        self.is_closed = True
        if self.ended:
            self.pool.release(self.address, self.connection)
        else:
            self.connection.close()

    async def _read_piece(self) -> bytes:
        """Return what one read of the socket brought."""
        try:
            async with asyncio.timeout(self.idle_timeout_ms / MS_PER_S):
                event = await self.connection.next_event()
            pieces = []
            while isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                event = self.connection.buffered_event()
        except TimeoutError as error:
            raise TruncatedResponseError(
                f"nothing arrived in {self.idle_timeout_ms} ms"
            ) from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise TruncatedResponseError(
                str(error) or "connection lost"
            ) from error
        if isinstance(event, h11.EndOfMessage):
            self.ended = True
        return b"".join(pieces)


class HttpClient:
    """Sends requests to addresses; keeps idle connections.

    Parameters
    ----------
    connect_timeout_ms : int
        Longest time to connect.
    max_idle : int
        Idle connections kept per address.
    tls : ssl.SSLContext or None
        Set for TLS.
    """

    def __init__(
        self,
        connect_timeout_ms: int = 1_000,
        max_idle: int = 64,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.connect_timeout_ms = connect_timeout_ms
        self.max_idle = max_idle
        self.tls = tls
        self.idle: dict[state.Address, list[connections.Connection]] = {}

    async def send(
        self,
        address: state.Address,
        method: str,
        target: str,
        headers: abc.Iterable[tuple[str, str]] = (),
        body: bytes | http.BodyStream = b"",
        timeout_ms: int = 30_000,
        new_connection: bool = False,
    ) -> result.Result[UpstreamResponse, errors.TransportFailure]:
        """Send a request and return the answer once its head is there.

        Parameters
        ----------
        address : state.Address
            Where to.
        method, target, headers, body
            The request; the length is added, and the host unless given.
        timeout_ms : int
            Longest time until the answer's head, and between two pieces
            of its body.
        new_connection : bool
            Whether to use a new connection: an idle one may have been
            closed by the upstream, which a request that must not run
            twice could not tell from a failure.

        Returns
        -------
        Result
            The answer, or the kind of failure.
        """
        opened = await self._open(address, new_connection)
        match opened:
            case result.Success(connection):
                return await self._exchange(
                    address,
                    connection,
                    _request(address, method, target, headers, body),
                    body,
                    timeout_ms,
                )
            case result.Failure(failure):
                return result.Failure(failure)
        raise AssertionError(opened)

    def release(
        self, address: state.Address, connection: connections.Connection
    ) -> None:
        """Keep a connection for later, if it can be used again."""
        idle = self.idle.setdefault(address, [])
        if not connection.is_reusable() or len(idle) >= self.max_idle:
            connection.close()
            return
        connection.http.start_next_cycle()
        idle.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            self.close_idle(address)

    def close_idle(self, address: state.Address) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle.pop(address, []):
            connection.close()

    async def _open(
        self, address: state.Address, new_connection: bool
    ) -> result.Result[connections.Connection, errors.TransportFailure]:
        idle = self.idle.get(address, [])
        while idle and not new_connection:
            connection = idle.pop()
            if connection.is_open():
                return result.Success(connection)
            connection.close()
        try:
            async with asyncio.timeout(self.connect_timeout_ms / MS_PER_S):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port, ssl=self.tls
                )
        except TimeoutError:
            return result.Failure(
                errors.TransportFailure(
                    FailureKind.CONNECT_TIMEOUT,
                    f"no connection in {self.connect_timeout_ms} ms",
                )
            )
        except OSError as error:
            return result.Failure(
                errors.TransportFailure(
                    FailureKind.CONNECT_REFUSED, str(error)
                )
            )
        return result.Success(connections.Connection(reader, writer))

    async def _exchange(
        self,
        address: state.Address,
        connection: connections.Connection,
        request: h11.Request,
        body: bytes | http.BodyStream,
        timeout_ms: int,
    ) -> result.Result[UpstreamResponse, errors.TransportFailure]:
        kind = FailureKind.RESET_AFTER_SEND
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                if isinstance(body, bytes):
                    await self._write(connection, request, body)
                    head = await connections.read_head(connection)
                else:
                    head = await connections.write_and_read(
                        connection, request, body
                    )
            return result.Success(
                UpstreamResponse(self, address, connection, head, timeout_ms)
            )
        except TimeoutError:
            kind = FailureKind.TIMEOUT
            detail = f"no answer in {timeout_ms} ms"
        except OSError as error:
            detail = str(error) or "connection lost"
        except h11.RemoteProtocolError as error:
            detail = str(error)
            if connection.http.their_state is not h11.ERROR or (
                connection.reader.at_eof()
            ):
                detail = "connection closed before an answer"
            else:
                kind = FailureKind.MALFORMED_RESPONSE
        except (asyncio.CancelledError, protocol_errors.ProtocolError):
            connection.close()
            raise
        connection.close()
        return result.Failure(errors.TransportFailure(kind, detail))

    async def _write(
        self,
        connection: connections.Connection,
        request: h11.Request,
        body: bytes,
    ) -> None:
        parts = [connection.http.send(request)]
        if body:
            parts.append(connection.http.send(h11.Data(data=body)))
        parts.append(connection.http.send(h11.EndOfMessage()))
        connection.writer.write(b"".join(p for p in parts if p))
        await connection.writer.drain()


def _request(
    address: state.Address,
    method: str,
    target: str,
    headers: abc.Iterable[tuple[str, str]],
    body: bytes | http.BodyStream,
) -> h11.Request:
    all_headers = list(headers)
    if not any(name.lower() == "host" for name, _ in all_headers):
        all_headers.insert(0, ("host", str(address)))
    length = len(body) if isinstance(body, bytes) else body.length
    if length is None:
        all_headers.append(("transfer-encoding", "chunked"))
    else:
        all_headers.append(("content-length", str(length)))
    return h11.Request(method=method, target=target, headers=all_headers)
