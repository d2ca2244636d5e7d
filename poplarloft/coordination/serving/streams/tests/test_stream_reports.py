"""Reports of streams, while keepers end and messages are lost."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from poplarloft.coordination import serving
from poplarloft.coordination.serving.streams import stream_reports
from poplarloft import state


def record(key):
    return state.StreamRecord(key, "app", "a")


def make():
    clock = state.ManualClock(5_000)
    return clock, serving.StreamReports(clock)


def due_keys(reports):
    return [due.record.key for due in reports.take_due()]


def test_a_stream_is_reported_again_until_it_is_confirmed():
    clock, reports = make()
    reports.add(record("k"))
    assert due_keys(reports) == []
    clock.advance(stream_reports.REPORT_DELAY_MS)
    assert due_keys(reports) == ["k"]
    assert due_keys(reports) == []
    clock.advance(stream_reports.FIRST_RETRY_MS)
    assert [due.attempts for due in reports.take_due()] == [1]
    ticket = reports.issue_ticket([record("k")])
    assert reports.on_receipt(ticket) == 1
    assert reports.next_due_in_ms() is None
    assert reports.on_receipt(ticket) == 0


def test_pauses_between_reports_are_bounded():
    clock, reports = make()
    reports.add(record("k"))
    for _ in range(20):
        clock.advance(stream_reports.MAX_RETRY_MS)
        assert due_keys(reports) == ["k"]


def test_reports_end_with_their_streams_and_are_bounded():
    clock, reports = make()
    reports.max_streams = 10
    for number in range(20):
        reports.add(record(f"k{number}"))
        reports.issue_ticket([record(f"k{number}")])
    assert list(reports.reports) == [f"k{n}" for n in range(10, 20)]
    clock.advance(serving.STREAM_LIFETIME_MS + 1)
    assert due_keys(reports) == []
    assert not reports.reports
    assert not reports.keys_by_ticket


class Reporting(stateful.RuleBasedStateMachine):
    """One entry, two keepers and a store; anything may be lost.

    A stream that has begun is in the store, or still reported by its entry
    while that lives.
    """

    def __init__(self):
        super().__init__()
        self.clock, self.reports = make()
        self.begun = set()
        self.notices = []
        self.receipts = []
        self.keepers = [[], []]  # notices that are not written yet
        self.stored = set()

    @stateful.rule()
    def begin(self):
        key = f"k{len(self.begun)}"
        self.begun.add(key)
        self.reports.add(record(key))

    @stateful.rule(passed_ms=strategies.integers(1, 3_000))
    def report(self, passed_ms):
        self.clock.advance(passed_ms)
        records = [due.record for due in self.reports.take_due()]
        if records:
            ticket = self.reports.issue_ticket(records)
            self.notices.append((ticket, {r.key for r in records}))

    @stateful.precondition(lambda self: self.notices)
    @stateful.rule(keeper=strategies.integers(0, 2), index=strategies.data())
    def deliver_or_lose(self, keeper, index):
        at = index.draw(strategies.integers(0, len(self.notices) - 1))
        notice = self.notices.pop(at)
        if keeper < len(self.keepers):
            self.keepers[keeper].append(notice)

    @stateful.rule(keeper=strategies.integers(0, 1))
    def write(self, keeper):
        written, self.keepers[keeper] = self.keepers[keeper], []
        for ticket, keys in written:
            self.stored |= keys
            self.receipts.append(ticket)

    @stateful.rule()
    def kill_keepers(self):
        self.keepers = [[], []]

    @stateful.precondition(lambda self: self.receipts)
    @stateful.rule(
        is_lost=strategies.booleans(), is_twice=strategies.booleans()
    )
    def receive(self, is_lost, is_twice):
        ticket = self.receipts.pop()
        if not is_lost:
            self.reports.on_receipt(ticket)
        if is_twice:
            self.receipts.append(ticket)

    @stateful.invariant()
    def no_stream_is_forgotten(self):
        assert self.begun <= self.stored | set(self.reports.reports)


TestReporting = Reporting.TestCase
TestReporting.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, deadline=None
)
