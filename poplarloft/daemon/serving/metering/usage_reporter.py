"""Records and reports what client accounts have begun, as the leader."""

import asyncio
import typing

import eliot
from returns import result

from poplarloft.coordination import metering
from poplarloft.platform import infrastructure
from poplarloft.platform import store as platform_store
from poplarloft.protocol import errors
from poplarloft.protocol import meter_records
from poplarloft import state

__all__ = ["Leadership", "UsageReporter"]

CALL_TIMEOUT_MS = 1_000
MIN_CALL_MS = 200  # a shorter time would end most calls without an answer
RETRY_MS = 250
OK = 200
STALE_FENCE = 409
MS_PER_S = 1_000
Status = state.WriteStatus
Outcome = metering.ReportOutcome


class Leadership(typing.Protocol):
    """The leadership under which calls are made."""

    fence: int

    def order_time_ms(self) -> int:
        """Return for how long calls may still arrive, 0 if not."""


class UsageReporter:
    """Carries out what a window ledger decides on, while this leads.

    Parameters
    ----------
    store : state.RevisionStore
        Holds the records.
    client : infrastructure.InfrastructureClient
        Takes the reports.
    ledger : metering.WindowLedger
        Decides what to record and to report.
    leadership : Leadership
        Whether calls may be made, and with which fencing token.
    """

    def __init__(
        self,
        store: state.RevisionStore,
        client: infrastructure.InfrastructureClient,
        ledger: metering.WindowLedger,
        leadership: Leadership,
    ) -> None:
        self.store = store
        self.client = client
        self.ledger = ledger
        self.leadership = leadership
        self.has_begun = False

    def on_notice(self, notice: state.UsageNotice) -> bool:
        """Merge what an instance counted; return whether to confirm it."""
        if not self.leadership.fence:
            return False
        late = self.ledger.late
        self.ledger.on_notice(notice)
        if self.ledger.late > late:
            eliot.log_message(
                "usage-late",
                told_by=notice.name,
                requests=self.ledger.late - late,
            )
        return True

    async def run(self) -> None:
        """Record and report windows until cancelled."""
        while not self.has_begun:
            if self.leadership.order_time_ms() >= MIN_CALL_MS:
                await self._begin()
            if not self.has_begun:
                await asyncio.sleep(RETRY_MS / MS_PER_S)
        while not self.ledger.is_superseded:
            match self.ledger.next_action():
                case metering.RecordWindow(record, dropped):
                    await self._record(record, dropped)
                case metering.ReportWindow(window, counts):
                    await self._report(window, counts)
                case None:
                    wait_ms = max(1, self.ledger.wait_ms())
                    await asyncio.sleep(wait_ms / MS_PER_S)

    async def _begin(self) -> None:
        """Read the records of earlier leaders."""
        listed = await platform_store.list_all(
            self.store, meter_records.METERING_PREFIX
        )
        match listed:
            case result.Success(entries):
                self.ledger.begin(
                    record
                    for entry in entries
                    if (record := _decoded(entry)) is not None
                )
                self.has_begun = True

    async def _record(
        self, record: state.MeterRecord, dropped: tuple[int, ...]
    ) -> None:
        key = meter_records.meter_key(record.window)
        answer = await self.store.write(
            [state.Expectation(key)],
            [state.Put(key, meter_records.encode_meter(record))],
            [meter_records.meter_key(window) for window in dropped],
        )
        eliot.log_message(
            "usage-recorded",
            window=record.window,
            accounts=len(record.counts),
            requests=sum(record.counts.values()),
            outcome=answer.status.value,
            revision=answer.revision,
        )
        if answer.status is Status.APPLIED:
            self.ledger.on_recorded(record)
            self.ledger.on_dropped(dropped)
        elif answer.status is Status.NOT_DONE:
            self.ledger.on_failed()
        else:
            await self._read(key)

    async def _read(self, key: str) -> None:
        """Use the record that the store has, whoever made it."""
        found = await self.store.get(key)
        match found:
            case result.Success(state.Entry() as entry):
                record = _decoded(entry)
                if record is not None:
                    self.ledger.on_recorded(record)
                    return
        self.ledger.on_failed()

    async def _report(self, window: int, counts: dict[str, int]) -> None:
        """Report a window while this daemon may make calls."""
        time_ms = self.leadership.order_time_ms()
        if time_ms < MIN_CALL_MS:
            self.ledger.on_failed()
            return
        timeout_ms = min(CALL_TIMEOUT_MS, time_ms)
        status = infrastructure.NO_ANSWER
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                status = await self.client.report_usage(
                    window, counts, self.leadership.fence, timeout_ms
                )
        except TimeoutError:
            pass  # the connection is closed, so the call can't arrive later
        outcome = _outcome(status)
        self.ledger.on_reported(window, outcome)
        end_ms = self.ledger.rules.end_ms(window)
        eliot.log_message(
            "usage-reported",
            window=window,
            accounts=len(counts),
            requests=sum(counts.values()),
            fence=self.leadership.fence,
            status=status,
            after_end_ms=self.ledger.clock.now_ms() - end_ms,
            outcome=outcome.value,
        )


def _outcome(status: int) -> metering.ReportOutcome:
    if status == OK:
        return Outcome.ACCEPTED
    return Outcome.SUPERSEDED if status == STALE_FENCE else Outcome.FAILED


def _decoded(entry: state.Entry) -> state.MeterRecord | None:
    """Return a record, None if it is malformed."""
    try:
        return meter_records.decode_meter(entry.value)
    except errors.FieldError as error:
        eliot.log_message("entry-unreadable", key=entry.key, error=str(error))
        return None
