"""Failover to standbys, and the checkpoints they start from."""

from hypothesis import given
from hypothesis import strategies as st

from poplarloft.coordination import serving
from poplarloft.daemon.serving.leadership import standby
from poplarloft import state

ADDRESS = state.Address("127.0.0.1", 1)
LEADER = state.LeaderRecord("a", 1, ADDRESS)


def following(name="b"):
    clock = state.ManualClock()
    detector = serving.FailoverDetector(clock, name)
    detector.set_leader(LEADER)
    return clock, detector


def test_preferred_standby_takes_over_before_others():
    clock, preferred = following("b")
    other = serving.FailoverDetector(clock, "c")
    other.set_leader(LEADER)
    for candidate in (preferred, other):
        candidate.on_heartbeat(state.Heartbeat(1, "b"))
    clock.advance(800)
    assert preferred.should_take_over()
    assert not other.should_take_over()
    clock.advance(500)
    assert other.should_take_over()


def test_leader_keeps_leadership_if_every_third_heartbeat_arrives():
    clock, detector = following()
    for _ in range(20):
        detector.on_heartbeat(state.Heartbeat(1, "b"))
        clock.advance(3 * standby.HEARTBEAT_INTERVAL_MS)
        assert not detector.should_take_over()


def test_timeout_is_not_reset_by_the_same_leader():
    clock, detector = following()
    detector.on_heartbeat(state.Heartbeat(1, "b"))
    clock.advance(600)
    detector.set_leader(LEADER)
    clock.advance(200)
    assert detector.should_take_over()


def test_replaced_leader_waits_for_the_lease():
    clock, detector = following()
    detector.on_replaced()
    detector.set_leader(LEADER)
    clock.advance(9_000)
    assert not detector.should_take_over()
    clock.advance(2_000)
    assert detector.should_take_over()


def test_own_earlier_incarnation_is_replaced_at_once():
    _, detector = following("a")
    assert detector.should_take_over()


def item(item_id):
    return state.LotItem(item_id, "/", (), b"", 1_000, "g")


@given(st.lists(st.integers(0, 30), min_size=1, max_size=12), st.data())
def test_checkpoints_hold_the_output_or_nothing(growths, data):
    clock = state.ManualClock()
    plan = serving.CheckpointPlan(clock, 12, 8_000)
    output = serving.ItemOutput(item("i"))
    written = []
    for growth in growths:
        clock.advance(data.draw(st.integers(500, 9_000)))
        if plan.begin_cycle_if_due():
            written = []
        for _ in range(growth):
            number = len(output.events) + 1
            output.append(number, f"e{number}", 1)
        increments = plan.next_increments([output])
        if data.draw(st.booleans()):
            written += increments
        elif increments:
            plan.restart_cycle()
    collector = serving.CheckpointCollector()
    for increment in written:
        collector.add(increment)
    if "i" in collector.checkpoints:
        restored = collector.checkpoints["i"].to_output(output.item)
        assert restored.events == output.events[: len(restored.events)]


def test_gap_in_increments_drops_the_checkpoint():
    collector = serving.CheckpointCollector()
    collector.add(state.CheckpointIncrement("i", 1, ("a",), (1,), False, ""))
    collector.add(state.CheckpointIncrement("i", 3, ("c",), (1,), False, ""))
    assert collector.checkpoints == {}


def test_scored_checkpoint_needs_no_further_run():
    collector = serving.CheckpointCollector()
    collector.add(
        state.CheckpointIncrement("i", 1, ("a", "b"), (2,), True, "s")
    )
    output = collector.checkpoints["i"].to_output(item("i"))
    assert output.stage is serving.Stage.SCORED
    assert output.result().text == "a\nb"


def test_provisional_leader_is_not_replaced_while_heard():
    clock, detector = following()
    assert not detector.has_provisional_leader()
    detector.on_heartbeat(state.Heartbeat(7, "b"))
    assert not detector.has_provisional_leader()
    detector.on_heartbeat(state.Heartbeat(0, ""))
    assert detector.has_provisional_leader()
    clock.advance(501)
    assert not detector.has_provisional_leader()


def with_others():
    """Return a preferred standby that knows others, heard 600 ms ago."""
    clock, detector = following()
    detector.on_heartbeat(state.Heartbeat(7, "b"))
    detector.has_others = True
    clock.advance(600)
    return clock, detector


def test_standby_that_nobody_answers_waits_for_the_lease():
    clock, detector = with_others()
    assert detector.should_ask()
    clock.advance(60_000)
    assert not detector.should_take_over()


def test_standby_takes_over_once_another_confirms_the_silence():
    _, detector = with_others()
    detector.on_report("c", 550)
    assert detector.should_take_over()


def test_leader_that_another_standby_hears_has_not_failed():
    clock, detector = with_others()
    detector.on_report("c", 80)
    detector.on_report("d", 900)
    assert not detector.should_take_over()
    clock.advance(200)
    detector.on_report("c", 60)
    assert not detector.should_take_over()
    clock.advance(250)
    detector.on_report("c", 310)
    assert detector.should_take_over()


def test_reports_expire_and_newcomers_know_nothing():
    clock, detector = with_others()
    detector.on_report("c", None)
    assert not detector.should_take_over()
    detector.on_report("c", 500)
    clock.advance(700)
    assert not detector.should_take_over()


def test_witnesses_are_those_that_never_lead():
    members = {
        name: state.PeerRecord(
            state.Address("127.0.0.1", 1),
            None,
            state.Address("127.0.0.1", number),
            issues_permits=name.startswith("bulk"),
        )
        for number, name in enumerate(
            [f"bulk-{n}" for n in range(3)] + [f"entry-{n}" for n in range(9)]
        )
    }
    witnesses = serving.rank_witnesses("bulk-0", members)
    assert len(witnesses) == 3
    assert all(address.port >= 3 for address in witnesses)
    assert serving.rank_witnesses("bulk-0", members) == witnesses
    del members["entry-0"]
    kept = set(serving.rank_witnesses("bulk-0", members)) & set(witnesses)
    assert len(kept) >= 2
