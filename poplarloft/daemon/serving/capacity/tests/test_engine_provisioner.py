"""Orders for engines as the leader sends them, without a network."""

import asyncio
import collections
import types

import pytest

from poplarloft.coordination import serving
from poplarloft.daemon.serving.capacity import engine_provisioner
from poplarloft.platform import infrastructure
from poplarloft import state

CADENCE_MS = 4_000
EVENTS = 1_000
EVENT_MS = 4.0  # ten times as quick as an engine is taken for unmeasured
SCALING = state.EngineScaling(0, 8, 1_000, {"a": 1.0, "b": 2.0}, 0.2)
SERVICE = state.ServiceInfo("pool", 50, slots=4, scaling=SCALING)
ENGINES = [
    state.Sampler(
        f"e{n}", 1, "pool", state.Address("127.0.0.1", 1), "a", slots=4
    )
    for n in range(2)
]


class Platform:
    """Takes orders, or fails as told."""

    def __init__(self):
        self.orders = []
        self.status = 200
        self.answers = True

    async def order_engines(self, order, fence, timeout_ms):
        self.orders.append(order)
        if not self.answers:
            await asyncio.sleep(timeout_ms)
        return self.status


class Leadership:
    """May order for as long as told."""

    fence = 7
    time_ms = 5_000

    def order_time_ms(self):
        return self.time_ms


class Leader:
    """A provisioner and what it is told."""

    def __init__(self):
        self.clock = state.ManualClock(100_000)
        self.planner = types.SimpleNamespace(
            engines={
                engine.name: serving.EngineView(engine, {"m": 1})
                for engine in ENGINES
            }
        )
        self.registry = types.SimpleNamespace(
            of_service=lambda service: ENGINES
        )
        views = types.SimpleNamespace(
            operator=types.SimpleNamespace(configuration=None),
            samplers=types.SimpleNamespace(registry=self.registry),
        )
        self.platform, self.leadership = Platform(), Leadership()
        self.provisioner = engine_provisioner.EngineProvisioner(
            self.clock, views, self.planner, self.platform, self.leadership
        )

    def ask(self, steps):
        """Open lots of one trainer at its cadence."""
        output = types.SimpleNamespace(remaining_events=lambda: EVENTS)
        for _ in range(steps):
            plan = types.SimpleNamespace(
                trainer="x/lots/m",
                route=types.SimpleNamespace(targets=(state.Target("pool"),)),
                accepted_at_ms=self.clock.now_ms(),
                groups={"g": [output] * 8},
            )
            self.provisioner.on_planned(plan)
            self.clock.advance(CADENCE_MS)

    def measure(self):
        for view in self.planner.engines.values():
            view.on_event(EVENT_MS)

    async def order(self):
        """Return what is ordered now, by pool."""
        before = len(self.platform.orders)
        await self.provisioner.order(SERVICE)
        return collections.Counter(
            {o.pool: o.count for o in self.platform.orders[before:]}
        )


@pytest.fixture
def leader():
    return Leader()


async def test_steps_from_before_a_measure_count_at_the_measured_pace(leader):
    leader.ask(4)  # 8 slots busy at 4 ms an event, 100 at the assumed 50 ms
    assert not await leader.order()
    leader.measure()
    ordered = await leader.order()
    assert any(pool.is_reclaimable for pool in ordered)
    assert 0 < ordered.total() <= 8


async def test_a_leader_that_may_not_order_does_not(leader):
    leader.ask(4)
    leader.measure()
    leader.leadership.time_ms = 0
    assert not await leader.order()


async def test_an_order_without_an_answer_is_repeated(leader, monkeypatch):
    monkeypatch.setattr(engine_provisioner, "CALL_TIMEOUT_MS", 10)
    leader.ask(4)
    leader.measure()
    leader.platform.answers = False
    first = await leader.order()
    leader.platform.answers = True
    assert not await leader.order()  # not at once
    leader.clock.advance(1_500)
    assert await leader.order() == first


async def test_where_none_are_left_others_are_ordered(leader):
    leader.ask(4)
    leader.measure()
    leader.platform.status = 409
    refused = await leader.order()
    leader.platform.status = 200
    ordered = await leader.order()
    assert ordered
    assert not set(ordered) & set(refused)


async def test_an_error_of_the_platform_is_no_refusal(leader):
    leader.ask(4)
    leader.measure()
    leader.platform.status = infrastructure.NO_ANSWER
    first = await leader.order()
    leader.platform.status = 200
    leader.clock.advance(1_500)
    assert await leader.order() == first
