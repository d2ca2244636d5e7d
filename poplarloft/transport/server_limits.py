"""Limits on clients of the HTTP/1.1 server, and refusals beyond them."""

import dataclasses

import h11

from poplarloft import state

__all__ = [
    "RequestRefusedError",
    "ServerLimits",
    "bad_request",
    "malformed",
    "too_large",
    "too_slow",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the size and the duration of requests.

    Parameters
    ----------
    max_head_bytes : int
        Maximum size of a request's head.
    head_timeout_ms, body_timeout_ms : int
        Time in which the head and the body have to arrive.
    idle_timeout_ms : int
        Maximum time between two requests on a connection.
    max_connections : int
        Maximum number of open connections; further ones are reset.
    """

    max_head_bytes: int = 16_384
    head_timeout_ms: int = 10_000
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 60_000
    max_connections: int = 4_000


class RequestRefusedError(Exception):
    """A request is refused before it reaches the handler.

    Parameters
    ----------
    refusal : state.Refusal
        Reason, sent to the client.
    status : int
        HTTP status of the response.
    """

    def __init__(self, refusal: state.Refusal, status: int) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.status = status


def _refusal(reason: state.Reason, detail: str) -> state.Refusal:
    return state.Refusal(reason, state.Verdict.NOT_RUN, detail)


def too_large(limit: int) -> RequestRefusedError:
    """Return the error for a body larger than `limit` bytes."""
    detail = f"body is over {limit} bytes"
    return RequestRefusedError(
        _refusal(state.Reason.BODY_TOO_LARGE, detail), 413
    )


def too_slow(part: str, timeout_ms: int) -> RequestRefusedError:
    """Return the error for a head or body that misses its timeout."""
    detail = f"request {part} did not arrive in {timeout_ms} ms"
    return RequestRefusedError(_refusal(state.Reason.BAD_REQUEST, detail), 408)


def malformed(error: h11.RemoteProtocolError) -> RequestRefusedError:
    """Return the error for bytes that are not a valid request."""
    status = int(error.error_status_hint)
    return bad_request(status, f"malformed request: {error}")


def bad_request(status: int, detail: str) -> RequestRefusedError:
    """Return the error for a request that cannot be served."""
    return RequestRefusedError(
        _refusal(state.Reason.BAD_REQUEST, detail), status
    )
