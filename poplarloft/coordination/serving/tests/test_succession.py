"""Standbys, and the copies of texts they begin with."""

from hypothesis import given
from hypothesis import strategies as st

from poplarloft.coordination import serving
from poplarloft.daemon.serving import standby
from poplarloft import state

ADDRESS = state.Address("127.0.0.1", 1)
RUNNER = state.RunnerRecord("a", 1, ADDRESS)


def following(name="b"):
    clock = state.ManualClock()
    succession = serving.Succession(clock, name)
    succession.follow(RUNNER)
    return clock, succession


def test_heir_takes_over_before_others():
    clock, heir = following("b")
    other = serving.Succession(clock, "c")
    other.follow(RUNNER)
    for candidate in (heir, other):
        candidate.on_beat(state.Beat(1, "b"))
    clock.advance(800)
    assert heir.should_take_over()
    assert not other.should_take_over()
    clock.advance(500)
    assert other.should_take_over()


def test_runner_whose_every_third_beat_comes_keeps_the_duty():
    clock, succession = following()
    for _ in range(20):
        succession.on_beat(state.Beat(1, "b"))
        clock.advance(3 * standby.HEARTBEAT_INTERVAL_MS)
        assert not succession.should_take_over()


def test_silence_goes_on_while_the_store_is_away():
    clock, succession = following()
    succession.on_beat(state.Beat(1, "b"))
    clock.advance(600)
    succession.follow(RUNNER)
    clock.advance(200)
    assert succession.should_take_over()


def test_deposed_daemon_waits_for_the_lease():
    clock, succession = following()
    succession.on_deposed()
    succession.follow(RUNNER)
    clock.advance(9_000)
    assert not succession.should_take_over()
    clock.advance(2_000)
    assert succession.should_take_over()


def test_own_earlier_start_is_followed_at_once():
    _, succession = following("a")
    assert succession.should_take_over()


def item(item_id):
    return state.LotItem(item_id, "/", (), b"", 1_000, "g")


@given(st.lists(st.integers(0, 30), min_size=1, max_size=12), st.data())
def test_copies_hold_the_text_or_nothing(growths, data):
    clock = state.ManualClock()
    plan = serving.CopyPlan(clock, 12, 8_000)
    text = serving.ItemText(item("i"))
    written = []
    for growth in growths:
        clock.advance(data.draw(st.integers(500, 9_000)))
        if plan.begins_generation():
            written = []
        for _ in range(growth):
            number = len(text.events) + 1
            text.append(number, f"e{number}", 1)
        pieces = plan.pieces([text])
        if data.draw(st.booleans()):
            written += pieces
        elif pieces:
            plan.restart()
    found = serving.Inheritance()
    for piece in written:
        found.take(piece)
    if "i" in found.copies:
        copied = found.copies["i"].to_text(text.item)
        assert copied.events == text.events[: len(copied.events)]


def test_gap_in_pieces_drops_the_copy():
    found = serving.Inheritance()
    found.take(state.HeldText("i", 1, ("a",), (1,), False, ""))
    found.take(state.HeldText("i", 3, ("c",), (1,), False, ""))
    assert found.copies == {}


def test_scored_copy_needs_no_further_run():
    found = serving.Inheritance()
    found.take(state.HeldText("i", 1, ("a", "b"), (2,), True, "s"))
    text = found.copies["i"].to_text(item("i"))
    assert text.stage is serving.Stage.SCORED
    assert text.result().text == "a\nb"


def test_a_free_duty_is_left_to_who_runs_the_lots_already():
    clock, succession = following()
    assert not succession.leaves_to_other()
    succession.on_beat(state.Beat(7, "b"))
    assert not succession.leaves_to_other()
    succession.on_beat(state.Beat(0, ""))
    assert succession.leaves_to_other()
    clock.advance(501)
    assert not succession.leaves_to_other()
