"""Upstreams as the platform lists them and as they report load."""

import dataclasses
import enum

from poplarloft.state import identity

__all__ = ["LoadReport", "Upstream", "UpstreamKind", "UpstreamStatus"]


class UpstreamKind(enum.StrEnum):
    """What an upstream understands."""

    ENGINE = "engine"
    PLAIN = "plain"
    SCORER = "scorer"


class UpstreamStatus(enum.StrEnum):
    """What the platform says about an upstream."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One entry of the platform's lagging list of instances."""

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
    """An engine's own view of its load, which arrives with a lag.

    `reported_at_ms` is the time at which the engine took the figures,
    on this instance's monotonic clock.
    """

    upstream: str
    reported_at_ms: int
    running: int
    queued_tokens: int
    weight_version: int | None = None
    cached_prefixes: frozenset[int] = frozenset()
