"""Admission control: fair shares of engine time and early refusal.

A flow is a pair of owner and request class. Start-time fair queueing
(Goyal, Vin and Cheng, 1996) over estimated costs divides the capacity
between the flows; the share of an idle flow goes to the others. A request
that cannot finish before its deadline is refused at once.
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
DEVIATION_FACTOR = 3.0
MIN_RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of admission control.

    Parameters
    ----------
    max_concurrent : int
        Maximum number of requests in flight to upstreams.
    max_queued : int
        Maximum number of queued requests per flow.
    batch_floor : float
        Fraction of an owner's share that is reserved for its batch class.
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
    """Action: refuse the request of `ticket`, which has not been run."""

    ticket: int
    refusal: state.Refusal


AdmissionDecision = Admitted | Refused


@dataclasses.dataclass(order=True, slots=True)
class _Waiting:
    latest_start_ms: int
    ticket: int
    cost_ms: float = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True)
class _Flow:
    weight: float
    start_tag: float = 0.0
    queue: list[_Waiting] = dataclasses.field(default_factory=list)
    queued_cost_ms: float = 0.0


class CostEstimate:
    """Moving averages of a route's request cost and of its deviation.

    Parameters
    ----------
    initial_ms : float
        Estimate before the first observation.
    weight : float
        Weight of each new observation.

    Notes
    -----
    The high estimate is the mean plus a multiple of the mean deviation,
    as in TCP's retransmission timeout (RFC 6298).
    """

    def __init__(self, initial_ms: float = 50.0, weight: float = 0.05) -> None:
        self.mean_ms = initial_ms
        self.deviation_ms = initial_ms / 2
        self.weight = weight

    @property
    def high_ms(self) -> float:
        """Upper estimate of the cost, exceeded by few requests."""
        return self.mean_ms + DEVIATION_FACTOR * self.deviation_ms

    def observe(self, cost_ms: float) -> None:
        """Update the averages with one observed cost."""
        error_ms = cost_ms - self.mean_ms
        self.mean_ms += self.weight * error_ms
        self.deviation_ms += self.weight * (abs(error_ms) - self.deviation_ms)


class AdmissionController:
    """Decides which requests are dispatched, queued or refused.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    settings : AdmissionSettings
        Limits on concurrency and queues.
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
        """Set the owners' shares from the current configuration."""
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
        """Queue a request, or refuse it.

        It is refused if it cannot meet its deadline or its flow's queue is
        full.

        Parameters
        ----------
        owner, request_class : str
            The flow of the request.
        cost : CostEstimate
            Estimated engine time of such requests.
        deadline_ms : int
            Time on the clock by which the request should have finished.

        Returns
        -------
        tuple
            The request's ticket, and decisions on this and other tickets.
        """
        self.next_ticket += 1
        ticket = self.next_ticket
        flow = self._get_flow((owner, request_class))
        latest_start_ms = round(deadline_ms - cost.high_ms)
        refusal = self._refusal(flow, latest_start_ms)
        if refusal is not None:
            return ticket, [Refused(ticket, refusal)]
        if not flow.queue:
            flow.start_tag = max(flow.start_tag, self.virtual_ms)
        waiting = _Waiting(latest_start_ms, ticket, cost.mean_ms)
        heapq.heappush(flow.queue, waiting)
        flow.queued_cost_ms += cost.mean_ms
        return ticket, self._dispatch()

    def done(self, ticket: int) -> list[AdmissionDecision]:
        """Release a finished request's capacity and dispatch queued ones."""
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
            if self.clock.now_ms() > waiting.latest_start_ms:
                refusal = _late_refusal(0)
                decisions.append(Refused(waiting.ticket, refusal))
                continue
            self.virtual_ms = flow.start_tag
            flow.start_tag += waiting.cost_ms / flow.weight
            self.running[waiting.ticket] = waiting.cost_ms
            decisions.append(Admitted(waiting.ticket))
        return decisions

    def _next_flow(self) -> _Flow | None:
        backlogged = [f for f in self.flows.values() if f.queue]
        return min(backlogged, key=lambda f: f.start_tag, default=None)

    def _refusal(
        self, flow: _Flow, latest_start_ms: int
    ) -> state.Refusal | None:
        starts_ms = self.clock.now_ms() + self._predicted_wait_ms(flow)
        late_ms = starts_ms - latest_start_ms
        if late_ms > 0:
            return _late_refusal(round(late_ms))
        if len(flow.queue) >= self.settings.max_queued:
            return _overload_refusal(
                f"the queue has {len(flow.queue)} requests and is full",
                MIN_RETRY_AFTER_MS,
            )
        return None

    def _predicted_wait_ms(self, flow: _Flow) -> float:
        """Return the estimated queueing time of a new request of `flow`.

        The flow's queue drains at the flow's share of the capacity among
        the flows that currently have queued requests.
        """
        free = self.settings.max_concurrent - len(self.running)
        if free > 0 and not flow.queue:
            return 0.0
        active = sum(
            f.weight for f in self.flows.values() if f.queue or f is flow
        )
        rate = self.settings.max_concurrent * flow.weight / active
        return flow.queued_cost_ms / rate

    def _get_flow(self, key: tuple[str, str]) -> _Flow:
        found = self.flows.get(key)
        if found is None:
            found = _Flow(self._weight(key), self.virtual_ms)
            self.flows[key] = found
        return found

    def _weight(self, key: tuple[str, str]) -> float:
        owner, request_class = key
        floor = self.settings.batch_floor
        fraction = 1.0 - floor if request_class == LIVE_CLASS else floor
        return self.shares.get(owner, 1.0) * fraction


def per_instance_limit(
    limit: float, members: abc.Iterable[state.MemberRecord]
) -> float:
    """Return one instance's share of a limit that applies to the fleet.

    Members believed dead still count: such a member may only be partitioned
    and continue to use its share. Only members that left voluntarily, or
    that have been removed from the list, increase the share of the others.
    """
    member_count = sum(
        m.status is not state.MemberStatus.LEFT for m in members
    )
    return limit / max(1, member_count)


class RateLimits:
    """Rate limits of this instance, one token bucket per owner.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.buckets: dict[str, token_buckets.TokenBucket] = {}

    def set_rate(self, owner: str, rate_per_s: float) -> None:
        """Set an owner's rate, keeping the tokens already in its bucket."""
        known = self.buckets.get(owner)
        if known is not None and known.rate_per_s == rate_per_s:
            return
        bucket = token_buckets.TokenBucket(self.clock, rate_per_s, rate_per_s)
        if known is not None:
            bucket.tokens = min(rate_per_s, known.tokens)
        self.buckets[owner] = bucket

    def take(self, owner: str) -> state.Refusal | None:
        """Take one of an owner's tokens; return a refusal if none is left."""
        bucket = self.buckets.get(owner)
        if bucket is None or bucket.take():
            return None
        wait_ms = bucket.ready_at_ms() - self.clock.now_ms()
        return state.Refusal(
            state.Reason.OVERLOADED,
            state.Verdict.NOT_RUN,
            f"owner {owner!r} exceeded its request rate of "
            f"{bucket.rate_per_s:g} per second on this instance",
            wait_ms,
        )


def _late_refusal(late_ms: int) -> state.Refusal:
    return _overload_refusal(
        f"the deadline would be missed by {late_ms} ms",
        max(MIN_RETRY_AFTER_MS, late_ms),
    )


def _overload_refusal(detail: str, retry_after_ms: int) -> state.Refusal:
    return state.Refusal(
        state.Reason.OVERLOADED,
        state.Verdict.NOT_RUN,
        detail,
        retry_after_ms,
    )
