"""HTTP/1.1 client on h11 and asyncio, with a connection pool."""

import asyncio
from collections import abc
import errno
import ssl

import h11
from returns import result

from poplarloft.coordination import retries
from poplarloft.protocol import errors as protocol_errors
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import channel_notes
from poplarloft.transport import connection_slots
from poplarloft.transport import connections
from poplarloft.transport import errors
from poplarloft.transport import responses

__all__ = [
    "HttpClient",
    "ResponseTooLargeError",
    "TruncatedResponseError",
    "UpstreamResponse",
]

ROOM_INTERVAL_S = 0.05  # between two requests for room by one that waits
MS_PER_S = 1_000
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)
FailureKind = retries.FailureKind
ResponseTooLargeError = responses.ResponseTooLargeError
TruncatedResponseError = responses.TruncatedResponseError
UpstreamResponse = responses.UpstreamResponse


class HttpClient:
    """HTTP client that keeps idle connections for later requests.

    Parameters
    ----------
    connect_timeout_ms : int
        Maximum time to establish a connection.
    max_idle : int
        Maximum number of idle connections per address.
    tls : ssl.SSLContext or None
        TLS context; None for unencrypted connections.
    max_connections : int or None
        Maximum number of connections to all addresses. Beyond it, the one
        that has been idle longest is closed, or else a request waits.
    notes_channels : bool
        Whether the session whose request is sent is told of it.

    Attributes
    ----------
    on_exhausted : callable
        Called when a request has to wait for a connection.
    """

    def __init__(
        self,
        connect_timeout_ms: int = 1_000,
        max_idle: int = 64,
        tls: ssl.SSLContext | None = None,
        max_connections: int | None = None,
        notes_channels: bool = False,
    ) -> None:
        self.notes_channels = notes_channels
        self.slots = connection_slots.ConnectionSlots(max_connections)
        self.on_exhausted: abc.Callable[[], object] = lambda: None
        # Those idle longest come first.
        self.idle_addresses: dict[connections.Connection, state.Address] = {}
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
        is_essential: bool = False,
    ) -> result.Result[UpstreamResponse, errors.TransportFailure]:
        """Send a request and return the response once its head has arrived.

        Parameters
        ----------
        address : state.Address
            Address to send to.
        method, target, headers, body
            The request. A length or transfer encoding is added, and a host
            unless given.
        timeout_ms : int
            Maximum time until the head of the response has arrived, and
            between two chunks of its body. Also the maximum time for a
            body that is read as a whole.
        new_connection : bool
            Whether to open a new connection. The upstream may have closed
            an idle one, and a client cannot tell that from a failure after
            the request was run, which rules out a retry of requests that
            must not run twice.
        is_essential : bool
            Whether to open a connection beyond the bound if none is free.

        Returns
        -------
        Result
            The response, or why there is none.
        """
        opened = await self._open(address, new_connection, is_essential)
        match opened:
            case result.Success(connection):
                holder = channel_notes.holder.get()
                if self.notes_channels and holder is not None:
                    holder.on_channel(address)
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
        """Add a connection to the pool, or close it if it is not reusable.

        It is also closed if the pool has `max_idle` connections.
        """
        idle = self.idle.setdefault(address, [])
        if (
            not connection.is_reusable()
            or len(idle) >= self.max_idle
            or self.slots.is_awaited
        ):
            connection.close()
            return
        connection.http.start_next_cycle()
        connection.set_idle(True)
        idle.append(connection)
        self.idle_addresses[connection] = address

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            self.close_idle(address)

    def close_idle(self, address: state.Address) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle.pop(address, []):
            del self.idle_addresses[connection]
            connection.close()

    def _take_idle(
        self, address: state.Address
    ) -> connections.Connection | None:
        """Return an idle connection that can take a request, if any."""
        idle = self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            del self.idle_addresses[connection]
            if connection.is_open():
                connection.set_idle(False)
                return connection
            connection.close()
        return None

    async def _take_slot(self, is_essential: bool) -> connection_slots.Slot:
        """Take the slot of a new connection, which may have to wait.

        Each request that waits asks for room again and again, so that as
        many connections end as are needed.
        """
        if is_essential:
            return self.slots.take_extra()
        if self.slots.is_free:
            return await self.slots.take()
        holder = channel_notes.holder.get()
        is_first = holder is None or holder.is_ordinary
        loop = asyncio.get_running_loop()
        taking = loop.create_task(self.slots.take(is_first))
        try:
            while not taking.done():
                self._make_room()
                await asyncio.wait({taking}, timeout=ROOM_INTERVAL_S)
            return taking.result()
        except asyncio.CancelledError:
            taking.add_done_callback(_give_back)
            taking.cancel()
            raise

    def _make_room(self) -> None:
        """Close the connection that is idle longest, or ask for room."""
        longest_idle = next(iter(self.idle_addresses), None)
        if longest_idle is None:
            self.on_exhausted()
            return
        address = self.idle_addresses.pop(longest_idle)
        self.idle[address].remove(longest_idle)
        longest_idle.close()

    async def _open(
        self,
        address: state.Address,
        new_connection: bool,
        is_essential: bool,
    ) -> result.Result[connections.Connection, errors.TransportFailure]:
        if not new_connection:
            connection = self._take_idle(address)
            if connection is not None:
                return result.Success(connection)
        timeout_s = self.connect_timeout_ms / MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                slot = await self._take_slot(is_essential)
        except TimeoutError:
            return result.Failure(
                errors.TransportFailure(
                    FailureKind.NO_CONNECTION_FREE,
                    f"no connection was free in {self.connect_timeout_ms} ms",
                )
            )
        opened = None
        try:
            async with asyncio.timeout(timeout_s):
                opened = await self._connect(address, slot)
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
        finally:
            if opened is None:
                slot.release()
        return result.Success(opened)

    async def _connect(
        self, address: state.Address, slot: connection_slots.Slot
    ) -> connections.Connection:
        """Open a connection, once the process may open a descriptor."""
        while True:
            try:
                return await connections.open_connection(
                    address, self.tls, slot.release
                )
            except OSError as error:
                if error.errno not in NO_DESCRIPTOR:
                    raise
            self._make_room()
            await asyncio.sleep(ROOM_INTERVAL_S)

    async def _exchange(
        self,
        address: state.Address,
        connection: connections.Connection,
        request: h11.Request,
        body: bytes | http.BodyStream,
        timeout_ms: int,
    ) -> result.Result[UpstreamResponse, errors.TransportFailure]:
        kind = FailureKind.RESET_AFTER_SEND
        now_s = asyncio.get_running_loop().time()
        expires_s = now_s + timeout_ms / MS_PER_S
        try:
            async with asyncio.timeout_at(expires_s):
                if isinstance(body, bytes):
                    await self._write(connection, request, body)
                    head = await connections.read_head(connection)
                else:
                    head = await connections.write_and_read(
                        connection, request, body
                    )
            return result.Success(
                UpstreamResponse(
                    self, address, connection, head, timeout_ms, expires_s
                )
            )
        except TimeoutError:
            kind = FailureKind.TIMEOUT
            detail = f"no response in {timeout_ms} ms"
        except connections.MalformedHeadError as error:
            kind = FailureKind.MALFORMED_RESPONSE
            detail = str(error)
        except OSError as error:
            detail = str(error) or "connection lost"
        except h11.RemoteProtocolError as error:
            detail = str(error)
            if connection.http.their_state is not h11.ERROR or (
                connection.reader.at_eof()
            ):
                detail = "connection closed before a response"
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


def _give_back(taking: "asyncio.Task[connection_slots.Slot]") -> None:
    """Release a slot that nobody waits for any more."""
    if not taking.cancelled():
        taking.result().release()


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
    return h11.Request(
        method=method,
        target=target,
        headers=http.encode_headers(all_headers),
    )
