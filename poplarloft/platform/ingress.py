"""Requests of clients and trainers, and the responses to them."""

import dataclasses
import hashlib
from urllib import parse

import msgspec

from poplarloft.platform import lots
from poplarloft.platform import names
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.protocol import numbers
from poplarloft import state

__all__ = [
    "EndLot",
    "ForwardedCall",
    "ReadItem",
    "ReadLot",
    "forwarded_call",
    "is_readiness_probe",
    "key_digest",
    "parse_lot_call",
    "plain_response",
    "refusal_response",
    "request_host",
    "request_id",
    "results_response",
]

MS_PER_S = 1_000
DEFAULT_DEADLINE_MS = 30_000
STREAM_KEY_BYTES = 16
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
STATUS_OF_REASON = {
    state.Reason.BAD_REQUEST: 400,
    state.Reason.UNAUTHENTICATED: 401,
    state.Reason.UNKNOWN_ROUTE: 404,
    state.Reason.UNKNOWN_LOT: 404,
    state.Reason.BODY_TOO_LARGE: 413,
    state.Reason.UPSTREAM_FAILED: 502,
    state.Reason.DEADLINE: 504,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedCall:
    """A client's request that is forwarded to an upstream.

    `caller` is its sender, None if the configuration has no accounts.
    """

    id: str
    host: str
    method: str
    target: str
    headers: http.Headers
    body: bytes | http.BodyStream
    deadline_ms: int
    caller: state.Caller | None = None

    def hasher(self) -> http.RequestHasher:
        """Return a hasher of the request, without its body."""
        return http.RequestHasher(self._sender(), self.host + self.target)

    @property
    def account(self) -> str:
        """The client account that sends it, empty if there is none."""
        return "" if self.caller is None else self.caller.account

    @property
    def takes_up_stream(self) -> bool:
        """Whether the client has events of the stream already."""
        return self._header(names.LAST_EVENT_ID).strip() not in ("", "0")

    def stream_key(self) -> str:
        """Return the key of a stream that begins with this attempt."""
        return self._stream_key(self.id)

    def resumed_stream_key(self) -> str:
        """Return the key of the stream to take up, empty if not named."""
        first_id = self._header(names.RESUMES)
        return self._stream_key(first_id) if first_id else ""

    def _stream_key(self, first_id: str) -> str:
        """Return a key that other accounts and hosts do not share."""
        text = f"{self._sender()}\n{self.host}\n{first_id}"
        digest = hashlib.blake2b(text.encode(), digest_size=STREAM_KEY_BYTES)
        return digest.hexdigest()

    def _sender(self) -> str:
        """Return what all requests of the sender have in common."""
        if self.caller is not None:
            return self.caller.account
        return self._header(names.AUTHORIZATION)

    def _header(self, name: str) -> str:
        return dict(self.headers).get(name, "")


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLot:
    """A request for the results of a lot from a position on."""

    lot_id: str
    position: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadItem:
    """A request for the body of an item."""

    lot_id: str
    item_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndLot:
    """A request to end a lot."""

    lot_id: str


def is_readiness_probe(request: http.HttpRequest) -> bool:
    """Return whether the request is the load balancer's readiness probe."""
    return request.path == names.READY_PATH


def request_host(request: http.HttpRequest) -> str:
    """Return the value of the ``Host`` header, in lower case."""
    return request.headers.get("host", "").lower()


def request_id(request: http.HttpRequest) -> str:
    """Return the client's identifier of this attempt, empty if none."""
    return request.headers.get(names.REQUEST_ID, "")


def key_digest(request: http.HttpRequest) -> str:
    """Return the digest of a request's API key, empty if it has none."""
    value = request.headers.get(names.AUTHORIZATION, "")
    scheme, _, key = value.partition(" ")
    if scheme.lower() != names.KEY_SCHEME or not key.strip():
        return ""
    return http.bearer_digest(key.strip())


def parse_lot_call(
    request: http.HttpRequest,
) -> ReadLot | ReadItem | EndLot | None:
    """Return the request about a lot, or None for other requests.

    Raises
    ------
    FieldError
        If the position or the time to wait is not a number.
    """
    query = parse.parse_qs(request.query)
    if request.path.startswith(names.ITEM_PATH) and request.method == "GET":
        lot_id = request.path.removeprefix(names.ITEM_PATH)
        return ReadItem(lot_id, query.get("id", [""])[0])
    if not request.path.startswith(names.LOT_PATH):
        return None
    lot_id = request.path.removeprefix(names.LOT_PATH)
    if request.method == "DELETE":
        return EndLot(lot_id)
    if request.method != "GET":
        return None
    position = _number("after", query.get("after", ["0"])[0])
    wait_ms = _number(names.WAIT_MS, request.headers.get(names.WAIT_MS, "0"))
    return ReadLot(lot_id, position, wait_ms)


def forwarded_call(
    request: http.HttpRequest, caller: state.Caller | None = None
) -> ForwardedCall:
    """Return a client's request as a call to an upstream.

    Hop-by-hop headers are removed, and so are those that are set anew for
    each upstream. If the configuration has accounts, the upstream is told
    the account of the caller, and neither the key nor what the client says
    of its account.

    Raises
    ------
    FieldError
        If the deadline is not a number.
    """
    target = request.path
    if request.query:
        target = f"{target}?{request.query}"
    dropped = HOP_BY_HOP_HEADERS | {names.DEADLINE_MS, names.EXPECT_INSTANCE}
    connection = request.headers.get("connection", "")
    dropped |= {name.strip().lower() for name in connection.split(",")}
    if caller is not None:
        dropped |= {names.AUTHORIZATION, names.ACCOUNT}
    headers = tuple(
        (name, value)
        for name, value in request.headers.items()
        if name not in dropped
    )
    if caller is not None and caller.account:
        headers += ((names.ACCOUNT, caller.account),)
    deadline = request.headers.get(names.DEADLINE_MS)
    return ForwardedCall(
        request_id(request),
        request_host(request),
        request.method,
        target,
        headers,
        request.stream or request.body,
        _number(names.DEADLINE_MS, deadline or str(DEFAULT_DEADLINE_MS)),
        caller,
    )


def results_response(page: state.ResultPage) -> http.HttpResponse:
    """Return the response with a page of results, or with its refusal."""
    if page.refusal is not None:
        return refusal_response(page.refusal)
    body = lots.encode_results(page)
    return http.HttpResponse(
        200, (("content-type", "application/json"),), body
    )


def plain_response(status: int, body: bytes = b"") -> http.HttpResponse:
    """Return a response without headers."""
    return http.HttpResponse(status, (), body)


def refusal_response(refusal: state.Refusal) -> http.HttpResponse:
    """Return the response to a request that no upstream has answered.

    Status 503 tells the client that the request did not run: with the
    verdict `NOT_RUN` every server error above 500 becomes 503, and with
    any other verdict 503 becomes 502.
    """
    status = STATUS_OF_REASON.get(refusal.reason, 503)
    not_run = refusal.verdict is state.Verdict.NOT_RUN
    if not_run and status > 500:
        status = 503
    if not not_run and status == 503:
        status = 502
    headers = [("content-type", "application/problem+json")]
    if refusal.retry_after_ms is not None:
        seconds = refusal.retry_after_ms / MS_PER_S
        headers.append((names.RETRY_AFTER, f"{seconds:.3f}"))
    body = msgspec.json.encode(
        {"title": refusal.reason.value, "detail": refusal.detail}
    )
    return http.HttpResponse(status, tuple(headers), body)


def _number(field: str, text: str) -> int:
    number = numbers.parse_count(text)
    if number is None:
        raise errors.FieldError(field, f"expected a number, got {text[:80]!r}")
    return number
