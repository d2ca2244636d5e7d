"""Client of the platform's metadata store."""

import base64
from collections import abc
import typing
from urllib import parse

import msgspec
from returns import result

from poplarloft.coordination import retries
from poplarloft.platform import names
from poplarloft.protocol import errors as protocol_errors
from poplarloft import state
from poplarloft.transport import errors
from poplarloft.transport import http_client

__all__ = ["MAX_ANSWER_BYTES", "PlatformStore", "list_all"]

WATCH_MARGIN_MS = 1_000  # a response may be in flight when the wait ends
MAX_ANSWER_BYTES = 16_777_216  # a page or the events of a watch
OK = 200
NOT_FOUND = 404
GONE = 410
CONFLICT = 412
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504  # a peer that relayed the call got no response
JSON_HEADERS: tuple[tuple[str, str], ...] = (
    ("content-type", "application/json"),
)
FailureKind = state.StoreFailureKind
FAILURES = {
    TOO_MANY_REQUESTS: FailureKind.NOT_DONE,
    UNAVAILABLE: FailureKind.NOT_DONE,
    GATEWAY_TIMEOUT: FailureKind.NO_ANSWER,
}
T = typing.TypeVar("T")
Outcome = result.Result[T, state.StoreFailure]


class _Row(msgspec.Struct):
    """An entry of the store, or a change that wrote or removed a key."""

    key: str
    revision: int = 0
    value: str = ""  # Base64
    create_rev: int = 0  # revision of the change that created the key
    lease: int = 0
    removed: bool = False
    current_rev: int = 0  # latest revision of the entire store


class _Range(msgspec.Struct):
    items: list[_Row]
    has_more: bool
    current_rev: int


class _Events(msgspec.Struct):
    events: list[_Row]
    current_rev: int


class _Written(msgspec.Struct):
    revision: int


class _Conflict(msgspec.Struct):
    items: list[_Row] = []


class _Lease(msgspec.Struct):
    ttl_ms: int
    lease: int = 0


class _Reply(msgspec.Struct):
    status: int
    body: bytes


class PlatformStore:
    """Client of the store at one address; a `state.RevisionStore`.

    Parameters
    ----------
    client : http_client.HttpClient
        Client with a connection pool.
    address : state.Address
        Address of the store, or of a peer that relays calls to it.
    timeout_ms : int
        Timeout of each call; a watch adds its own wait.
    timeout_header : str
        Header that tells a relaying peer the timeout of the call; empty
        for none.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        address: state.Address,
        timeout_ms: int = 700,
        timeout_header: str = "",
    ) -> None:
        self.timeout_header = timeout_header
        self.client = client
        self.address = address
        self.timeout_ms = timeout_ms
        self.calls = 0

    async def get(self, key: str) -> Outcome[state.Entry | None]:
        """Return the entry of `key`, or None if there is none."""
        target = _target(names.STORE_KEY_PATH, key=key)
        reply = await self._call("GET", target, self.timeout_ms)
        if _status(reply) == NOT_FOUND:
            return result.Success(None)
        return _decode(reply, _Row).map(_entry)

    async def list_page(
        self, prefix: str, after_key: str = "", allow_stale: bool = False
    ) -> Outcome[state.Page]:
        """Return a page of the entries under `prefix`, after `after_key`.

        With `allow_stale`, the page may be some seconds old, which costs the
        store less.
        """
        query = {"prefix": prefix}
        if allow_stale:
            query["allow_stale"] = "1"
        if after_key:
            query["after"] = after_key
        target = _target(names.STORE_RANGE_PATH, **query)
        reply = await self._call("GET", target, self.timeout_ms)
        return _decode(reply, _Range).bind(
            lambda page: _page(page, prefix, after_key)
        )

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Outcome[state.Changes]:
        """Return the changes under `prefix` after `after_revision`.

        If there are none yet, the store waits up to `wait_ms` for the first.
        """
        target = _target(
            names.STORE_WATCH_PATH,
            prefix=prefix,
            after=str(after_revision),
            wait_ms=str(wait_ms),
        )
        reply = await self._call("GET", target, wait_ms + WATCH_MARGIN_MS)
        if _status(reply) == GONE:
            detail = f"history after revision {after_revision} is gone"
            return _failure(FailureKind.COMPACTED, detail)
        return _decode(reply, _Events).map(
            lambda found: state.Changes(
                tuple(_change(row) for row in found.events),
                found.current_rev,
            )
        )

    async def write(
        self,
        expected: abc.Sequence[state.Expectation],
        puts: abc.Sequence[state.Put],
        deletes: abc.Sequence[str] = (),
    ) -> state.WriteAnswer:
        """Apply all changes if all expectations hold, otherwise none."""
        body = {
            "expected": [
                {"key": row.key, "revision": row.revision} for row in expected
            ],
            "puts": [_put_row(put) for put in puts],
            "deletes": list(deletes),
        }
        reply = await self._call(
            "POST", names.STORE_WRITE_PATH, self.timeout_ms, body
        )
        match reply:
            case result.Success(response):
                return _write_answer(response)
            case result.Failure(failure):
                return _failed_write(failure)
        raise AssertionError(reply)

    async def grant_lease(self, ttl_ms: int) -> Outcome[int]:
        """Create a lease and return its identifier."""
        reply = await self._call(
            "POST", names.STORE_LEASE_PATH, self.timeout_ms, {"ttl_ms": ttl_ms}
        )
        return _decode(reply, _Lease).map(lambda granted: granted.lease)

    async def renew_lease(self, lease: int) -> Outcome[int]:
        """Renew a lease and return its duration in milliseconds."""
        target = f"{names.STORE_LEASE_RENEW_PATH}{lease}"
        reply = await self._call("POST", target, self.timeout_ms)
        if _status(reply) == NOT_FOUND:
            return _failure(FailureKind.LEASE_GONE, f"lease {lease} ended")
        return _decode(reply, _Lease).map(lambda renewed: renewed.ttl_ms)

    async def revoke_lease(self, lease: int) -> Outcome[int]:
        """Revoke a lease, which removes its keys; return the HTTP status."""
        target = f"{names.STORE_LEASE_END_PATH}{lease}"
        reply = await self._call("DELETE", target, self.timeout_ms)
        return reply.map(lambda response: response.status)

    async def _call(
        self,
        method: str,
        target: str,
        timeout_ms: int,
        body: dict[str, object] | None = None,
    ) -> Outcome[_Reply]:
        self.calls += 1
        encoded = b"" if body is None else msgspec.json.encode(body)
        headers = JSON_HEADERS
        if self.timeout_header:
            headers += ((self.timeout_header, str(timeout_ms)),)
        sent = await self.client.send(
            self.address, method, target, headers, encoded, timeout_ms
        )
        match sent:
            case result.Success(response):
                try:
                    content = await response.read(MAX_ANSWER_BYTES)
                    return result.Success(_Reply(response.status, content))
                except http_client.TruncatedResponseError as error:
                    self.client.close_idle(self.address)
                    return _failure(FailureKind.NO_ANSWER, str(error))
            case result.Failure(failure):
                self.client.close_idle(self.address)
                return _transport_failure(failure)
        raise AssertionError(sent)


def _target(path: str, **query: str) -> str:
    return f"{path}?{parse.urlencode(query)}"


def _status(reply: Outcome[_Reply]) -> int:
    match reply:
        case result.Success(response):
            return response.status
    return 0


def _failure(kind: FailureKind, detail: str) -> Outcome[typing.Any]:
    return result.Failure(state.StoreFailure(kind, detail))


def _transport_failure(failure: errors.TransportFailure) -> Outcome[_Reply]:
    not_run = retries.verdict_of(failure.kind) is state.Verdict.NOT_RUN
    kind = FailureKind.NOT_DONE if not_run else FailureKind.NO_ANSWER
    return _failure(kind, failure.detail)


def _decode(reply: Outcome[_Reply], shape: type[T]) -> Outcome[T]:
    match reply:
        case result.Success(response) if response.status == OK:
            try:
                return result.Success(_decode_json(response.body, shape))
            except protocol_errors.ProtocolError as error:
                return _failure(FailureKind.REJECTED, str(error))
        case result.Success(response):
            kind = FAILURES.get(response.status, FailureKind.REJECTED)
            return _failure(kind, f"the store answered {response.status}")
        case result.Failure(failure):
            return result.Failure(failure)
    raise AssertionError(reply)


def _page(page: _Range, prefix: str, after_key: str) -> Outcome[state.Page]:
    """Return a page, unless a listing could not go on from it."""
    if page.has_more and not page.items:
        return _failure(
            FailureKind.REJECTED,
            f"a page of {prefix!r} after {after_key!r} has no entries, but "
            "says that there are more",
        )
    if page.items and page.items[0].key <= after_key:
        return _failure(
            FailureKind.REJECTED,
            f"a page of {prefix!r} after {after_key!r} begins with "
            f"{page.items[0].key!r}",
        )
    entries = tuple(_entry(row) for row in page.items)
    return result.Success(state.Page(entries, page.has_more, page.current_rev))


def _entry(row: _Row) -> state.Entry:
    return state.Entry(
        row.key,
        _value(row.value),
        row.revision,
        row.create_rev,
        row.lease,
    )


def _value(text: str) -> bytes:
    """Return the value of an entry; an unreadable one is empty.

    Whoever decodes it refuses it, while the other entries hold.
    """
    try:
        return base64.b64decode(text)
    except ValueError:
        return b""


def _change(row: _Row) -> state.Change:
    entry = None if row.removed else _entry(row)
    return state.Change(row.key, row.revision, entry)


def _put_row(put: state.Put) -> dict[str, object]:
    row: dict[str, object] = {
        "key": put.key,
        "value": base64.b64encode(put.value).decode("ascii"),
    }
    if put.lease:
        row["lease"] = put.lease
    return row


def _write_answer(reply: _Reply) -> state.WriteAnswer:
    status = state.WriteStatus
    try:
        if reply.status == OK:
            written = _decode_json(reply.body, _Written)
            return state.WriteAnswer(status.APPLIED, written.revision)
        if reply.status == CONFLICT:
            conflict = _decode_json(reply.body, _Conflict)
            current = tuple(_entry(row) for row in conflict.items)
            return state.WriteAnswer(status.CONFLICT, current=current)
    except protocol_errors.ProtocolError as error:
        return state.WriteAnswer(status.UNKNOWN, detail=str(error))
    detail = f"the store answered {reply.status}"
    if reply.status < SERVER_ERROR or reply.status == UNAVAILABLE:
        return state.WriteAnswer(status.NOT_DONE, detail=detail)
    return state.WriteAnswer(status.UNKNOWN, detail=detail)


def _decode_json(body: bytes, shape: type[T]) -> T:
    """Return the content of an answer; raises `FieldError`."""
    return protocol_errors.decoded(
        "answer", lambda: msgspec.json.decode(body, type=shape)
    )


def _failed_write(failure: state.StoreFailure) -> state.WriteAnswer:
    status = state.WriteStatus.UNKNOWN
    if failure.kind is FailureKind.NOT_DONE:
        status = state.WriteStatus.NOT_DONE
    return state.WriteAnswer(status, detail=failure.detail)


class _PageReader(typing.Protocol):
    """A store, or a part of one, that lists its entries by page."""

    async def list_page(
        self, prefix: str, after_key: str = "", allow_stale: bool = False
    ) -> Outcome[state.Page]:
        """Return a page of entries under `prefix`, after `after_key`."""


async def list_all(
    store: _PageReader, prefix: str, allow_stale: bool = False
) -> Outcome[list[state.Entry]]:
    """Return all entries under a prefix; pages are not a snapshot.

    Parameters
    ----------
    allow_stale : bool
        Whether the entries may be seconds old, which costs less.
    """
    entries: list[state.Entry] = []
    has_more = True
    while has_more:
        after = entries[-1].key if entries else ""
        page = await store.list_page(prefix, after, allow_stale)
        match page:
            case result.Success(state.Page() as found):
                entries += found.entries
                has_more = found.has_more
            case result.Failure(failure):
                return result.Failure(failure)
    return result.Success(entries)
