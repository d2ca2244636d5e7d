"""Admission: fair shares in engine time, deadlines, early refusal.

Flows are pairs of owner and class. Weighted fair queueing by start tags
(Goyal, Vin and Cheng, 1996) over the estimated cost shares the capacity;
an idle flow's share goes to the others.
"""

from collections import abc
import dataclasses
import heapq

from poplarloft.coordination import token_buckets
from poplarloft import state

__all__ = [
    "AdmissionController",
    "AdmissionDecision",
    "AdmissionSettings",
    "Admitted",
    "CostEstimate",
    "RateLimits",
    "Refused",
    "per_instance_limit",
]

LIVE_CLASS = "live"
DEVIATIONS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of admission.

    Parameters
    ----------
    max_concurrent : int
        Requests at upstreams at a time.
    max_queued : int
        Requests that wait, per flow.
    batch_floor : float
        Fraction of an owner's share kept for its batch class.
    """

    max_concurrent: int = 512
    max_queued: int = 1_024
    batch_floor: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Action: dispatch the request of `ticket`."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Action: refuse the request of `ticket`, which has not run."""

    ticket: int
    refusal: state.Refusal


AdmissionDecision = Admitted | Refused


@dataclasses.dataclass(order=True, slots=True)
class _Waiting:
    starts_by_ms: int
    ticket: int
    cost_ms: float = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True)
class _Flow:
    weight: float
    start_tag: float = 0.0
    queue: list[_Waiting] = dataclasses.field(default_factory=list)
    queued_cost_ms: float = 0.0


class CostEstimate:
    """Moving averages of what a route's requests cost, and of its spread.

    Parameters
    ----------
    initial_ms : float
        Estimate before any observation.
    weight : float
        Weight of each new observation.

    Notes
    -----
    The high estimate is the mean and a multiple of the mean deviation,
    as for TCP's timeout (RFC 6298).
    """

    def __init__(self, initial_ms: float = 50.0, weight: float = 0.05) -> None:
        self.mean_ms = initial_ms
        self.deviation_ms = initial_ms / 2
        self.weight = weight

    @property
    def high_ms(self) -> float:
        """Return a cost that few requests exceed."""
        return self.mean_ms + DEVIATIONS * self.deviation_ms

    def observe(self, cost_ms: float) -> None:
        """Take one observed cost."""
        error_ms = cost_ms - self.mean_ms
        self.mean_ms += self.weight * error_ms
        self.deviation_ms += self.weight * (abs(error_ms) - self.deviation_ms)


class AdmissionController:
    """Decides who may be dispatched now, who waits and who is refused.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    settings : AdmissionSettings
        Limits.
    """

    def __init__(
        self, clock: state.Clock, settings: AdmissionSettings | None = None
    ) -> None:
        self.clock = clock
        self.settings = settings or AdmissionSettings()
        self.shares: dict[str, float] = {}
        self.flows: dict[tuple[str, str], _Flow] = {}
        self.running: dict[int, float] = {}
        self.virtual_ms = 0.0
        self.next_ticket = 0

    def set_shares(self, shares: dict[str, float]) -> None:
        """Take the owners' shares from the configuration in force."""
        self.shares = dict(shares)
        for key, flow in self.flows.items():
            flow.weight = self._weight(key)

    def request(
        self,
        owner: str,
        request_class: str,
        cost: CostEstimate,
        deadline_ms: int,
    ) -> tuple[int, list[AdmissionDecision]]:
        """Ask to run a request.

        Parameters
        ----------
        owner, request_class : str
            The flow.
        cost : CostEstimate
            Engine time that such requests take.
        deadline_ms : int
            Time on the clock by which it should have ended.

        Returns
        -------
        tuple
            The request's ticket, and decisions on any tickets.
        """
        self.next_ticket += 1
        ticket = self.next_ticket
        flow = self._flow((owner, request_class))
        starts_by_ms = round(deadline_ms - cost.high_ms)
        refusal = self._refusal(flow, starts_by_ms)
        if refusal is not None:
            return ticket, [Refused(ticket, refusal)]
        if not flow.queue:
            flow.start_tag = max(flow.start_tag, self.virtual_ms)
        waiting = _Waiting(starts_by_ms, ticket, cost.mean_ms)
        heapq.heappush(flow.queue, waiting)
        flow.queued_cost_ms += cost.mean_ms
        return ticket, self._dispatch()

    def done(self, ticket: int) -> list[AdmissionDecision]:
        """Note that a dispatched request has ended."""
        self.running.pop(ticket, None)
        return self._dispatch()

    def _dispatch(self) -> list[AdmissionDecision]:
        decisions: list[AdmissionDecision] = []
        while len(self.running) < self.settings.max_concurrent:
            flow = self._next_flow()
            if flow is None:
                break
            waiting = heapq.heappop(flow.queue)
            flow.queued_cost_ms -= waiting.cost_ms
            if self.clock.now_ms() > waiting.starts_by_ms:
                decisions.append(Refused(waiting.ticket, _too_late(0)))
                continue
            self.virtual_ms = flow.start_tag
            flow.start_tag += waiting.cost_ms / flow.weight
            self.running[waiting.ticket] = waiting.cost_ms
            decisions.append(Admitted(waiting.ticket))
        return decisions

    def _next_flow(self) -> _Flow | None:
        backlogged = [f for f in self.flows.values() if f.queue]
        return min(backlogged, key=lambda f: f.start_tag, default=None)

    def _refusal(self, flow: _Flow, starts_by_ms: int) -> state.Refusal | None:
        starts_ms = self.clock.now_ms() + self._predicted_wait_ms(flow)
        over_ms = starts_ms - starts_by_ms
        if over_ms > 0 or len(flow.queue) >= self.settings.max_queued:
            return _too_late(max(0, round(over_ms)))
        return None

    def _predicted_wait_ms(self, flow: _Flow) -> float:
        """Return how long a new request of `flow` would wait.

        The flow's queue drains at its share of the capacity among the
        flows that now wait.
        """
        free = self.settings.max_concurrent - len(self.running)
        if free > 0 and not flow.queue:
            return 0.0
        active = sum(
            f.weight for f in self.flows.values() if f.queue or f is flow
        )
        rate = self.settings.max_concurrent * flow.weight / active
        return flow.queued_cost_ms / rate

    def _flow(self, key: tuple[str, str]) -> _Flow:
        found = self.flows.get(key)
        if found is None:
            found = _Flow(self._weight(key), self.virtual_ms)
            self.flows[key] = found
        return found

    def _weight(self, key: tuple[str, str]) -> float:
        owner, request_class = key
        floor = self.settings.batch_floor
        part = 1.0 - floor if request_class == LIVE_CLASS else floor
        return self.shares.get(owner, 1.0) * part


def per_instance_limit(
    limit: float, members: abc.Iterable[state.MemberRecord]
) -> float:
    """Return one instance's part of a limit that holds for the fleet.

    Members that are held for dead still count: one may only be cut off
    and go on spending its part. Only those that left by their own will,
    or were forgotten, make the others' parts larger.
    """
    counted = sum(m.status is not state.MemberStatus.LEFT for m in members)
    return limit / max(1, counted)


class RateLimits:
    """Requests per second and owner that this instance lets in.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.buckets: dict[str, token_buckets.TokenBucket] = {}

    def set_rate(self, owner: str, rate_per_s: float) -> None:
        """Set an owner's rate; what its bucket holds stays."""
        known = self.buckets.get(owner)
        if known is not None and known.rate_per_s == rate_per_s:
            return
        bucket = token_buckets.TokenBucket(self.clock, rate_per_s, rate_per_s)
        if known is not None:
            bucket.tokens = min(rate_per_s, known.tokens)
        self.buckets[owner] = bucket

    def take(self, owner: str) -> state.Refusal | None:
        """Take one request of an owner, or return why it must wait."""
        bucket = self.buckets.get(owner)
        if bucket is None or bucket.take():
            return None
        wait_ms = bucket.ready_at_ms() - self.clock.now_ms()
        return state.Refusal(
            state.Reason.OVERLOADED,
            state.Verdict.NOT_RUN,
            f"owner {owner!r} is over its rate of requests",
            wait_ms,
        )


def _too_late(over_ms: int) -> state.Refusal:
    return state.Refusal(
        state.Reason.OVERLOADED,
        state.Verdict.NOT_RUN,
        "the request would not end before its deadline",
        max(1_000, over_ms),
    )
