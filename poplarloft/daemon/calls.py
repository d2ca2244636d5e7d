"""A request being relayed, and the headers that are passed on."""

from collections import abc
import contextlib
import dataclasses

from poplarloft import coordination
from poplarloft.protocol import http
from poplarloft import state

__all__ = [
    "RelayCall",
    "discard",
    "forwarded_headers",
    "returned_headers",
]

# Headers that belong to one connection, to its framing or to the caller's
# credentials.
UNFORWARDED_HEADERS = frozenset(
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
    """One caller's request while it is being relayed.

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
        """The key under which retry budget and cost estimate are shared."""
        return (self.owner, self.route_name)


def forwarded_headers(
    headers: dict[str, str],
) -> abc.Iterable[tuple[str, str]]:
    """Return the caller's headers that are forwarded to an upstream."""
    return [(n, v) for n, v in headers.items() if n not in UNFORWARDED_HEADERS]


def returned_headers(
    headers: dict[str, str],
) -> tuple[tuple[str, str], ...]:
    """Return the upstream's headers that are returned to the caller."""
    return tuple(
        (n, v) for n, v in headers.items() if n not in UNFORWARDED_HEADERS
    )


async def discard(response: http.HttpResponse) -> None:
    """Close the connection behind a streamed body that nobody reads."""
    if isinstance(response.body, bytes):
        return
    with contextlib.suppress(OSError):
        # A generator runs its clean-up only if it has been started.
        await anext(response.body, b"")
    await response.body.aclose()  # type: ignore[attr-defined]
