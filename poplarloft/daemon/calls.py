"""One caller's request on its way, and the headers that pass through."""

from collections import abc
import dataclasses

from poplarloft import coordination
from poplarloft.protocol import http
from poplarloft import state

__all__ = [
    "RelayCall",
    "forwarded_headers",
    "returned_headers",
]

HOP_BY_HOP = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclasses.dataclass(slots=True)
class RelayCall:
    """One caller's request on its way.

    `target` is the path and query at the upstream; `started_at_ms` and
    `deadline_ms` are times on the monotonic clock.
    """

    request: http.HttpRequest
    headers: http.CallerHeaders
    owner: str
    route_name: str
    route: state.RouteBody
    target: str
    repeatable: bool
    fingerprint: str
    route_request: coordination.RouteRequest
    started_at_ms: int
    deadline_ms: int

    @property
    def flow_key(self) -> tuple[str, str]:
        """Return what shares a retry budget and a cost estimate."""
        return (self.owner, self.route_name)


def forwarded_headers(
    headers: dict[str, str],
) -> abc.Iterable[tuple[str, str]]:
    """Return the caller's headers that an upstream gets."""
    return [(n, v) for n, v in headers.items() if n not in HOP_BY_HOP]


def returned_headers(
    headers: dict[str, str],
) -> tuple[tuple[str, str], ...]:
    """Return the upstream's headers that the caller gets."""
    return tuple((n, v) for n, v in headers.items() if n not in HOP_BY_HOP)
