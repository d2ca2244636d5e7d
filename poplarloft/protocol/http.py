"""HTTP messages, callers' headers and problem documents (RFC 9457)."""

from collections import abc
import dataclasses
import hashlib
import http
import uuid

import msgspec

from poplarloft.protocol import errors
from poplarloft.protocol import numbers
from poplarloft import state

__all__ = [
    "BodyStream",
    "CallerHeaders",
    "HttpRequest",
    "encode_headers",
    "HttpResponse",
    "LEAVING_HEADER",
    "NOT_EXECUTED_HEADER",
    "RequestHasher",
    "bearer_digest",
    "claim_key",
    "json_response",
    "parse_caller_headers",
    "problem_response",
    "request_fingerprint",
    "with_end_callback",
]

VERDICT_HEADER = "Poplarloft-Verdict"
# Response headers of upstreams with the value "true": the request was not
# executed; the upstream is about to shut down.
NOT_EXECUTED_HEADER = "poplarloft-not-executed"
LEAVING_HEADER = "poplarloft-leaving"
MAX_DEADLINE_MS = 3_600_000
UUID7_VERSION = 7
# The upper 48 of the 128 bits are the Unix time in milliseconds (RFC 9562).
UUID7_TIME_SHIFT = 80
CLAIM_DIGEST_BYTES = 16
HALF_FINGERPRINT_BYTES = 8

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BodyStream:
    """A request body that is read in pieces, once.

    `length` is None if the client uses chunked transfer encoding. Reading
    raises `errors.ProtocolError` if the body exceeds its limits or is
    incomplete.
    """

    pieces: abc.AsyncIterator[bytes]
    length: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request; a large body is in `stream` instead of `body`.

    `headers` maps lower-case names to values. Of repeated headers the
    last one is used.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes = b""
    stream: BodyStream | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response, whose body may be streamed.

    If a streamed body raises an exception, the response is ended without
    its terminating chunk, so that the client detects the truncation.
    """

    status: int
    headers: Headers = ()
    body: bytes | abc.AsyncIterator[bytes] = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """The headers by which a caller controls how its request is handled.

    Parameters
    ----------
    token : str or None
        The bearer token.
    idempotency_key : uuid.UUID or None
        A version 7 UUID, the same for all retries of a request.
    deadline_ms : int or None
        Time limit of the request in milliseconds.
    repeatable : bool or None
        False if the request must not be executed more than once, whatever
        its route allows. Other values leave this to the route.
    request_class : str
        One of `REQUEST_CLASSES`.
    """

    token: str | None
    idempotency_key: uuid.UUID | None
    deadline_ms: int | None
    repeatable: bool | None
    request_class: str


REQUEST_CLASSES = ("live", "batch")
REPEATABLE_VALUES = {"true": True, "false": False}


def parse_caller_headers(headers: dict[str, str]) -> CallerHeaders:
    """Return the validated headers of a caller.

    Raises
    ------
    FieldError
        If a header has an invalid value.
    """
    return CallerHeaders(
        _parse_bearer(headers.get("authorization")),
        _parse_idempotency_key(headers.get("idempotency-key")),
        _parse_deadline_ms(headers.get("poplarloft-deadline-ms")),
        _parse_choice(
            "Poplarloft-Repeatable",
            headers.get("poplarloft-repeatable"),
            REPEATABLE_VALUES,
        ),
        _parse_request_class(headers.get("poplarloft-class", "live")),
    )


def bearer_digest(token: str) -> str:
    """Return the hex SHA-256 digest of a token.

    The configuration contains these digests instead of the tokens.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def claim_key(owner: str, route: str, key: uuid.UUID) -> state.ClaimKey:
    """Return the form of an idempotency key that claim ledgers store.

    The time of issue is the timestamp in the version 7 UUID (RFC 9562).
    """
    scoped_key = f"{owner}\n{route}\n{key.hex}"
    digest = hashlib.blake2b(
        scoped_key.encode(), digest_size=CLAIM_DIGEST_BYTES
    )
    return state.ClaimKey(digest.digest(), key.int >> UUID7_TIME_SHIFT)


class RequestHasher:
    """Computes the fingerprint of a request, whose body may come in pieces.

    A fingerprint has 32 hex digits. The first half, the scope, is the same
    for all requests of a caller to one target; all retries of a request
    have the same fingerprint.

    Parameters
    ----------
    caller : str
        Identifies the caller.
    target : str
        Host, route or path that the request is for.
    """

    def __init__(self, caller: str, target: str) -> None:
        scope = f"{caller}\n{target}\n".encode()
        digest = hashlib.blake2b(scope, digest_size=HALF_FINGERPRINT_BYTES)
        self.scope = digest.hexdigest()
        self.body = hashlib.blake2b(digest_size=HALF_FINGERPRINT_BYTES)

    def update(self, piece: bytes) -> None:
        """Add the next piece of the body."""
        self.body.update(piece)

    def fingerprint(self) -> str:
        """Return the fingerprint of the request with the body so far."""
        return self.scope + self.body.hexdigest()


def request_fingerprint(caller: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request with a complete body."""
    hasher = RequestHasher(caller, target)
    hasher.update(body)
    return hasher.fingerprint()


def json_response(status: int, value: object) -> HttpResponse:
    """Return a response with `value` encoded as JSON."""
    body = msgspec.json.encode(value)
    return HttpResponse(status, (("content-type", "application/json"),), body)


async def with_end_callback(
    body: abc.AsyncIterator[bytes], on_end: abc.Callable[[], None]
) -> abc.AsyncIterator[bytes]:
    """Yield `body` and call `on_end` when it ends, fails or is closed."""
    try:
        async for piece in body:
            yield piece
    finally:
        on_end()
        await body.aclose()  # type: ignore[attr-defined]


_STATUS_OF_REASON = {
    state.Reason.BAD_REQUEST: 400,
    state.Reason.UNAUTHENTICATED: 401,
    state.Reason.FORBIDDEN: 403,
    state.Reason.UNKNOWN_ROUTE: 404,
    state.Reason.UNKNOWN_LOT: 404,
    state.Reason.BODY_TOO_LARGE: 413,
    state.Reason.CLAIM_HELD: 409,
    state.Reason.CLAIM_EXPIRED: 409,
    state.Reason.CONFLICT: 409,
    state.Reason.INTERNAL_ERROR: 500,
    state.Reason.QUARANTINED: 422,
    state.Reason.OVERLOADED: 503,
    state.Reason.UPSTREAM_FAILED: 502,
    state.Reason.DEADLINE: 504,
}
DEFAULT_PROBLEM_STATUS = 503  # for reasons without an entry above
MS_PER_S = 1_000


def encode_headers(
    headers: abc.Iterable[tuple[str, str]],
) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes, the inverse of how they are decoded."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
    ]


def problem_response(refusal: state.Refusal) -> HttpResponse:
    """Return a refusal as a problem document, with its verdict.

    The Retry-After header is rounded up to whole seconds.
    """
    status = _STATUS_OF_REASON.get(refusal.reason, DEFAULT_PROBLEM_STATUS)
    problem = {
        "type": f"urn:poplarloft:{refusal.reason}",
        "title": http.HTTPStatus(status).phrase,
        "status": status,
        "detail": refusal.detail,
        "reason": refusal.reason,
        "verdict": refusal.verdict,
    }
    headers = [
        ("content-type", "application/problem+json"),
        (VERDICT_HEADER, refusal.verdict.value),
    ]
    if refusal.retry_after_ms is not None:
        retry_after_s = -(-refusal.retry_after_ms // MS_PER_S)
        headers.append(("retry-after", str(retry_after_s)))
        problem["retry_after_ms"] = refusal.retry_after_ms
    body = msgspec.json.encode(problem)
    return HttpResponse(status, tuple(headers), body)


def _parse_bearer(value: str | None) -> str | None:
    if value is None:
        return None
    scheme, _, token = value.partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise errors.FieldError(
            "Authorization", "expected the scheme 'Bearer' and a token"
        )
    return token.strip()


def _parse_idempotency_key(value: str | None) -> uuid.UUID | None:
    if value is None:
        return None
    try:
        key = uuid.UUID(value.strip('"'))
    except ValueError:
        key = uuid.UUID(int=0)  # has no version: rejected below
    if key.version != UUID7_VERSION:
        raise errors.FieldError(
            "Idempotency-Key",
            f"expected a UUID of version 7, got {value[:80]!r}",
        )
    return key


def _parse_deadline_ms(value: str | None) -> int | None:
    if value is None:
        return None
    deadline_ms = numbers.parse_count(value)
    if deadline_ms is None or not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        raise errors.FieldError(
            "Poplarloft-Deadline-Ms",
            f"expected a whole number of milliseconds from 1 to "
            f"{MAX_DEADLINE_MS}, got {value[:80]!r}",
        )
    return deadline_ms


def _parse_choice(
    field: str, value: str | None, allowed: dict[str, bool]
) -> bool | None:
    if value is None:
        return None
    if value not in allowed:
        raise errors.FieldError(
            field, f"expected one of {sorted(allowed)}, got {value[:80]!r}"
        )
    return allowed[value]


def _parse_request_class(value: str) -> str:
    if value not in REQUEST_CLASSES:
        raise errors.FieldError(
            "Poplarloft-Class",
            f"expected one of {list(REQUEST_CLASSES)}, got {value[:80]!r}",
        )
    return value
