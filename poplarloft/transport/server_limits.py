"""Limits on clients of the HTTP/1.1 server, and what breaks them."""

import dataclasses

import h11

from poplarloft import state

__all__ = ["Refused", "ServerLimits", "malformed", "slow", "too_large"]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on what a client may send, and how slowly.

    Parameters
    ----------
    max_head_bytes : int
        Largest request head.
    head_timeout_ms, body_timeout_ms : int
        Longest time to send the head and the body.
    idle_timeout_ms : int
        Longest time between two requests.
    max_connections : int
        Connections open at a time; further ones are closed at once.
    """

    max_head_bytes: int = 16_384
    head_timeout_ms: int = 10_000
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 60_000
    max_connections: int = 4_000


class Refused(Exception):
    """A request that is answered without being handled."""

    def __init__(self, refusal: state.Refusal, status: int) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.status = status


def _refusal(reason: state.Reason, detail: str) -> state.Refusal:
    return state.Refusal(reason, state.Verdict.NOT_RUN, detail)


def too_large(limit: int) -> Refused:
    """Return the refusal of a body over `limit` bytes."""
    detail = f"body is over {limit} bytes"
    return Refused(_refusal(state.Reason.BODY_TOO_LARGE, detail), 413)


def slow(part: str, timeout_ms: int) -> Refused:
    """Return the refusal of a request that arrives too slowly."""
    detail = f"request {part} did not arrive in {timeout_ms} ms"
    return Refused(_refusal(state.Reason.BAD_REQUEST, detail), 408)


def malformed(error: h11.RemoteProtocolError) -> Refused:
    """Return the refusal of bytes that are no request."""
    status = int(error.error_status_hint)
    detail = f"malformed request: {error}"
    return Refused(_refusal(state.Reason.BAD_REQUEST, detail), status)
