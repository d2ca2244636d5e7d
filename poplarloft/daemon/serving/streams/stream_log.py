"""Records in the store which software versions began streams."""

import asyncio
from collections import abc
import itertools

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.store import shared_read
from poplarloft.protocol import errors
from poplarloft.protocol import stream_records
from poplarloft import state

__all__ = ["StreamLog"]

WRITE_INTERVAL_MS = 500
MIN_READ_INTERVAL_MS = 250
LEASE_MS = 300_000
LEASE_USE_MS = 150_000  # a stream lives for less than the rest
MAX_CLOCK_SKEW_MS = 10_000  # between the wall clocks of two instances
BATCH_RECORDS = 4_000  # about 400 KB, below the limit for a value
MAX_BATCHES = 8  # in one write
MS_PER_S = 1_000
Receipt = tuple[state.Address, int]


class StreamLog:
    """Streams of this and other instances, as the store has them.

    What the store has outlives all instances. Streams are written in
    batches, under leases that end after the streams.

    Parameters
    ----------
    name : str
        Name of this instance.
    store : state.RevisionStore
        Holds the batches.
    table : serving.StreamTable
        Gets the streams that are read.
    on_written : callable
        Called with the receipts of the notices whose streams the store has.
    """

    def __init__(
        self,
        name: str,
        store: state.RevisionStore,
        table: serving.StreamTable,
        on_written: abc.Callable[[set[Receipt]], None],
    ) -> None:
        self.name = name
        self.store = store
        self.table = table
        self.on_written = on_written
        self.clock = state.BootClock()
        self.wall_clock = state.WallClock()
        self.pending: dict[str, state.StreamRecord] = {}
        self.receipts: set[Receipt] = set()
        self.has_pending = asyncio.Event()
        self.numbers = itertools.count(1)
        self.lease = 0
        self.lease_used_until_ms = 0
        self.read_from_ms = 0
        self.refresh = shared_read.SharedRead(self._read, MIN_READ_INTERVAL_MS)

    def add(
        self,
        records: abc.Iterable[state.StreamRecord],
        receipt: Receipt | None = None,
    ) -> None:
        """Write streams soon, then call `on_written` with the receipt."""
        for record in records:
            self.pending[record.key] = record
        while len(self.pending) > self.table.max_streams:
            del self.pending[next(iter(self.pending))]
        if receipt is not None:
            self.receipts.add(receipt)
        self.has_pending.set()

    async def run(self) -> None:
        """Write the streams that are added, until cancelled."""
        while True:
            await self.has_pending.wait()
            await self._write_pending()
            await asyncio.sleep(WRITE_INTERVAL_MS / MS_PER_S)

    async def _write_pending(self) -> None:
        """Write up to `MAX_BATCHES` batches, and tell whose they were."""
        records = list(self.pending.values())[: MAX_BATCHES * BATCH_RECORDS]
        is_all = len(records) == len(self.pending)
        receipts = set(self.receipts) if is_all else set()
        lease = await self._current_lease()
        if not lease:
            return
        answer = await self.store.write([], self._puts(records, lease))
        eliot.log_message(
            "streams-written",
            streams=len(records),
            outcome=answer.status.value,
            detail=answer.detail[:200],
        )
        if answer.status is not state.WriteStatus.APPLIED:
            self.lease = 0  # it may have ended
            return
        for record in records:
            if self.pending.get(record.key) is record:
                del self.pending[record.key]
        if not self.pending:
            self.has_pending.clear()
        self.receipts -= receipts
        self.on_written(receipts)

    def _puts(
        self, records: list[state.StreamRecord], lease: int
    ) -> list[state.Put]:
        now_ms = self.wall_clock.now_ms()
        return [
            state.Put(
                stream_records.streams_key(
                    now_ms, self.name, next(self.numbers)
                ),
                stream_records.encode_streams(
                    tuple(records[start : start + BATCH_RECORDS])
                ),
                lease,
            )
            for start in range(0, len(records), BATCH_RECORDS)
        ]

    async def _current_lease(self) -> int:
        """Return a lease that outlives the streams, 0 if there is none."""
        now_ms = self.clock.now_ms()
        if self.lease and now_ms < self.lease_used_until_ms:
            return self.lease
        match await self.store.grant_lease(LEASE_MS):
            case result.Success(int() as lease):
                self.lease = lease
                self.lease_used_until_ms = now_ms + LEASE_USE_MS
            case result.Failure(failure):
                self.lease = 0
                eliot.log_message(
                    "streams-unwritten",
                    streams=len(self.pending),
                    detail=failure.detail[:200],
                )
        return self.lease

    async def _read(self) -> bool:
        """Read what was written since the last read; return whether all."""
        began_ms = self.wall_clock.now_ms()
        oldest_ms = began_ms - serving.STREAM_LIFETIME_MS - MAX_CLOCK_SKEW_MS
        after = stream_records.streams_key(max(oldest_ms, self.read_from_ms))
        count = 0
        while True:
            page = await self.store.list_page(
                stream_records.STREAMS_PREFIX, after
            )
            match page:
                case result.Success(state.Page() as listing):
                    for entry in listing.entries:
                        count += self._restore(entry)
                        after = entry.key
                    if listing.has_more:
                        continue
                case result.Failure(failure):
                    eliot.log_message(
                        "streams-unread", detail=failure.detail[:200]
                    )
                    return False
            break
        self.read_from_ms = began_ms - MAX_CLOCK_SKEW_MS
        eliot.log_message("streams-read", streams=count)
        return True

    def _restore(self, entry: state.Entry) -> int:
        """Remember the streams of a batch; return how many were new."""
        try:
            records = stream_records.decode_streams(entry.value)
        except errors.FieldError as error:
            eliot.log_message(
                "entry-unreadable", key=entry.key, error=str(error)[:200]
            )
            return 0
        fresh = [r for r in records if not self.table.find(r.key).service]
        for record in fresh:
            self.table.add(record)
        return len(fresh)
