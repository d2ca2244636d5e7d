"""Outputs continue only at the software version that began them."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st
import pytest

from poplarloft.coordination import serving
from poplarloft import state

ITEM = state.LotItem("i", "/l/1", (), b"", 71 * 30, "g", 0)
LOT = state.Lot("a", "h", "/l/x", "m", 0, 1, 1, (ITEM,))
ROUTE = state.PathRoute(
    "r", "h", "/l/", state.RouteKind.LOTS, (state.Target("pool"),)
)
START_MS = 1_000


def engine(name, version, born_ms=1, slots=1):
    address = state.Address("127.0.0.1", 1)
    return state.Sampler(
        name,
        born_ms,
        "pool",
        address,
        "z",
        slots,
        versions={"m": 1},
        software_version=version,
    )


def begun(sampler, events=5):
    """Return an output with some events of an engine."""
    output = serving.ItemOutput(ITEM)
    output.begin_run(sampler)
    for number in range(1, events + 1):
        output.append(number, f"{number}", 1)
    return output


@pytest.fixture
def clock():
    return state.ManualClock(START_MS)


@pytest.fixture
def planner(clock):
    return serving.Planner(clock, lambda zone: True)


def plan_output(planner, output):
    """Let the planner continue an output of an ended lot."""
    planner.reusable[ITEM.id] = output
    planner.add_lot(LOT, ROUTE, START_MS, ())


def test_an_output_goes_on_at_its_own_version(planner):
    planner.update_engines([engine("b", "2"), engine("a", "1", slots=2)])
    output = begun(engine("old", "1"))
    plan_output(planner, output)
    (start,) = planner.next_starts()
    assert start.sampler.name == "a"
    output.begin_run(start.sampler)
    assert len(output.events) == 5


def test_an_output_waits_for_a_busy_engine_of_its_version(planner, clock):
    planner.update_engines([engine("b", "2"), engine("a", "1")])
    view = planner.engines["a", 1]
    view.running.add(0)
    output = begun(engine("old", "1"))
    plan_output(planner, output)
    assert planner.next_starts() == []
    view.running.clear()
    (start,) = planner.next_starts()
    assert start.sampler.name == "a"


def test_an_output_waits_no_longer_than_its_events_took(planner, clock):
    planner.update_engines([engine("b", "2"), engine("a", "1")])
    view = planner.engines["a", 1]
    view.running.add(0)
    output = begun(engine("old", "1"))
    plan_output(planner, output)
    assert planner.next_starts() == []
    clock.advance(5 * int(view.event_interval_ms))
    (start,) = planner.next_starts()
    assert (start.sampler.name, output.events) == ("b", [])


def test_an_output_without_an_engine_of_its_version_begins_anew(planner):
    planner.update_engines([engine("b", "2")])
    output = begun(engine("old", "1"))
    plan_output(planner, output)
    (start,) = planner.next_starts()
    output.begin_run(start.sampler)
    assert (output.events, output.software_version) == ([], "2")


def test_an_unknown_version_continues_at_the_same_run_only():
    same = engine("a", "")
    output = begun(same)
    assert output.may_continue_at(same)
    assert not output.may_continue_at(engine("b", ""))
    assert not output.may_continue_at(engine("a", "", born_ms=2))


def test_an_engine_that_restarted_under_its_name_is_noticed(planner):
    planner.update_engines([engine("a", "1")])
    view = planner.engines["a", 1]
    view.running.add(0)
    assert not planner.has_restarted(view)
    planner.update_engines([engine("a", "2", born_ms=2)])
    assert planner.has_restarted(view)


def checkpoint_of(increments):
    collector = serving.CheckpointCollector()
    for increment in increments:
        collector.add(increment)
    return collector.checkpoints[ITEM.id]


def test_a_checkpoint_keeps_the_version(clock):
    plan = serving.CheckpointPlan(clock, 1, 8_000)
    increments = plan.next_increments([begun(engine("a", "1"))])
    restored = checkpoint_of(increments).to_output(ITEM)
    assert len(restored.events) == 5
    assert restored.may_continue_at(engine("b", "1"))
    assert not restored.may_continue_at(engine("a", "2"))


def test_a_checkpoint_without_a_version_begins_anew_unless_complete():
    increment = state.CheckpointIncrement("i", 1, ("1",), (1,), False, "")
    assert checkpoint_of([increment]).to_output(ITEM).events == []
    complete = dataclasses.replace(increment, is_whole=True)
    assert checkpoint_of([complete]).to_output(ITEM).events == ["1"]


@given(before=st.integers(1, 6), after=st.integers(1, 12))
def test_increments_never_join_an_output_with_its_restart(before, after):
    plan = serving.CheckpointPlan(state.ManualClock(), 1, 8_000)
    output = begun(engine("a", "1"), before)
    increments = plan.next_increments([output])
    output.restart()
    output.begin_run(engine("b", "2"))
    for number in range(1, after + 1):
        output.append(number, f"new-{number}", 1)
    increments += plan.next_increments([output])
    assert checkpoint_of(increments).events == output.events
