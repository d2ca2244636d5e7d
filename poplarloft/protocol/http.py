"""HTTP messages, caller headers and problem documents (RFC 9457)."""

from collections import abc
import dataclasses
import hashlib
import http
import uuid

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "BodyStream",
    "CallerHeaders",
    "HttpRequest",
    "HttpResponse",
    "LEAVING_HEADER",
    "NOT_EXECUTED_HEADER",
    "bearer_digest",
    "claim_key",
    "json_response",
    "parse_caller_headers",
    "problem_response",
    "request_fingerprint",
    "with_end_callback",
]

VERDICT_HEADER = "Poplarloft-Verdict"
NOT_EXECUTED_HEADER = "poplarloft-not-executed"
LEAVING_HEADER = "poplarloft-leaving"
MAX_DEADLINE_MS = 3_600_000
UUID7_VERSION = 7
UUID7_TIME_SHIFT = 80
CLAIM_DIGEST_BYTES = 16

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BodyStream:
    """A body that is read piece by piece, once.

    `length` is None if the client sends it in chunks. Reading raises
    `errors.ProtocolError` if the body passes its limits.
    """

    pieces: abc.AsyncIterator[bytes]
    length: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request; `stream` is set in place of a large `body`.

    `headers` maps lower-case names to values; of repeated headers the
    last counts.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes = b""
    stream: BodyStream | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """One response, whole or streamed.

    A streamed body that raises is cut off without its end mark, so that
    the client can't take it for whole.
    """

    status: int
    headers: Headers = ()
    body: bytes | abc.AsyncIterator[bytes] = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """The headers by which a caller steers its request."""

    token: str | None
    idempotency_key: uuid.UUID | None
    deadline_ms: int | None
    repeatable: bool | None
    request_class: str


REQUEST_CLASSES = ("live", "batch")
REPEATABLE_VALUES = {"true": True, "false": False}


def parse_caller_headers(headers: dict[str, str]) -> CallerHeaders:
    """Return the validated caller headers.

    Raises
    ------
    FieldError
        If a header has a value that is not allowed.
    """
    return CallerHeaders(
        _bearer(headers.get("authorization")),
        _idempotency_key(headers.get("idempotency-key")),
        _deadline_ms(headers.get("poplarloft-deadline-ms")),
        _choice(
            "Poplarloft-Repeatable",
            headers.get("poplarloft-repeatable"),
            REPEATABLE_VALUES,
        ),
        _request_class(headers.get("poplarloft-class", "live")),
    )


def bearer_digest(token: str) -> str:
    """Return the hex SHA-256 by which the configuration names a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def claim_key(owner: str, route: str, key: uuid.UUID) -> state.ClaimKey:
    """Return what the ledgers store of an idempotency key.

    The issue time is the one that a version 7 UUID carries (RFC 9562).
    """
    text = f"{owner}\n{route}\n{key.hex}"
    digest = hashlib.blake2b(text.encode(), digest_size=CLAIM_DIGEST_BYTES)
    return state.ClaimKey(digest.digest(), key.int >> UUID7_TIME_SHIFT)


def request_fingerprint(owner: str, route: str, body: bytes) -> str:
    """Return 32 hex digits that resends of a request share."""
    digest = hashlib.blake2b(digest_size=CLAIM_DIGEST_BYTES)
    digest.update(f"{owner}\n{route}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def json_response(status: int, value: object) -> HttpResponse:
    """Return a JSON response."""
    body = msgspec.json.encode(value)
    return HttpResponse(status, (("content-type", "application/json"),), body)


async def with_end_callback(
    body: abc.AsyncIterator[bytes], on_end: abc.Callable[[], None]
) -> abc.AsyncIterator[bytes]:
    """Yield `body`, then call `on_end`, however it ends."""
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
    state.Reason.QUARANTINED: 422,
    state.Reason.OVERLOADED: 503,
    state.Reason.UPSTREAM_FAILED: 502,
    state.Reason.DEADLINE: 504,
}
DEFAULT_PROBLEM_STATUS = 503
MS_PER_S = 1_000


def problem_response(refusal: state.Refusal) -> HttpResponse:
    """Return the problem document of a refusal, with its verdict."""
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


def _bearer(value: str | None) -> str | None:
    if value is None:
        return None
    scheme, _, token = value.partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise errors.FieldError(
            "Authorization", "expected 'Bearer' and a token"
        )
    return token.strip()


def _idempotency_key(value: str | None) -> uuid.UUID | None:
    if value is None:
        return None
    try:
        key = uuid.UUID(value.strip('"'))
    except ValueError:
        key = uuid.UUID(int=0)
    if key.version != UUID7_VERSION:
        raise errors.FieldError(
            "Idempotency-Key",
            f"expected a UUID of version 7, got {value[:80]!r}",
        )
    return key


def _deadline_ms(value: str | None) -> int | None:
    if value is None:
        return None
    if not value.isdecimal() or not 1 <= int(value) <= MAX_DEADLINE_MS:
        raise errors.FieldError(
            "Poplarloft-Deadline-Ms",
            f"expected a whole number of milliseconds from 1 to "
            f"{MAX_DEADLINE_MS}, got {value[:80]!r}",
        )
    return int(value)


def _choice(
    field: str, value: str | None, allowed: dict[str, bool]
) -> bool | None:
    if value is None:
        return None
    if value not in allowed:
        raise errors.FieldError(
            field, f"expected one of {sorted(allowed)}, got {value[:80]!r}"
        )
    return allowed[value]


def _request_class(value: str) -> str:
    if value not in REQUEST_CLASSES:
        raise errors.FieldError(
            "Poplarloft-Class",
            f"expected one of {list(REQUEST_CLASSES)}, got {value[:80]!r}",
        )
    return value
