"""Upstreams in the platform's instance list, and their load reports."""

import dataclasses
import enum

from poplarloft.state import identity

__all__ = ["LoadReport", "Upstream", "UpstreamKind", "UpstreamStatus"]


class UpstreamKind(enum.StrEnum):
    """Kind of requests that an upstream serves."""

    ENGINE = "engine"
    PLAIN = "plain"
    SCORER = "scorer"


class UpstreamStatus(enum.StrEnum):
    """Status of an upstream in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One entry of the platform's instance list, which lags.

    `honours_fence` tells whether the upstream rejects orders with an
    outdated fencing token.
    """

    name: str
    incarnation: int
    service: str
    kind: UpstreamKind
    address: identity.Address
    location: identity.Location
    status: UpstreamStatus = UpstreamStatus.LIVE
    honours_fence: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's report on its own load, which arrives with a lag.

    `reported_at_ms` is the time at which the engine took the figures,
    converted to this instance's monotonic clock.
    """

    upstream: str
    reported_at_ms: int
    running: int
    queued_tokens: int
    weight_version: int | None = None
    cached_prefixes: frozenset[int] = frozenset()
