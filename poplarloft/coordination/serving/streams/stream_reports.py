"""Reports of streams, repeated until the store is known to have them."""

from collections import abc
import dataclasses
import itertools

from poplarloft.coordination.serving.streams import stream_versions
from poplarloft import state

__all__ = ["REPORT_DELAY_MS", "DueReport", "StreamReports"]

REPORT_DELAY_MS = 50  # streams that begin together go together
FIRST_RETRY_MS = 500
MAX_RETRY_MS = 2_000
MAX_REPORTS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class DueReport:
    """A stream to report now, and how often it has been reported before."""

    record: state.StreamRecord
    attempts: int


@dataclasses.dataclass(slots=True)
class _Report:
    """A stream that is not confirmed yet."""

    record: state.StreamRecord
    begun_at_ms: int
    due_at_ms: int
    attempts: int = 0

    def on_sent(self, now_ms: int) -> None:
        delay_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS << self.attempts)
        self.due_at_ms = now_ms + delay_ms
        self.attempts += 1


class StreamReports:
    """The streams of this instance that no keeper has confirmed.

    A keeper confirms a stream once the store has it. Until then it is
    reported again, so that neither a lost message nor keepers that end at
    the same time lose it while this instance lives.

    Parameters
    ----------
    clock : state.Clock
        Clock that also advances while the machine is suspended.
    max_streams : int
        Number of streams that are kept, the newest ones.
    """

    def __init__(
        self, clock: state.Clock, max_streams: int = MAX_REPORTS
    ) -> None:
        self.clock = clock
        self.max_streams = max_streams
        self.reports: dict[str, _Report] = {}
        self.keys_by_ticket: dict[int, tuple[str, ...]] = {}
        self.tickets = itertools.count(1)

    def add(self, record: state.StreamRecord) -> None:
        """Report a stream that has begun."""
        now_ms = self.clock.now_ms()
        report = _Report(record, now_ms, now_ms + REPORT_DELAY_MS)
        self.reports[record.key] = report
        self._drop_old(now_ms)

    def take_due(self) -> list[DueReport]:
        """Return the streams to report now; they count as reported."""
        now_ms = self.clock.now_ms()
        self._drop_old(now_ms)
        due = []
        for report in self.reports.values():
            if report.due_at_ms <= now_ms:
                due.append(DueReport(report.record, report.attempts))
                report.on_sent(now_ms)
        return due

    def repeat_all(self) -> None:
        """Report all streams again now, as a keeper has forgotten them."""
        now_ms = self.clock.now_ms()
        for report in self.reports.values():
            report.due_at_ms = now_ms

    def next_due_in_ms(self) -> int | None:
        """Return how long until a stream is due, None without streams."""
        due_at_ms = min(
            (report.due_at_ms for report in self.reports.values()),
            default=None,
        )
        if due_at_ms is None:
            return None
        return max(0, due_at_ms - self.clock.now_ms())

    def issue_ticket(self, records: abc.Iterable[state.StreamRecord]) -> int:
        """Return a ticket for the receipt of a notice with these streams."""
        ticket = next(self.tickets)
        self.keys_by_ticket[ticket] = tuple(record.key for record in records)
        return ticket

    def on_receipt(self, ticket: int) -> int:
        """Confirm the streams of a notice; return how many were open."""
        keys = self.keys_by_ticket.pop(ticket, ())
        confirmed = [k for k in keys if self.reports.pop(k, None) is not None]
        if not self.reports:
            self.keys_by_ticket.clear()
        return len(confirmed)

    def _drop_old(self, now_ms: int) -> None:
        """Drop streams from the oldest on, which come first."""
        oldest_ms = now_ms - stream_versions.STREAM_LIFETIME_MS
        while self.reports:
            key = next(iter(self.reports))
            is_old = self.reports[key].begun_at_ms < oldest_ms
            if not is_old and len(self.reports) <= self.max_streams:
                break
            del self.reports[key]
        if not self.reports:
            self.keys_by_ticket.clear()
