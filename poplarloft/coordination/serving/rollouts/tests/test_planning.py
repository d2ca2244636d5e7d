"""Scheduling of items, outputs of ended lots, and weight loads."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st
import pytest

from poplarloft.coordination import serving
from poplarloft import state

ROUTE = state.PathRoute(
    "r", "h", "/l/", state.RouteKind.LOTS, (state.Target("pool"),)
)


def sampler(name, slots=2, version=1, zone="z"):
    address = state.Address("127.0.0.1", 1)
    return state.Sampler(
        name, 1, "pool", address, zone, slots, False, {"m": version}
    )


def lot(items, lot_id="a", min_version=1, events=10):
    return state.Lot(
        lot_id,
        "h",
        "/l/x",
        "m",
        0,
        min_version,
        1,
        tuple(
            state.LotItem(f"i{n}", "/l/1", (), b"", 71 * length, f"g{n}", 0)
            for n, length in enumerate(
                [events] * items if isinstance(items, int) else items
            )
        ),
    )


def made(*samplers):
    clock = state.ManualClock(1_000)
    planner = serving.Planner(clock, lambda zone: zone == "z")
    planner.update_engines(samplers)
    return clock, planner


def test_longest_item_starts_first():
    _, planner = made(sampler("a", slots=1))
    planner.add_lot(lot([3, 90, 20]), ROUTE, 1_000, ())
    assert [s.item_id for s in planner.next_starts()] == ["i1"]


@given(st.integers(1, 12), st.integers(1, 4), st.integers(1, 3))
def test_slots_are_filled_and_never_overfilled(items, slots, engines):
    _, planner = made(*(sampler(f"e{n}", slots) for n in range(engines)))
    planner.add_lot(lot(items), ROUTE, 1_000, ())
    starts = planner.next_starts()
    assert len(starts) == min(items, slots * engines)
    for view in planner.engines.values():
        assert len(view.running) <= slots
    assert planner.next_starts() == []


def test_engine_below_the_oldest_version_gets_no_item():
    _, planner = made(sampler("old", version=1), sampler("new", version=2))
    planner.add_lot(lot(4, min_version=2), ROUTE, 1_000, ())
    assert {s.sampler.name for s in planner.next_starts()} == {"new"}


def test_engine_that_loads_gets_no_item_of_that_model():
    _, planner = made(sampler("a"))
    planner.engines[("a", 1)].loading.add("m")
    planner.add_lot(lot(1), ROUTE, 1_000, ())
    assert planner.next_starts() == []


def test_output_of_an_ended_lot_continues_in_the_next():
    _, planner = made(sampler("a"))
    plan = planner.add_lot(lot(1), ROUTE, 1_000, ())
    output = plan.groups["g0"][0]
    planner.next_starts()
    output.append(1, "one", 2)
    planner.end_lot("a")
    following = planner.add_lot(lot(1, "b", min_version=2), ROUTE, 2_000, ())
    assert following.groups["g0"][0] is output


def test_output_of_an_older_version_is_restarted():
    _, planner = made(sampler("a"))
    plan = planner.add_lot(lot(1), ROUTE, 1_000, ())
    planner.next_starts()
    plan.groups["g0"][0].append(1, "one", 1)
    planner.end_lot("a")
    following = planner.add_lot(lot(1, "b", min_version=2), ROUTE, 2_000, ())
    new_output = following.groups["g0"][0]
    assert (
        new_output.events == [] and new_output.stage is serving.Stage.WAITING
    )


def test_event_out_of_order_is_rejected():
    output = serving.ItemOutput(lot(1).items[0])
    output.append(1, "one", 1)
    with pytest.raises(serving.EventOrderError, match="event 3 after 1"):
        output.append(3, "three", 1)


def loads(planner, loader):
    return [
        (load.sampler.name, load.target.version)
        for load in loader.next_loads(planner.engines)
    ]


def test_half_of_the_engines_load_with_an_allowed_lag_of_one():
    clock, planner = made(*(sampler(f"e{n}") for n in range(4)))
    loader = serving.WeightLoadPlanner(clock)
    loader.update_target(state.WeightsTarget("m", 2))
    loader.update_allowed_lag(lot(1, min_version=1))
    found = loads(planner, loader)
    assert len(found) == 2
    for view in planner.engines.values():
        if view.loading:
            view.versions["m"] = 2
            view.loading.clear()
    assert loads(planner, loader) == []
    loader.update_target(state.WeightsTarget("m", 3))
    behind = {s for s, _ in loads(planner, loader)}
    assert behind == {"e0", "e1", "e2", "e3"} - {s for s, _ in found}


def test_all_engines_load_without_allowed_lag():
    clock, planner = made(*(sampler(f"e{n}") for n in range(5)))
    loader = serving.WeightLoadPlanner(clock)
    loader.update_target(state.WeightsTarget("m", 2))
    loader.update_allowed_lag(lot(1, min_version=2))
    total = set()
    for _ in range(5):
        total |= {s for s, _ in loads(planner, loader)}
        for view in planner.engines.values():
            if view.loading:
                view.versions["m"] = 2
                view.loading.clear()
    assert len(total) == 5


def test_older_version_is_never_loaded():
    clock, planner = made(sampler("a", version=3))
    loader = serving.WeightLoadPlanner(clock)
    loader.update_target(state.WeightsTarget("m", 3))
    loader.update_target(state.WeightsTarget("m", 2))
    assert loads(planner, loader) == []


def test_reusable_output_that_no_lot_continues_is_removed():
    _, planner = made(sampler("a"))
    plan = planner.add_lot(lot(1), ROUTE, 1_000, ())
    output = plan.groups["g0"][0]
    planner.end_lot("a")
    assert planner.reusable == {"i0": output}
    planner.drop_reusable(output)
    assert planner.reusable == {}


def test_engine_that_lost_a_run_gets_one_item_at_a_time():
    clock, planner = made(sampler("a", slots=4))
    planner.add_lot(lot(6), ROUTE, 1_000, ())
    first = planner.next_starts()
    view = planner.engines[("a", 1)]
    for start in first:
        view.running.discard(start.run_id)
        planner.on_engine_failure(view, is_lost=True)
    planner.lots["a"].groups["g0"][0].stage = serving.Stage.WAITING
    probe = planner.next_starts()
    assert len(probe) == 1
    assert planner.next_starts() == []
    view.end_backoff()
    assert len(planner.next_starts()) >= 1


def test_backoff_of_an_engine_grows_with_each_loss():
    clock, planner = made(sampler("a", slots=4))
    view = planner.engines[("a", 1)]
    backoffs = []
    for _ in range(6):
        clock.advance(5_000)
        planner.on_engine_failure(view, is_lost=True)
        now_ms = clock.now_ms()
        backoffs.append(view.backoff_until_ms - now_ms)
        assert view.may_start(now_ms) == (backoffs[-1] <= 0)
    assert backoffs[1:] == [500, 1_000, 2_000, 4_000, 4_000]


def test_items_go_to_engines_without_losses():
    clock, planner = made(sampler("a", slots=9), sampler("b", slots=9))
    view = planner.engines[("a", 1)]
    for _ in range(2):
        clock.advance(400)
        planner.on_engine_failure(view, is_lost=True)
    planner.add_lot(lot(6), ROUTE, clock.now_ms(), ())
    assert {s.sampler.name for s in planner.next_starts()} == {"b"}


def test_engine_that_refuses_a_run_does_not_back_off():
    clock, planner = made(sampler("a", slots=9))
    view = planner.engines[("a", 1)]
    planner.on_engine_failure(view, is_lost=False)
    assert view.may_start(clock.now_ms())


def finished(planner, count):
    """Finish the first `count` groups of lot a."""
    plan = planner.lots["a"]
    for number in range(count):
        for output in plan.groups[f"g{number}"]:
            output.stage = serving.Stage.SCORED
    return plan


def test_results_are_batched_until_the_trainer_has_enough():
    clock, planner = made(sampler("a"))
    four = lot(4)
    planner.add_lot(
        dataclasses.replace(four, groups_wanted=3), ROUTE, 1_000, ()
    )
    assert not finished(planner, 2).should_write_now(clock.now_ms())
    assert finished(planner, 3).should_write_now(clock.now_ms())


def test_results_of_a_lot_due_soon_are_written_at_once():
    clock, planner = made(sampler("a"))
    planner.add_lot(
        dataclasses.replace(lot(4), groups_wanted=4), ROUTE, 1_000, ()
    )
    clock.advance(ROUTE.due_ms - 1_400)
    assert finished(planner, 1).should_write_now(clock.now_ms())


def test_groups_recorded_before_count_as_complete():
    clock, planner = made(sampler("a"))
    planner.add_lot(
        dataclasses.replace(lot(4), groups_wanted=3),
        ROUTE,
        1_000,
        ("i0", "i1"),
    )
    plan = planner.lots["a"]
    assert not plan.should_write_now(clock.now_ms())
    plan.groups["g2"][0].stage = serving.Stage.SCORED
    assert plan.should_write_now(clock.now_ms())
