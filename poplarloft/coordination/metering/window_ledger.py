"""The counts of each window, decided once and then reported.

Two reports of one window must never differ, whoever sends them. So the
counts of a window are first recorded in the store, on the condition that
the window has no record, and only what is recorded is reported. A leader
that takes over reports the records that may not have been reported; a
report that comes twice is ignored by its receiver.
"""

import collections
from collections import abc
import dataclasses
import enum

from poplarloft import state

__all__ = [
    "MeteringRules",
    "RecordWindow",
    "ReportOutcome",
    "ReportWindow",
    "WindowLedger",
]

DECISION_SHARE = 0.35  # of the time in which a report is due
GATHERING_MS = 2_000  # instances tell a new leader what they have counted
RETRY_MS = 250
KEPT_RECORDS = 24
LATE_WINDOWS = 2  # reports that are late by so many windows are given up


@dataclasses.dataclass(frozen=True, slots=True)
class MeteringRules:
    """When windows are to be reported.

    Parameters
    ----------
    window_ms : int
        Length of a window.
    due_ms : int
        Time after the end of a window in which its report is due.
    """

    window_ms: int
    due_ms: int

    @property
    def kept_ms(self) -> int:
        """Time after its end for which a window may still be reported."""
        return self.due_ms + LATE_WINDOWS * self.window_ms

    def end_ms(self, window: int) -> int:
        """Return the Unix time at which a window ends."""
        return (window + 1) * self.window_ms


@dataclasses.dataclass(frozen=True, slots=True)
class RecordWindow:
    """Action: record a window if it has no record; drop old records."""

    record: state.MeterRecord
    dropped: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportWindow:
    """Action: report the recorded counts of a window."""

    window: int
    counts: dict[str, int]


class ReportOutcome(enum.StrEnum):
    """What became of a report."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"  # the receiver has seen a newer leader
    FAILED = "failed"  # refused or not answered; it may arrive later


class WindowLedger:
    """Decide which windows to record and to report.

    Parameters
    ----------
    clock : state.Clock
        Unix time.
    rules : MeteringRules
        When windows are to be reported.

    Attributes
    ----------
    records : dict of int to state.MeterRecord
        The windows whose counts are recorded.
    reported : set of int
        Windows that the receiver has accepted.
    late : int
        Number of requests that were told after their window was decided.
    """

    def __init__(self, clock: state.Clock, rules: MeteringRules) -> None:
        self.clock = clock
        self.rules = rules
        self.seen: dict[
            int, dict[tuple[str, int], collections.Counter[str]]
        ] = {}
        self.records: dict[int, state.MeterRecord] = {}
        self.reported: set[int] = set()
        self.late = 0
        self.first_window = 0
        self.begun_at_ms = 0
        self.not_before_ms = 0
        self.is_superseded = False

    def begin(self, records: abc.Iterable[state.MeterRecord]) -> None:
        """Continue with what is recorded, as the new leader."""
        self.begun_at_ms = self.clock.now_ms()
        for record in records:
            self.records[record.window] = record
            self.reported.update(record.reported)
        # What has not been told by now, nobody has counted.
        self.first_window = self.begun_at_ms // self.rules.window_ms
        if self.records:
            self.first_window = min(max(self.records) + 1, self.first_window)

    def on_notice(self, notice: state.UsageNotice) -> None:
        """Merge what an instance has counted."""
        source = (notice.name, notice.started_at_ms)
        for row in notice.windows:
            known = self.seen.setdefault(row.window, {})
            before = known.get(source, collections.Counter())
            merged = before | collections.Counter(row.counts)
            known[source] = merged
            if row.window in self.records:
                self.late += merged.total() - before.total()

    def next_action(self) -> RecordWindow | ReportWindow | None:
        """Return what to do now; None if there is nothing but to wait."""
        now_ms = self.clock.now_ms()
        if self.is_superseded or now_ms < self.not_before_ms:
            return None
        for window in self._windows(now_ms):
            record = self.records.get(window)
            if record is not None:
                return ReportWindow(window, record.counts)
            if now_ms >= self._decision_ms(window):
                return RecordWindow(self._decide(window), self._dropped())
        return None

    def wait_ms(self) -> int:
        """Return the time until there may be something to do."""
        now_ms = self.clock.now_ms()
        waiting = [
            self._decision_ms(window) - now_ms
            for window in (
                *self._windows(now_ms),
                now_ms // self.rules.window_ms,
            )
            if window not in self.records
        ]
        waiting.append(self.rules.window_ms)
        return max(0, self.not_before_ms - now_ms, min(waiting))

    def on_recorded(self, record: state.MeterRecord) -> None:
        """Use the record of a window, which another leader may have made."""
        self.records[record.window] = record
        self.reported.update(record.reported)

    def on_reported(self, window: int, outcome: ReportOutcome) -> None:
        """Record what became of a report."""
        if outcome is ReportOutcome.ACCEPTED:
            self.reported.add(window)
        elif outcome is ReportOutcome.SUPERSEDED:
            self.is_superseded = True
        else:
            self.on_failed()

    def on_failed(self) -> None:
        """Pause, as the store or the receiver has not answered."""
        self.not_before_ms = self.clock.now_ms() + RETRY_MS

    def _windows(self, now_ms: int) -> list[int]:
        """Return the ended windows that are not reported, oldest first."""
        current = now_ms // self.rules.window_ms
        oldest = (now_ms - self.rules.kept_ms) // self.rules.window_ms
        told = [w for w in (*self.seen, *self.records) if w < current]
        begun = range(max(oldest, self.first_window), current)
        return sorted(
            window
            for window in {*told, *begun}
            if window >= oldest and window not in self.reported
        )

    def _decision_ms(self, window: int) -> int:
        """Return the Unix time at which a window's counts are decided."""
        decision_ms = int(DECISION_SHARE * self.rules.due_ms)
        return max(
            self.rules.end_ms(window) + decision_ms,
            self.begun_at_ms + GATHERING_MS,
        )

    def _decide(self, window: int) -> state.MeterRecord:
        total: collections.Counter[str] = collections.Counter()
        for counts in self.seen.get(window, {}).values():
            total += counts
        recent = window - KEPT_RECORDS
        reported = sorted(w for w in self.reported if w >= recent)
        return state.MeterRecord(window, dict(total), tuple(reported))

    def _dropped(self) -> tuple[int, ...]:
        """Forget windows that are long past; return those with records."""
        newest = self.clock.now_ms() // self.rules.window_ms
        oldest = newest - KEPT_RECORDS
        for window in [w for w in self.seen if w < oldest]:
            del self.seen[window]
        self.reported = {w for w in self.reported if w >= oldest}
        dropped = sorted(w for w in self.records if w < oldest)
        return tuple(dropped[:2])

    def on_dropped(self, windows: abc.Iterable[int]) -> None:
        """Forget records that have been removed from the store."""
        for window in windows:
            self.records.pop(window, None)
