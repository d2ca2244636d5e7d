"""Runs of items that are cancelled, on engines that have room."""

import pytest

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
