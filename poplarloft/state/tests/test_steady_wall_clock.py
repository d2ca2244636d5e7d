"""Unix time on machines whose clocks are stepped."""

from poplarloft import state

START_MS = 1_700_000_000_000


def run(clock, wall, boot, seconds):
    for _ in range(seconds):
        for part in (wall, boot):
            part.advance(1_000)
        clock.now_ms()


def test_steps_that_do_not_last_change_nothing():
    wall, boot = state.ManualClock(START_MS), state.ManualClock(500)
    clock = state.SteadyWallClock(wall, boot)
    run(clock, wall, boot, 20)
    wall.advance(2_000)
    run(clock, wall, boot, 10)
    assert clock.now_ms() == START_MS + 30_000


def test_correction_that_lasts_is_followed():
    wall, boot = state.ManualClock(START_MS), state.ManualClock(500)
    clock = state.SteadyWallClock(wall, boot)
    run(clock, wall, boot, 60)
    wall.advance(2_000)
    run(clock, wall, boot, 60)
    assert clock.now_ms() == START_MS + 122_000


def test_time_passes_while_the_machine_is_suspended():
    wall, boot = state.ManualClock(START_MS), state.ManualClock(500)
    clock = state.SteadyWallClock(wall, boot)
    run(clock, wall, boot, 5)
    for part in (wall, boot):
        part.advance(30_000)
    assert clock.now_ms() == START_MS + 35_000
