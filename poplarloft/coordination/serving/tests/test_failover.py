"""Standbys, and the copies of texts they begin with."""

from hypothesis import given
from hypothesis import strategies as st

from poplarloft.coordination import serving
from poplarloft.daemon.serving import standby
from poplarloft import state

ADDRESS = state.Address("127.0.0.1", 1)
RUNNER = state.LeaderRecord("a", 1, ADDRESS)


def following(name="b"):
    clock = state.ManualClock()
    succession = serving.FailoverDetector(clock, name)
    succession.set_leader(RUNNER)
    return clock, succession


def test_heir_takes_over_before_others():
    clock, heir = following("b")
    other = serving.FailoverDetector(clock, "c")
    other.set_leader(RUNNER)
    for candidate in (heir, other):
        candidate.on_heartbeat(state.Heartbeat(1, "b"))
    clock.advance(800)
    assert heir.should_take_over()
    assert not other.should_take_over()
    clock.advance(500)
    assert other.should_take_over()


def test_runner_whose_every_third_beat_comes_keeps_the_duty():
    clock, succession = following()
    for _ in range(20):
        succession.on_heartbeat(state.Heartbeat(1, "b"))
        clock.advance(3 * standby.HEARTBEAT_INTERVAL_MS)
        assert not succession.should_take_over()


def test_silence_goes_on_while_the_store_is_away():
    clock, succession = following()
    succession.on_heartbeat(state.Heartbeat(1, "b"))
    clock.advance(600)
    succession.set_leader(RUNNER)
    clock.advance(200)
    assert succession.should_take_over()


def test_deposed_daemon_waits_for_the_lease():
    clock, succession = following()
    succession.on_replaced()
    succession.set_leader(RUNNER)
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
    plan = serving.CheckpointPlan(clock, 12, 8_000)
    text = serving.ItemOutput(item("i"))
    written = []
    for growth in growths:
        clock.advance(data.draw(st.integers(500, 9_000)))
        if plan.begin_generation_if_due():
            written = []
        for _ in range(growth):
            number = len(text.events) + 1
            text.append(number, f"e{number}", 1)
        pieces = plan.pieces([text])
        if data.draw(st.booleans()):
            written += pieces
        elif pieces:
            plan.restart_generation()
    found = serving.CheckpointCollector()
    for piece in written:
        found.add(piece)
    if "i" in found.checkpoints:
        copied = found.checkpoints["i"].to_output(text.item)
        assert copied.events == text.events[: len(copied.events)]


def test_gap_in_pieces_drops_the_copy():
    found = serving.CheckpointCollector()
    found.add(state.OutputCheckpoint("i", 1, ("a",), (1,), False, ""))
    found.add(state.OutputCheckpoint("i", 3, ("c",), (1,), False, ""))
    assert found.checkpoints == {}


def test_scored_copy_needs_no_further_run():
    found = serving.CheckpointCollector()
    found.add(state.OutputCheckpoint("i", 1, ("a", "b"), (2,), True, "s"))
    text = found.checkpoints["i"].to_output(item("i"))
    assert text.stage is serving.Stage.SCORED
    assert text.result().text == "a\nb"


def test_a_free_duty_is_left_to_who_runs_the_lots_already():
    clock, succession = following()
    assert not succession.has_provisional_leader()
    succession.on_heartbeat(state.Heartbeat(7, "b"))
    assert not succession.has_provisional_leader()
    succession.on_heartbeat(state.Heartbeat(0, ""))
    assert succession.has_provisional_leader()
    clock.advance(501)
    assert not succession.has_provisional_leader()
