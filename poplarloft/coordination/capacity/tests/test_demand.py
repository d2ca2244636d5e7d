"""What trainers need, learned from their steps."""

import pytest

from poplarloft.coordination import capacity
from poplarloft import state


@pytest.fixture
def clock():
    return state.ManualClock(100_000)


INTERVAL_MS = 40.0


def ask(meter, clock, steps, trainer="a", cadence_ms=4_000, events=2_000):
    for _ in range(steps):
        now_ms = clock.now_ms()
        meter.on_step(capacity.Step(trainer, "pool", now_ms, events))
        clock.advance(cadence_ms)


def test_work_over_the_cadence_is_what_is_busy(clock):
    meter = capacity.DemandMeter(clock)
    ask(meter, clock, 4)
    assert meter.is_known("pool")
    assert meter.busy_slots("pool", INTERVAL_MS) == 20


def test_too_few_steps_tell_nothing(clock):
    meter = capacity.DemandMeter(clock)
    assert not meter.is_known("pool")
    ask(meter, clock, 2)
    assert not meter.is_known("pool")
    ask(meter, clock, 1)
    assert meter.is_known("pool")
    ask(meter, clock, 1, trainer="b")
    assert not meter.is_known("pool")


def test_trainers_that_have_stopped_need_nothing(clock):
    meter = capacity.DemandMeter(clock)
    ask(meter, clock, 4)
    clock.advance(20_000)
    assert meter.busy_slots("pool", INTERVAL_MS) == 0


def test_steps_that_are_made_up_for_do_not_count_as_a_faster_cadence(clock):
    meter = capacity.DemandMeter(clock)
    ask(meter, clock, 2)
    clock.advance(8_000)
    ask(meter, clock, 2, cadence_ms=500)
    clock.advance(3_000)
    ask(meter, clock, 2)
    assert meter.busy_slots("pool", INTERVAL_MS) <= 21


def test_engines_that_turn_out_quicker_need_less_time_for_past_steps(clock):
    meter = capacity.DemandMeter(clock)
    ask(meter, clock, 4)
    assert meter.busy_slots("pool", 4.0) == 2
