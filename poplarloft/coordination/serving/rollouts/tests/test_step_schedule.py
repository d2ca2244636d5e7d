"""Engine time between trainers of which some are behind."""

import pytest

from poplarloft.coordination import serving
from poplarloft.coordination.serving.rollouts import step_schedule
from poplarloft.coordination.serving.rollouts.tests import step_play

PLAY_S = 60
STEPS = 15
SLOW_MS = (16_000, 24_000)
LONG_TRAINING = {3: 8_000}


def play(load, delayed=None, slow=SLOW_MS, seed=1):
    """Return the trainers of a play, and how late each is at its end."""
    trainers = step_play.four_trainers()
    if delayed is not None:
        trainers[delayed].delays_ms = LONG_TRAINING
    slots = step_play.slots_for(trainers, load)
    played = step_play.Play(trainers, slots, slow, seed)
    played.advance(PLAY_S)
    return played


@pytest.mark.parametrize("delayed", [None, 0, 1, 2, 3])
def test_with_room_for_all_every_step_is_asked_for_in_time(delayed):
    played = play(0.9, delayed)
    assert played.steps_asked() == [STEPS] * 4
    assert max(played.lags_ms()) == 0


@pytest.mark.parametrize("delayed", [None, 0, 1, 2, 3])
@pytest.mark.parametrize("seed", [1, 2])
def test_without_room_for_all_none_is_a_step_behind_another(delayed, seed):
    played = play(1.1, delayed, seed=seed)
    lags_ms = played.lags_ms()
    assert max(lags_ms) - min(lags_ms) < step_play.CADENCE_MS
    assert min(played.steps_asked()) >= STEPS - 1


def test_engine_time_is_not_spent_on_groups_that_nobody_waits_for():
    """Surplus groups are what is over the room here."""
    trainers = [
        step_play.Trainer("a", 8, 8, 15, 6),
        step_play.Trainer("b", 8, 8, 15, 6),
    ]
    slots = step_play.slots_for(trainers, 1.2)
    played = step_play.Play(trainers, slots)
    played.advance(PLAY_S)
    assert played.steps_asked() == [STEPS] * 2


def test_surplus_groups_are_generated_where_there_is_room():
    trainers = [step_play.Trainer("a", 2, 2, 10, 1)]
    played = step_play.Play(trainers, 4)
    played.tick()
    assert len(played.runs) == 4


def ask(schedule, times_ms, first=0):
    """Return what is scheduled for steps accepted at these times."""
    return [
        schedule.on_step("a", number, time_ms)
        for number, time_ms in enumerate(times_ms, first)
    ]


def test_a_late_step_is_scheduled_at_the_cadence():
    schedule = step_schedule.StepSchedule()
    times_ms = [0, 4_000, 8_000, 12_000, 18_000, 20_500]
    assert ask(schedule, times_ms)[-2:] == [16_000, 20_000]


def test_steps_that_come_in_pairs_have_a_cadence():
    schedule = step_schedule.StepSchedule()
    times_ms = [0, 4_000, 8_000, 12_000, 20_000, 20_200, 28_000, 28_200]
    times_ms += [36_000, 36_200]
    assert ask(schedule, times_ms)[-2:] == [32_000, 36_000]


def test_a_trainer_of_few_steps_is_taken_to_be_in_time():
    schedule = step_schedule.StepSchedule()
    assert ask(schedule, [0, 4_000, 13_000]) == [0, 4_000, 13_000]


def test_a_trainer_that_starts_anew_is_not_behind():
    schedule = step_schedule.StepSchedule()
    ask(schedule, [0, 4_000, 8_000, 12_000])
    assert ask(schedule, [60_000, 64_000]) == [60_000, 64_000]


def test_a_long_break_does_not_put_a_trainer_before_all_others():
    schedule = step_schedule.StepSchedule()
    times_ms = [0, 4_000, 8_000, 12_000, 99_000]
    assert ask(schedule, times_ms)[-1] == 99_000 - 8_000


def test_steps_whose_records_are_gone_do_not_count_as_a_delay():
    """A new leader knows the open lots and some of the ended ones."""
    schedule = step_schedule.StepSchedule()
    for number in (3, 4, 7, 8, 9):
        scheduled_ms = schedule.on_step("a", number, 4_000 * number)
    assert scheduled_ms == 36_000


def test_steps_may_become_known_in_any_order():
    """A new leader reads the records of lots in no order."""
    schedule = step_schedule.StepSchedule()
    for number in (2, 0, 3, 1):
        schedule.on_step("a", number, 4_000 * number)
    assert schedule.on_step("a", 4, 17_500) == 16_000
    assert schedule.on_step("a", 4, 17_500) == 16_000


def test_items_of_one_model_belong_to_trainers_by_account():
    planner = serving.Planner(step_play.state.ManualClock(), lambda _: True)
    trainer = step_play.Trainer("m", 1, 1, 10, 1)
    lot = trainer.lot(0, step_play.random.Random(1))
    plan = planner.add_lot(lot, step_play.ROUTE, 0, ())
    assert plan.trainer == "/r/m"
