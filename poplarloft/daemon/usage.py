"""Gossips usage counters and writes the data centre's usage ledger."""

import asyncio

import eliot
import msgspec
from returns import result

from poplarloft import coordination
from poplarloft.daemon import fleet
from poplarloft.protocol import usage
from poplarloft import state

__all__ = ["UsageService"]

GOSSIP_MS = 1_000
MS_PER_S = 1_000
MAX_TRIES = 5


class UsageService:
    """The usage of a data centre as known to this instance.

    Parameters
    ----------
    store : state.KeyValueStore
        Store of the ledger.
    meter : coordination.UsageMeter
        This instance's counters.
    wall_clock : state.Clock
        Unix time, for time stamps of entries.
    data_centre : str
        Data centre of the ledger.
    flush_ms : int
        Interval between ledger entries.
    """

    def __init__(
        self,
        store: state.KeyValueStore,
        meter: coordination.UsageMeter,
        wall_clock: state.Clock,
        data_centre: str,
        flush_ms: int,
    ) -> None:
        self.store = store
        self.meter = meter
        self.wall_clock = wall_clock
        self.data_centre = data_centre
        self.flush_ms = flush_ms
        self.totals = coordination.UsageTotals()
        self.recorded: dict[tuple[str, str, str, str], int] = {}
        self.segment_number = 0
        self.last_digest = ""
        self.fleet: fleet.FleetService | None = None

    def join(self, fleet_service: fleet.FleetService) -> None:
        """Receive and send usage counters by gossip."""
        self.fleet = fleet_service
        fleet_service.update_listeners.append(self._on_update)

    async def run(self) -> None:
        """Gossip each second and flush at intervals, until cancelled."""
        flushed_ms = self.wall_clock.now_ms()
        while True:
            await asyncio.sleep(GOSSIP_MS / MS_PER_S)
            self.publish()
            now_ms = self.wall_clock.now_ms()
            if now_ms - flushed_ms >= self.flush_ms and self._is_writer():
                flushed_ms = now_ms
                await self.flush()
                self._drop_departed()

    def _drop_departed(self) -> None:
        """Drop fully recorded totals of instances that are no longer live."""
        if self.fleet is None:
            return
        live = {
            str(state.Incarnation(m.name, m.incarnation))
            for m in self.fleet.membership.live()
        }
        self.totals.drop_recorded(self.recorded, live)

    def publish(self) -> None:
        """Gossip this instance's counters if they have changed."""
        update = self.meter.next_update()
        if update is None:
            return
        self.totals.on_update(update)
        if self.fleet is not None:
            self.fleet.broadcast(update)

    async def flush(self) -> bool:
        """Append unrecorded usage to the ledger.

        Returns whether the ledger now holds all known usage.
        """
        for _ in range(MAX_TRIES):
            read = await self._read_last()
            if read is None:
                return False
            segment, version = read
            unrecorded = self.totals.unrecorded(self.recorded)
            if not unrecorded:
                return True
            if await self._append(segment, version, unrecorded):
                return True
        return False

    async def entries(self) -> list[state.UsageEntry] | None:
        """Return all entries of the ledger, or None if it can't be read."""
        entries: list[state.UsageEntry] = []
        number = 0
        while True:
            read = await self._read(number)
            if read is None:
                return None
            segment, version = read
            if version == state.ABSENT_VERSION:
                return entries
            entries += segment.entries
            number += 1

    async def disputes(self) -> tuple[state.UsageDispute, ...] | None:
        """Return the disputes of the ledger, or None if unreadable."""
        read = await self._read_disputes()
        return None if read is None else read[0]

    async def dispute(
        self, owner: str, sequence: int, reason: str
    ) -> result.Result[state.UsageDispute, state.Refusal]:
        """Record an owner's dispute of an entry.

        If the owner has disputed the entry before, return that dispute.
        """
        entries = await self.entries()
        if entries is None:
            return _refuse(
                state.Reason.NOT_READY,
                state.Verdict.NOT_RUN,
                "the usage ledger could not be read",
            )
        if not 0 <= sequence < len(entries):
            return _refuse(
                state.Reason.BAD_REQUEST,
                state.Verdict.NOT_RUN,
                f"entry {sequence} does not exist; number of ledger entries: "
                f"{len(entries)}",
            )
        new_dispute = state.UsageDispute(
            sequence,
            entries[sequence].digest,
            owner,
            reason,
            self.wall_clock.now_ms(),
        )
        for _ in range(MAX_TRIES):
            read = await self._read_disputes()
            if read is None:
                break
            known, version = read
            for other in known:
                if (other.owner, other.sequence) == (owner, sequence):
                    return result.Success(other)
            write = await self.store.compare_and_swap(
                usage.disputes_key(self.data_centre),
                usage.encode_disputes((*known, new_dispute)),
                version,
            )
            if write.outcome is state.WriteOutcome.APPLIED:
                return result.Success(new_dispute)
        return _refuse(
            state.Reason.NOT_READY,
            state.Verdict.MAY_HAVE_RUN,
            "the key-value service did not confirm the dispute; retry",
        )

    async def _read_disputes(
        self,
    ) -> tuple[tuple[state.UsageDispute, ...], int] | None:
        match await self.store.get(usage.disputes_key(self.data_centre)):
            case result.Success(versioned):
                try:
                    known = usage.decode_disputes(versioned.value)
                except msgspec.MsgspecError as error:
                    eliot.log_message("usage-unreadable", error=str(error))
                    return None
                return known, versioned.version
        return None

    def _on_update(self, update: state.GossipUpdate) -> None:
        if isinstance(update, state.UsageUpdate):
            self.totals.on_update(update)

    def _is_writer(self) -> bool:
        if self.fleet is None:
            return True
        members = self.fleet.membership.members.values()
        writer = coordination.usage_writer(self.data_centre, members)
        return writer == self.fleet.name

    async def _read_last(self) -> tuple[state.UsageSegment, int] | None:
        """Return the segment to append to; update `recorded` from it.

        An entry that was written although the response was lost is found
        here, so it is not written again.
        """
        while True:
            read = await self._read(self.segment_number)
            if read is None:
                return None
            segment, _ = read
            totals = coordination.ledger_totals(segment.entries)
            for key, busy_ms in totals.items():
                self.recorded[key] = max(busy_ms, self.recorded.get(key, 0))
            if len(segment.entries) < usage.ENTRIES_PER_SEGMENT:
                return read
            self.segment_number += 1
            self.last_digest = segment.entries[-1].digest

    async def _append(
        self,
        segment: state.UsageSegment,
        version: int,
        unrecorded: tuple[state.UsageTotal, ...],
    ) -> bool:
        first = self.segment_number * usage.ENTRIES_PER_SEGMENT
        previous = self.last_digest if self.segment_number else ""
        if segment.entries:
            previous = segment.entries[-1].digest
        entry = state.UsageEntry(
            first + len(segment.entries),
            self.wall_clock.now_ms(),
            str(self.meter.incarnation),
            previous,
            unrecorded,
        )
        written = usage.append_entry(segment, entry)
        write = await self.store.compare_and_swap(
            usage.segment_key(self.data_centre, self.segment_number),
            usage.encode_segment(written),
            version,
        )
        return write.outcome is state.WriteOutcome.APPLIED

    async def _read(
        self, number: int
    ) -> tuple[state.UsageSegment, int] | None:
        key = usage.segment_key(self.data_centre, number)
        match await self.store.get(key):
            case result.Success(versioned):
                try:
                    segment = usage.decode_segment(versioned.value)
                except msgspec.MsgspecError as error:
                    eliot.log_message("usage-unreadable", error=str(error))
                    return None
                return segment, versioned.version
        return None


def _refuse(
    reason: state.Reason, verdict: state.Verdict, detail: str
) -> result.Result[state.UsageDispute, state.Refusal]:
    return result.Failure(state.Refusal(reason, verdict, detail))
