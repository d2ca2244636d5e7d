"""Orders for engines while demand and what can be had change.

The play orders engines for ten minutes, second by second, and is compared
with a plan that knows the demand of every second ahead.
"""

import dataclasses
import math

import pytest

from poplarloft.coordination import capacity
from poplarloft.coordination.capacity import ordering
from poplarloft import state

PRICES = {"a": 0.85, "b": 1.0, "c": 1.2, "d": 0.85, "e": 1.1, "f": 1.2}
SCALING = state.EngineScaling(1, 8, 4_000, PRICES, 0.22)
SLOTS = 6
PLAY_S = 600
SAFE = {state.EnginePool("s", place): 4 for place in PRICES}
Outcome = capacity.OrderOutcome


@dataclasses.dataclass
class Platform:
    """Starts and ends engines as ordered; reclaims those of a place."""

    counts: dict
    starting: list = dataclasses.field(default_factory=list)
    closed: set = dataclasses.field(default_factory=set)

    def order(self, order, now_ms):
        if order.pool in self.closed:
            coming = sum(pool == order.pool for _, pool in self.starting)
            if order.count > self.counts.get(order.pool, 0) + coming:
                return Outcome.NONE_LEFT
        present = self.counts.get(order.pool, 0)
        coming = [row for row in self.starting if row[1] == order.pool]
        more = order.count - present - len(coming)
        if more > 0:
            row = (now_ms + SCALING.start_ms, order.pool)
            self.starting += [row] * more
        elif more < 0:
            self.counts[order.pool] = max(0, present + more)
        return Outcome.ACCEPTED

    def advance(self, now_ms):
        for row in [row for row in self.starting if row[0] <= now_ms]:
            self.starting.remove(row)
            self.counts[row[1]] = self.counts.get(row[1], 0) + 1

    def reclaim(self, place):
        pool = state.EnginePool("s", place, True)
        self.counts[pool] = 0
        self.starting = [row for row in self.starting if row[1] != pool]
        self.closed.add(pool)


def play(demand, events=lambda second, platform: None):
    """Return the cost, the seconds short of engines, and the best cost."""
    clock = state.ManualClock(0)
    platform = Platform(dict(SAFE))
    planner = capacity.CapacityPlanner(clock, "s")
    cost = best = 0.0
    short = 0
    for second in range(PLAY_S):
        platform.advance(clock.now_ms())
        events(second, platform)
        busy = demand(second)
        planner.update(SCALING, platform.counts, busy, SLOTS)
        for order in planner.next_orders():
            outcome = platform.order(order, clock.now_ms())
            planner.on_outcome(order, outcome)
        needed = max(2, math.ceil(busy / ordering.UTILIZATION / SLOTS))
        cost += capacity.EngineMix(platform.counts).price(SCALING)
        best += capacity.cheapest_mix("s", SCALING, needed).price(SCALING)
        # Half of the slots are a reserve: all busy means that items wait.
        short += sum(platform.counts.values()) * SLOTS < busy
        clock.advance(1_000)
    return cost, short, best


def steady(second):
    return 40.0


def doubling(second):
    return 30.0 if second < 200 else 60.0


def with_a_break(second):
    return 0.0 if 200 <= second < 400 else 45.0


def wave(second):
    return 40 + 15 * math.sin(second / 60)


@pytest.mark.parametrize("demand", [steady, doubling, with_a_break, wave])
def test_cost_is_near_that_of_a_plan_that_knows_the_future(demand):
    cost, short, best = play(demand)
    assert cost <= 1.15 * best
    assert short <= PLAY_S / 100


def test_reclaim_of_a_place_leaves_enough_while_none_can_be_had():
    def reclaim(second, platform):
        if second == 300:
            platform.reclaim("a")

    _, short, _ = play(steady, reclaim)
    assert short == 0


def test_places_are_reclaimed_one_after_the_other():
    def reclaim(second, platform):
        if second >= 300 and second % 30 == 0:
            platform.reclaim("abcdef"[(second // 30) % 6])

    _, short, _ = play(steady, reclaim)
    assert short == 0


@pytest.fixture
def planner():
    made = capacity.CapacityPlanner(state.ManualClock(0), "s")
    made.update(SCALING, SAFE, 40.0, SLOTS)
    return made


def test_nothing_is_ordered_in_the_dark():
    planner = capacity.CapacityPlanner(state.ManualClock(0), "s")
    planner.update(SCALING, SAFE, None, SLOTS)
    assert planner.next_orders() == []
    planner.update(SCALING, SAFE, 40.0, SLOTS)
    assert planner.next_orders()
    planner.update(SCALING, SAFE, None, SLOTS)
    assert planner.next_orders() == []


def test_engines_are_given_back_only_once_others_serve(planner):
    for order in planner.next_orders():
        assert order.pool.is_reclaimable
        planner.on_outcome(order, Outcome.ACCEPTED)
    planner.update(SCALING, SAFE, 500.0, SLOTS)
    assert all(order.count > 4 for order in planner.next_orders())


def test_reductions_come_one_at_a_time(planner):
    ready = dict(SAFE)
    for order in planner.next_orders():
        planner.on_outcome(order, Outcome.ACCEPTED)
        ready[order.pool] = order.count
    planner.update(SCALING, ready, 40.0, SLOTS)
    (order,) = planner.next_orders()
    assert order.count == 3


def test_order_without_an_answer_is_repeated(planner):
    order = planner.next_orders()[0]
    planner.on_outcome(order, Outcome.FAILED)
    assert planner.next_orders() == []
    planner.clock.advance(ordering.RETRY_MS)
    assert order in planner.next_orders()


def test_engines_that_never_come_are_ordered_again(planner):
    orders = planner.next_orders()
    for order in orders:
        planner.on_outcome(order, Outcome.ACCEPTED)
    planner.update(SCALING, SAFE, 40.0, SLOTS)
    planner.clock.advance(SCALING.start_ms + ordering.OVERDUE_MS + 1)
    planner.update(SCALING, SAFE, 40.0, SLOTS)
    assert planner.next_orders() == orders


def test_superseded_leader_orders_nothing_more(planner):
    order = planner.next_orders()[0]
    planner.on_outcome(order, Outcome.SUPERSEDED)
    assert planner.next_orders() == []


def test_engines_that_are_announced_one_by_one_are_not_ordered_again():
    planner = capacity.CapacityPlanner(state.ManualClock(0), "s")
    planner.update(SCALING, dict.fromkeys(SAFE, 1), None, SLOTS)
    planner.update(SCALING, SAFE, 60.0, SLOTS)
    assert all(o.pool.is_reclaimable for o in planner.next_orders())
