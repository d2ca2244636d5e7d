"""Limits on clients of the HTTP/1.1 server, and refusals beyond them."""

import dataclasses

import h11

from poplarloft.coordination import clients
from poplarloft import state

__all__ = [
    "RequestRefusedError",
    "ServerLimits",
    "bad_request",
    "malformed",
    "no_memory",
    "share_limits",
    "too_large",
    "too_slow",
]


MEMORY_RETRY_MS = 500


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
    unread_timeout_ms : int
        Maximum time in which a client reads nothing of a response.
    max_ahead_bytes : int
        What is read of further requests while one is served. A client that
        has sent more waits.
    max_connections : int
        Maximum number of open connections. Beyond it, the one that has
        been idle longest is closed, or else the new one.
    max_held_bytes : int
        Maximum of what all connections together make the server hold.
    backlog : int
        Number of connections that may wait to be accepted.
    receive_buffer_bytes : int
        What the kernel holds at most of what a client has sent.
    """

    max_head_bytes: int = 16_384
    head_timeout_ms: int = 10_000
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 60_000
    unread_timeout_ms: int = 30_000
    max_ahead_bytes: int = 65_536
    max_connections: int = 4_000
    max_held_bytes: int = 268_435_456
    backlog: int = 1_024
    receive_buffer_bytes: int = 131_072


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


def no_memory(size: int) -> RequestRefusedError:
    """Return the error for a body for which there is no memory now."""
    refusal = state.Refusal(
        state.Reason.OVERLOADED,
        state.Verdict.NOT_RUN,
        f"no memory for a body of {size} bytes at the moment",
        MEMORY_RETRY_MS,
    )
    return RequestRefusedError(refusal, 503)


def share_limits(share: clients.ListenerShare) -> ServerLimits:
    """Return the limits of a listener with this share of the machine."""
    return ServerLimits(
        max_connections=share.max_connections,
        max_held_bytes=share.max_bytes,
        backlog=share.backlog,
        receive_buffer_bytes=share.receive_bytes,
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
