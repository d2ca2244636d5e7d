"""When to order engines, and when to give them back.

Load: trainers whose steps come at a cadence, of which some start, stop or
grow; engines of a data centre that are reclaimed at once, while none can be
had for a while. More is ordered at once, since engines need time to start;
less only once the need has been lower for a while, and only when the engines
that replace those given back serve already. What is needed is known from
steps, so a leader that has seen too few of them orders nothing.
"""

import collections
from collections import abc
import dataclasses
import enum
import math

from poplarloft.coordination.capacity import engine_mix
from poplarloft import state

__all__ = ["CapacityPlanner", "OrderOutcome", "PoolState"]

UTILIZATION = 0.5  # of the slots; the lots of all trainers come together
MIN_ENGINES = 2
GIVE_BACK_AFTER_MS = 15_000
UNAVAILABLE_MS = 10_000
RETRY_MS = 1_000
OVERDUE_MS = 4_000  # beyond the time that an engine needs to start
PRICE_TOLERANCE = 1.1  # a mix that costs less than that more is kept


class OrderOutcome(enum.StrEnum):
    """What became of an order."""

    ACCEPTED = "accepted"
    NONE_LEFT = "none-left"
    SUPERSEDED = "superseded"
    FAILED = "failed"  # refused or not answered; it may arrive later


@dataclasses.dataclass(slots=True)
class PoolState:
    """What is known of a pool.

    Parameters
    ----------
    ready : int
        Number of engines that serve.
    ordered : int
        Number that this planner has last ordered; before, those that serve.
    short_since_ms : int or None
        Since when fewer serve than were ordered.
    """

    ready: int = 0
    ordered: int = 0
    short_since_ms: int | None = None
    is_ordered: bool = False

    def update(self, ready: int, now_ms: int, start_ms: int) -> None:
        """Set how many serve; give up those that are overdue.

        They were lost, reclaimed or never came, and may be ordered again.
        """
        self.ready = ready
        if not self.is_ordered:
            self.ordered = ready
        if ready >= self.ordered:
            self.short_since_ms = None
            return
        if self.short_since_ms is None:
            self.short_since_ms = now_ms
        if now_ms - self.short_since_ms > start_ms + OVERDUE_MS:
            self.ordered = ready
            self.short_since_ms = None


class CapacityPlanner:
    """Decide on the orders for one service.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    service : str
        The service.
    """

    def __init__(self, clock: state.Clock, service: str) -> None:
        self.clock = clock
        self.service = service
        self.scaling: state.EngineScaling | None = None
        self.pools: dict[state.EnginePool, PoolState] = {}
        self.needs: collections.deque[tuple[int, int]] = collections.deque()
        self.unavailable_until_ms: dict[state.EnginePool, int] = {}
        self.not_before_ms = 0
        self.wanted: engine_mix.EngineMix | None = None
        self.is_superseded = False
        self.last_mix: tuple[object, engine_mix.EngineMix] | None = None

    def update(
        self,
        scaling: state.EngineScaling,
        ready: abc.Mapping[state.EnginePool, int],
        busy_slots: float | None,
        slots: int,
    ) -> None:
        """Set what is known now.

        Parameters
        ----------
        scaling : state.EngineScaling
            What may be ordered.
        ready : mapping of state.EnginePool to int
            Engines that serve and do not leave.
        busy_slots : float or None
            Slots that are busy on average; None if that is not known.
        slots : int
            Slots of an engine.
        """
        self.scaling = scaling
        now_ms = self.clock.now_ms()
        for pool in {*self.pools, *ready}:
            count = ready.get(pool, 0)
            known = self.pools.setdefault(pool, PoolState(count, count))
            known.update(count, now_ms, scaling.start_ms)
        if busy_slots is None:
            self.needs.clear()
            return
        engines = math.ceil(busy_slots / UTILIZATION / max(1, slots))
        self.needs.append((now_ms, max(MIN_ENGINES, engines)))
        while self.needs[0][0] < now_ms - GIVE_BACK_AFTER_MS:
            self.needs.popleft()

    @property
    def needed(self) -> int | None:
        """Engines needed, the most of the last while; None if unknown."""
        return max((need for _, need in self.needs), default=None)

    def next_orders(self) -> list[state.EngineOrder]:
        """Return the orders to send now, increases first."""
        now_ms = self.clock.now_ms()
        needed, scaling = self.needed, self.scaling
        if needed is None or scaling is None or self.is_superseded:
            return []
        if now_ms < self.not_before_ms:
            return []
        wanted = self._wanted_mix(needed, scaling)
        self.wanted = wanted
        orders = []
        for pool in sorted({*wanted.counts, *self.pools}, key=str):
            count = wanted.counts.get(pool, 0)
            known = self.pools.setdefault(pool, PoolState())
            if count > known.ordered:
                orders.append(state.EngineOrder(pool, count))
        if orders:
            return orders
        return self._reductions(wanted, needed)

    def on_outcome(
        self, order: state.EngineOrder, outcome: OrderOutcome
    ) -> None:
        """Record what became of an order."""
        now_ms = self.clock.now_ms()
        known = self.pools.setdefault(order.pool, PoolState())
        match outcome:
            case OrderOutcome.ACCEPTED:
                known.ordered = order.count
                known.is_ordered = True
                known.short_since_ms = None
            case OrderOutcome.NONE_LEFT:
                self.unavailable_until_ms[order.pool] = now_ms + UNAVAILABLE_MS
            case OrderOutcome.SUPERSEDED:
                self.is_superseded = True
            case OrderOutcome.FAILED:
                self.not_before_ms = now_ms + RETRY_MS

    def _wanted_mix(
        self, needed: int, scaling: state.EngineScaling
    ) -> engine_mix.EngineMix:
        """Return the mix to have; what is ordered, if that will do."""
        now_ms = self.clock.now_ms()
        unavailable = {
            pool
            for pool, until_ms in self.unavailable_until_ms.items()
            if now_ms < until_ms
        }
        cheapest = self._cheapest_mix(needed, scaling, frozenset(unavailable))
        ordered = engine_mix.EngineMix(
            {
                pool: known.ready if pool in unavailable else known.ordered
                for pool, known in self.pools.items()
            }
        )
        limit = PRICE_TOLERANCE * cheapest.price(scaling)
        if ordered.is_enough(needed) and ordered.price(scaling) <= limit:
            return ordered
        return cheapest

    def _cheapest_mix(
        self,
        needed: int,
        scaling: state.EngineScaling,
        unavailable: frozenset[state.EnginePool],
    ) -> engine_mix.EngineMix:
        """Return the cheapest mix, worked out once for the same terms."""
        terms = (needed, scaling, unavailable)
        if self.last_mix is None or self.last_mix[0] != terms:
            mix = engine_mix.cheapest_mix(
                self.service, scaling, needed, unavailable
            )
            self.last_mix = (terms, mix)
        return self.last_mix[1]

    def _reductions(
        self, wanted: engine_mix.EngineMix, needed: int
    ) -> list[state.EngineOrder]:
        """Return the next order for fewer engines, if there is one.

        Engines are given back one at a time, as long as those that serve
        are enough without it.
        """
        for pool in sorted(self.pools, key=str):
            known = self.pools[pool]
            count = wanted.counts.get(pool, 0)
            if count >= known.ordered or not known.ready:
                continue
            left = {p: row.ready for p, row in self.pools.items()}
            left[pool] -= 1
            if engine_mix.EngineMix(left).is_enough(needed):
                return [state.EngineOrder(pool, known.ordered - 1)]
        return []
