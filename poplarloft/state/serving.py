"""The operator's configuration of serving: routes, services, limits."""

import dataclasses
import enum

from poplarloft.state import capacity
from poplarloft.state import client_accounts
from poplarloft.state import lots

__all__ = [
    "PathRoute",
    "RouteKind",
    "ServiceInfo",
    "ServingConfiguration",
    "ServingLimits",
    "Target",
]


class RouteKind(enum.StrEnum):
    """Kind of a route's requests; it decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    LOTS = "lots"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that receives a share of a route's requests.

    The share is proportional to `weight`.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PathRoute:
    """Handling of requests to one host under one path prefix.

    Parameters
    ----------
    timeout_ms : int
        Longest time that a caller waits for an answer.
    objective_ms : int
        Latency objective: later answers are worth less to the caller.
    max_attempts : int
        Number of upstreams to which one request may be sent.
    priority : int
        Scheduling priority; 0 is the most urgent.
    resumable : bool
        For streams: whether a broken stream may be resumed.
    due_ms : int
        For lots: time from acceptance until all results are due.
    item_ttl_ms : int
        For lots: time from acceptance after which an item that has not
        been generated fails.
    single_version : bool
        For lots: whether all of an output must come from one weight
        version.
    is_public : bool
        Whether requests need no API key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: int = 30_000
    objective_ms: int = 1_000
    max_attempts: int = 1
    priority: int = 5
    resumable: bool = False
    due_ms: int = 60_000
    item_ttl_ms: int = 600_000
    single_version: bool = False
    is_public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run may be sent again.

        It is False for lots, whose requests are not forwarded.
        """
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceInfo:
    """A pool of upstreams of the same kind.

    Parameters
    ----------
    max_connections : int
        Number of connections that one upstream accepts in total.
    slots : int or None
        Number of requests that an engine runs concurrently; None for
        plain services.
    models : tuple of str
        Models that the engines serve.
    memory_tokens : int or None
        Tokens that an engine's memory holds; None if that is not known.
    scaling : capacity.EngineScaling or None
        How many engines may be ordered; None if none may.
    """

    name: str
    max_connections: int
    slots: int | None = None
    models: tuple[str, ...] = ()
    scaling: capacity.EngineScaling | None = None
    memory_tokens: int | None = None

    @property
    def is_engine(self) -> bool:
        """Whether the service's upstreams are model engines."""
        return self.slots is not None


@dataclasses.dataclass(frozen=True, slots=True)
class ServingLimits:
    """Limits on the size of what a client sends, and on its time for it."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    head_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class ServingConfiguration:
    """One complete version of the operator's configuration.

    Parameters
    ----------
    accounts : dict of str to client_accounts.ClientAccount or None
        The client accounts by name; None if requests need no API keys.
    """

    version: int
    routes: tuple[PathRoute, ...]
    services: dict[str, ServiceInfo]
    limits: ServingLimits
    accounts: dict[str, client_accounts.ClientAccount] | None = None

    def find_route(self, host: str, path: str) -> PathRoute | None:
        """Return the route of `host` with the longest matching prefix."""
        matching = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.prefix)
        ]
        return max(matching, key=lambda r: len(r.prefix), default=None)

    def find_lot_route(self, lot: lots.Lot) -> PathRoute | None:
        """Return the route of a lot, None if there is none for lots."""
        route = self.find_route(lot.host, lot.path)
        if route is None or route.kind is not RouteKind.LOTS:
            return None
        return self.route_for(lot.account, route)

    def route_for(self, account: str, route: PathRoute) -> PathRoute:
        """Return a route with the priority of an account's requests."""
        found = (self.accounts or {}).get(account)
        if found is None or found.priority in (None, route.priority):
            return route
        return dataclasses.replace(route, priority=found.priority)
