"""Client of the platform's metadata store."""

import base64
from collections import abc
import typing
from urllib import parse

import msgspec
from returns import result

from poplarloft.coordination import retries
from poplarloft.platform import names
from poplarloft import state
from poplarloft.transport import errors
from poplarloft.transport import http_client

__all__ = ["PlatformStore"]

WATCH_SLACK_MS = 1_000  # an answer may be on its way when the wait ends
OK = 200
NOT_FOUND = 404
GONE = 410
CONFLICT = 412
TOO_MANY = 429
UNAVAILABLE = 503
UNANSWERED = 504  # a peer that carried the call got no answer
JSON_HEADERS: tuple[tuple[str, str], ...] = (
    ("content-type", "application/json"),
)
FailureKind = state.StoreFailureKind
FAILURES = {
    TOO_MANY: FailureKind.NOT_DONE,
    UNAVAILABLE: FailureKind.NOT_DONE,
    UNANSWERED: FailureKind.NO_ANSWER,
}
T = typing.TypeVar("T")
Outcome = result.Result[T, state.StoreFailure]


class _Row(msgspec.Struct):
    """A key as the store shows it, written or removed."""

    key: str
    revision: int = 0
    value: str = ""
    create_rev: int = 0  # revision of the change that created the key
    lease: int = 0
    removed: bool = False
    current_rev: int = 0  # revision of the whole store


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
    """The store at one address, with the calls of `state.RevisionStore`.

    Parameters
    ----------
    client : http_client.HttpClient
        Kept connections.
    address : state.Address
        The store.
    timeout_ms : int
        Longest wait for an answer.
    timeout_header : str
        Header that tells a peer at that address how long is waited.
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
        """Return the entry of `key`, or None."""
        target = _target(names.STORE_KEY_PATH, key=key)
        reply = await self._call("GET", target, self.timeout_ms)
        if _status(reply) == NOT_FOUND:
            return result.Success(None)
        return _decode(reply, _Row).map(_entry)

    async def list_page(
        self, prefix: str, after_key: str = "", allow_stale: bool = False
    ) -> Outcome[state.Page]:
        """Return entries under `prefix`, those after `after_key`."""
        query = {"prefix": prefix}
        if allow_stale:
            query["allow_stale"] = "1"
        if after_key:
            query["after"] = after_key
        target = _target(names.STORE_RANGE_PATH, **query)
        reply = await self._call("GET", target, self.timeout_ms)
        return _decode(reply, _Range).map(
            lambda page: state.Page(
                tuple(_entry(row) for row in page.items),
                page.has_more,
                page.current_rev,
            )
        )

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Outcome[state.Changes]:
        """Return changes under `prefix`, waiting until there is one."""
        target = _target(
            names.STORE_WATCH_PATH,
            prefix=prefix,
            after=str(after_revision),
            wait_ms=str(wait_ms),
        )
        reply = await self._call("GET", target, wait_ms + WATCH_SLACK_MS)
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
        """Make all changes if all expectations hold, else none."""
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
            case result.Success(answer):
                return _write_answer(answer)
            case result.Failure(failure):
                return _failed_write(failure)
        raise AssertionError(reply)

    async def grant_lease(self, ttl_ms: int) -> Outcome[int]:
        """Return a new lease."""
        reply = await self._call(
            "POST", names.STORE_LEASE_PATH, self.timeout_ms, {"ttl_ms": ttl_ms}
        )
        return _decode(reply, _Lease).map(lambda granted: granted.lease)

    async def renew_lease(self, lease: int) -> Outcome[int]:
        """Renew a lease; return its duration in milliseconds."""
        target = f"{names.STORE_LEASE_RENEW_PATH}{lease}"
        reply = await self._call("POST", target, self.timeout_ms)
        if _status(reply) == NOT_FOUND:
            return _failure(FailureKind.LEASE_GONE, f"lease {lease} ended")
        return _decode(reply, _Lease).map(lambda kept: kept.ttl_ms)

    async def revoke_lease(self, lease: int) -> Outcome[int]:
        """End a lease and remove its keys."""
        target = f"{names.STORE_LEASE_END_PATH}{lease}"
        reply = await self._call("DELETE", target, self.timeout_ms)
        return reply.map(lambda answer: answer.status)

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
            case result.Success(answer):
                try:
                    return result.Success(
                        _Reply(answer.status, await answer.read())
                    )
                except http_client.TruncatedResponseError as error:
                    self.client.close_idle(self.address)
                    return _failure(FailureKind.NO_ANSWER, str(error))
            case result.Failure(failure):
                self.client.close_idle(self.address)
                return _unsent(failure)
        raise AssertionError(sent)


def _target(path: str, **query: str) -> str:
    return f"{path}?{parse.urlencode(query)}"


def _status(reply: Outcome[_Reply]) -> int:
    match reply:
        case result.Success(answer):
            return answer.status
    return 0


def _failure(kind: FailureKind, detail: str) -> Outcome[typing.Any]:
    return result.Failure(state.StoreFailure(kind, detail))


def _unsent(failure: errors.TransportFailure) -> Outcome[_Reply]:
    not_run = retries.verdict_of(failure.kind) is state.Verdict.NOT_RUN
    kind = FailureKind.NOT_DONE if not_run else FailureKind.NO_ANSWER
    return _failure(kind, failure.detail)


def _decode(reply: Outcome[_Reply], shape: type[T]) -> Outcome[T]:
    match reply:
        case result.Success(answer) if answer.status == OK:
            try:
                return result.Success(
                    msgspec.json.decode(answer.body, type=shape)
                )
            except msgspec.MsgspecError as error:
                return _failure(FailureKind.REJECTED, str(error))
        case result.Success(answer):
            kind = FAILURES.get(answer.status, FailureKind.REJECTED)
            return _failure(kind, f"the store answered {answer.status}")
        case result.Failure(failure):
            return result.Failure(failure)
    raise AssertionError(reply)


def _entry(row: _Row) -> state.Entry:
    return state.Entry(
        row.key,
        base64.b64decode(row.value),
        row.revision,
        row.create_rev,
        row.lease,
    )


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
            written = msgspec.json.decode(reply.body, type=_Written)
            return state.WriteAnswer(status.APPLIED, written.revision)
        if reply.status == CONFLICT:
            held = msgspec.json.decode(reply.body, type=_Conflict)
            current = tuple(_entry(row) for row in held.items)
            return state.WriteAnswer(status.CONFLICT, current=current)
    except msgspec.MsgspecError as error:
        return state.WriteAnswer(status.UNKNOWN, detail=str(error))
    detail = f"the store answered {reply.status}"
    if reply.status == UNANSWERED:
        return state.WriteAnswer(status.UNKNOWN, detail=detail)
    return state.WriteAnswer(status.NOT_DONE, detail=detail)


def _failed_write(failure: state.StoreFailure) -> state.WriteAnswer:
    status = state.WriteStatus.UNKNOWN
    if failure.kind is FailureKind.NOT_DONE:
        status = state.WriteStatus.NOT_DONE
    return state.WriteAnswer(status, detail=failure.detail)
