"""One count a window, whoever decides and however calls are lost."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from poplarloft.coordination import metering
from poplarloft import state

ADDRESS = state.Address("127.0.0.1", 1)
RULES = metering.MeteringRules(window_ms=5_000, due_ms=10_000)
START_MS = 1_000_000  # window 200 begins
Outcome = metering.ReportOutcome


def notice(window, counts, name="front", started_at_ms=1):
    rows = (state.WindowCounts(window, counts),)
    return state.UsageNotice(name, started_at_ms, 1, ADDRESS, rows)


@pytest.fixture
def clock():
    return state.ManualClock(START_MS)


@pytest.fixture
def ledger(clock):
    made = metering.WindowLedger(clock, RULES)
    made.begin([])
    return made


def test_window_is_decided_after_its_end_and_reported_as_recorded(
    ledger, clock
):
    ledger.on_notice(notice(200, {"a": 2}))
    ledger.on_notice(notice(200, {"a": 1, "b": 1}, name="other"))
    clock.advance(RULES.window_ms)
    assert ledger.next_action() is None
    clock.advance(ledger.wait_ms())
    action = ledger.next_action()
    assert action.record == state.MeterRecord(200, {"a": 3, "b": 1})
    ledger.on_recorded(action.record)
    report = ledger.next_action()
    assert report == metering.ReportWindow(200, {"a": 3, "b": 1})
    ledger.on_reported(200, Outcome.ACCEPTED)
    assert ledger.next_action() is None
    assert clock.now_ms() <= RULES.end_ms(200) + RULES.due_ms / 2


def test_notices_may_be_repeated_and_overtake_each_other(ledger, clock):
    for count in (1, 3, 2, 3):
        ledger.on_notice(notice(200, {"a": count}))
    ledger.on_notice(notice(200, {"a": 1}, started_at_ms=2))
    clock.advance(9_000)
    assert ledger.next_action().record.counts == {"a": 4}


def test_empty_windows_are_reported_too(ledger, clock):
    clock.advance(9_000)
    assert ledger.next_action().record.counts == {}


def test_record_of_another_leader_goes_before_ones_own(ledger, clock):
    ledger.on_notice(notice(200, {"a": 5}))
    clock.advance(9_000)
    assert ledger.next_action().record.counts == {"a": 5}
    ledger.on_recorded(state.MeterRecord(200, {"a": 4}))
    assert ledger.next_action() == metering.ReportWindow(200, {"a": 4})


def test_successor_reports_only_what_may_not_have_been(clock):
    clock.advance(15_000)
    ledger = metering.WindowLedger(clock, RULES)
    ledger.begin(
        [
            state.MeterRecord(200, {"a": 1}),
            state.MeterRecord(201, {"a": 2}, reported=(200,)),
        ]
    )
    assert ledger.next_action() == metering.ReportWindow(201, {"a": 2})


def test_successor_waits_for_what_instances_tell_it(clock):
    clock.advance(9_900)
    ledger = metering.WindowLedger(clock, RULES)
    ledger.begin([state.MeterRecord(199, {}, reported=(198,))])
    ledger.on_reported(199, Outcome.ACCEPTED)
    assert ledger.next_action() is None
    clock.advance(1_000)
    ledger.on_notice(notice(200, {"a": 2}))
    clock.advance(1_000)
    assert ledger.next_action().record.counts == {"a": 2}


def test_failed_report_is_repeated_after_a_pause(ledger, clock):
    clock.advance(9_000)
    ledger.on_recorded(ledger.next_action().record)
    ledger.on_reported(200, Outcome.FAILED)
    assert ledger.next_action() is None
    clock.advance(ledger.wait_ms())
    assert ledger.next_action() == metering.ReportWindow(200, {})


def test_superseded_leader_reports_nothing_more(ledger, clock):
    clock.advance(9_000)
    ledger.on_recorded(ledger.next_action().record)
    ledger.on_reported(200, Outcome.SUPERSEDED)
    assert ledger.next_action() is None


def test_report_that_is_far_too_late_is_given_up(ledger, clock):
    clock.advance(9_000)
    ledger.on_recorded(ledger.next_action().record)
    clock.advance(RULES.kept_ms)
    windows = {ledger.next_action().record.window}
    assert 200 not in windows


def test_late_requests_are_seen_but_change_nothing(ledger, clock):
    clock.advance(9_000)
    ledger.on_recorded(ledger.next_action().record)
    ledger.on_notice(notice(200, {"a": 2}))
    assert ledger.late == 2
    assert ledger.next_action() == metering.ReportWindow(200, {})


def test_old_records_are_dropped(ledger, clock):
    for _ in range(40):
        clock.advance(RULES.window_ms)
        while (action := ledger.next_action()) is not None:
            match action:
                case metering.RecordWindow(record, dropped):
                    ledger.on_recorded(record)
                    ledger.on_dropped(dropped)
                case metering.ReportWindow(window, _):
                    ledger.on_reported(window, Outcome.ACCEPTED)
    assert len(ledger.records) < 30
    assert len(ledger.reported) < 30


@dataclasses.dataclass
class Leader:
    """A leader in the model, with what it is about to do."""

    ledger: metering.WindowLedger
    fence: int


class Model:
    """A store, the receiver of reports, and leaders that end at any step.

    A call may be lost, answered or not, and carried out later: a write
    only if its condition holds then. A leader's calls can't arrive once
    its successor may make calls; the order lock sees to that.
    """

    def __init__(self):
        self.clock = state.ManualClock(START_MS)
        self.records = {}
        self.late_writes = []
        self.reports = []
        self.fence = 0
        self.told = {}
        self.lead()

    def lead(self):
        self.fence += 1
        ledger = metering.WindowLedger(self.clock, RULES)
        ledger.begin(self.records.values())
        for row in self.told.values():
            ledger.on_notice(row)
        self.leader = Leader(ledger, self.fence)

    def count(self, amount):
        window = self.clock.now_ms() // RULES.window_ms
        known = self.told.get(window)
        before = known.windows[0].counts["a"] if known else 0
        self.told[window] = notice(window, {"a": before + amount})
        self.leader.ledger.on_notice(self.told[window])

    def write(self, record):
        self.records.setdefault(record.window, record)

    def step(self, fate):
        """Carry out the next action; return whether there was one."""
        ledger = self.leader.ledger
        match ledger.next_action():
            case None:
                self.clock.advance(max(1, ledger.wait_ms()))
                return
            case metering.RecordWindow(record, dropped):
                self._record(ledger, record, dropped, fate)
            case metering.ReportWindow(window, counts):
                self._report(ledger, window, counts, fate)

    def _record(self, ledger, record, dropped, fate):
        if fate == "late":
            self.late_writes.append(record)
        elif fate != "lost":
            self.write(record)
        if fate != "answered":
            # The outcome is unknown: the store is read.
            if record.window in self.records:
                ledger.on_recorded(self.records[record.window])
            else:
                ledger.on_failed()
            return
        ledger.on_recorded(self.records[record.window])
        ledger.on_dropped(dropped)

    def _report(self, ledger, window, counts, fate):
        if fate != "lost":
            self.reports.append((self.leader.fence, window, counts))
        outcome = Outcome.ACCEPTED if fate == "answered" else Outcome.FAILED
        ledger.on_reported(window, outcome)

    def check(self):
        seen = {}
        for _, window, counts in self.reports:
            assert seen.setdefault(window, counts) == counts
        fences = [fence for fence, _, _ in self.reports]
        assert fences == sorted(fences)


FATES = ("answered", "unanswered", "late", "lost")
STEPS = strategies.one_of(
    strategies.tuples(strategies.just("step"), strategies.sampled_from(FATES)),
    strategies.tuples(strategies.just("count"), strategies.integers(1, 3)),
    strategies.tuples(strategies.just("die"), strategies.integers(0, 6_000)),
    strategies.tuples(strategies.just("late write"), strategies.just(0)),
)


@hypothesis.given(strategies.lists(STEPS, max_size=60))
@hypothesis.settings(max_examples=400)
def test_two_reports_of_a_window_never_differ(steps):
    model = Model()
    for kind, value in steps:
        match kind:
            case "step":
                model.step(value)
            case "count":
                model.count(value)
            case "die":
                model.clock.advance(value)
                model.lead()
            case "late write":
                for record in model.late_writes:
                    model.write(record)
                model.late_writes.clear()
    model.check()
