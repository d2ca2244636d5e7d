"""Runs of items that are cancelled, on engines that have room."""

import asyncio

import pytest
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.rollouts import generation
from poplarloft.daemon import tasks
from poplarloft import state

ENGINE = state.Sampler(
    "e", 1, "pool", state.Address("127.0.0.1", 1), "z", 4, versions={"m": 1}
)


@pytest.fixture
def planner():
    planner = serving.Planner(state.ManualClock(), lambda _: True)
    item = state.LotItem("i", "/l/i", (), b"", 10, "g", 1)
    lot = state.Lot("lot", "h", "/l/", "m", 0, 1, 1, (item,))
    target = state.Target("pool")
    route = state.PathRoute(
        "lots", "h", "/l/", state.RouteKind.LOTS, (target,)
    )
    planner.add_lot(lot, route, 0, ())
    planner.update_engines([ENGINE])
    return planner


async def test_an_item_is_placed_again_if_its_run_never_began(planner):
    generator = generation.OutputGenerator(
        planner.clock, None, planner, tasks.TaskSet(), None
    )
    (start,) = planner.next_starts()
    generator.start(start)
    generator.cancel("i")
    await generator.task_set.cancel_all()
    assert planner.engines[ENGINE.engine_id].running == set()
    assert [start.item_id for start in planner.next_starts()] == ["i"]


class Client:
    """Counts what is started; a probe tells what it is told to."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.probes = 0
        self.started = asyncio.Event()

    async def probe(self, sampler, new_connection):
        self.probes += 1
        return self.outcome

    async def start_item(self, *call):
        self.started.set()
        await asyncio.Event().wait()


class Limits:
    async def acquire(self, sampler, need):
        return result.Success(None)


def generator_at(planner, outcome):
    made = generation.OutputGenerator(
        planner.clock, Client(outcome), planner, tasks.TaskSet(), Limits()
    )
    made.replaced = []
    made.on_replaced = made.replaced.append
    return made


async def ended(generator):
    """Wait until the run of the only item has ended."""
    async with asyncio.timeout(5):
        await asyncio.wait([generator.runs["i"].task])


def begun_output(planner):
    """Return the output, with an event of the announced run."""
    output = planner.lots["lot"].groups["g"][0]
    output.begin_run(ENGINE)
    output.append(1, "text", 1)
    return output


async def test_an_output_does_not_continue_at_another_run(planner):
    begun_output(planner)
    generator = generator_at(planner, state.ProbeOutcome.OTHER_RUN)
    generator.start(*planner.next_starts())
    await ended(generator)
    assert not generator.client.started.is_set()
    assert generator.replaced == [ENGINE]


async def test_an_output_continues_at_the_same_run(planner):
    output = begun_output(planner)
    generator = generator_at(planner, state.ProbeOutcome.SAME_RUN)
    generator.start(*planner.next_starts())
    async with asyncio.timeout(5):
        await generator.client.started.wait()
    assert len(output.events) == 1
    await generator.task_set.cancel_all()


async def test_after_a_lost_connection_the_run_is_asked_for(planner):
    planner.engines[ENGINE.engine_id].on_connection_lost(0)
    generator = generator_at(planner, state.ProbeOutcome.OTHER_RUN)
    generator.start(*planner.next_starts())
    await ended(generator)
    assert not generator.client.started.is_set()


async def test_new_items_cost_no_probe(planner):
    generator = generator_at(planner, state.ProbeOutcome.SAME_RUN)
    generator.start(*planner.next_starts())
    async with asyncio.timeout(5):
        await generator.client.started.wait()
    assert not generator.client.probes
    await generator.task_set.cancel_all()
