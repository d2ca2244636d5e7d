"""Gossips this instance's usage and writes its data centre's ledger."""

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
    """The usage of a data centre, as this instance knows it.

    Parameters
    ----------
    store : state.KeyValueStore
        Where the ledger is kept.
    meter : coordination.UsageMeter
        This instance's counters.
    wall_clock : state.Clock
        Unix time of entries.
    data_centre : str
        Whose ledger it is.
    flush_ms : int
        Time between two entries.
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
        self.book = coordination.UsageTotals()
        self.booked: dict[tuple[str, str, str, str], int] = {}
        self.segment_number = 0
        self.last_digest = ""
        self.fleet: fleet.FleetService | None = None

    def join(self, fleet_service: fleet.FleetService) -> None:
        """Take part in the gossip."""
        self.fleet = fleet_service
        fleet_service.rumour_listeners.append(self._on_rumour)

    async def run(self) -> None:
        """Gossip each second and flush now and then, until cancelled."""
        flushed_ms = self.wall_clock.now_ms()
        while True:
            await asyncio.sleep(GOSSIP_MS / MS_PER_S)
            self.tell()
            now_ms = self.wall_clock.now_ms()
            if now_ms - flushed_ms >= self.flush_ms and self._is_writer():
                flushed_ms = now_ms
                await self.flush()
                self._forget_gone()

    def _forget_gone(self) -> None:
        """Drop what is booked in full of instances that are gone."""
        if self.fleet is None:
            return
        live = {
            str(state.Incarnation(m.name, m.incarnation))
            for m in self.fleet.membership.live()
        }
        self.book.drop_recorded(self.booked, live)

    def tell(self) -> None:
        """Put this instance's counters into the gossip."""
        rumour = self.meter.next_update()
        if rumour is None:
            return
        self.book.on_update(rumour)
        if self.fleet is not None:
            self.fleet.spread_at_once(rumour)

    async def flush(self) -> bool:
        """Write what has grown; tell whether the ledger now has it."""
        for _ in range(MAX_TRIES):
            read = await self._read_last()
            if read is None:
                return False
            segment, version = read
            grown = self.book.unrecorded(self.booked)
            if not grown:
                return True
            if await self._append(segment, version, grown):
                return True
        return False

    async def entries(self) -> list[state.UsageEntry] | None:
        """Return all entries of the ledger, or None if unreadable."""
        entries: list[state.UsageEntry] = []
        number = 0
        while True:
            found = await self._read(number)
            if found is None:
                return None
            segment, version = found
            if version == state.ABSENT_VERSION:
                return entries
            entries += segment.entries
            number += 1

    async def disputes(self) -> tuple[state.UsageDispute, ...] | None:
        """Return the disputes of the ledger, or None if unreadable."""
        found = await self._read_disputes()
        return None if found is None else found[0]

    async def dispute(
        self, owner: str, sequence: int, reason: str
    ) -> result.Result[state.UsageDispute, state.Refusal]:
        """Add an owner's dispute of an entry; a repeat changes nothing."""
        entries = await self.entries()
        if entries is None:
            return _refuse(
                state.Reason.NOT_READY,
                state.Verdict.NOT_RUN,
                "the ledger is unreadable",
            )
        if not 0 <= sequence < len(entries):
            return _refuse(
                state.Reason.BAD_REQUEST,
                state.Verdict.NOT_RUN,
                f"entry {sequence} does not exist, the ledger has "
                f"{len(entries)}",
            )
        made = state.UsageDispute(
            sequence,
            entries[sequence].digest,
            owner,
            reason,
            self.wall_clock.now_ms(),
        )
        for _ in range(MAX_TRIES):
            found = await self._read_disputes()
            if found is None:
                break
            known, version = found
            for other in known:
                if (other.owner, other.sequence) == (owner, sequence):
                    return result.Success(other)
            write = await self.store.compare_and_swap(
                usage.disputes_key(self.data_centre),
                usage.encode_disputes((*known, made)),
                version,
            )
            if write.outcome is state.WriteOutcome.APPLIED:
                return result.Success(made)
        return _refuse(
            state.Reason.NOT_READY,
            state.Verdict.MAY_HAVE_RUN,
            "the key-value service did not settle the dispute; repeat it",
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

    def _on_rumour(self, rumour: state.GossipUpdate) -> None:
        if isinstance(rumour, state.UsageUpdate):
            self.book.on_update(rumour)

    def _is_writer(self) -> bool:
        if self.fleet is None:
            return True
        members = self.fleet.membership.members.values()
        writer = coordination.usage_writer(self.data_centre, members)
        return writer == self.fleet.name

    async def _read_last(self) -> tuple[state.UsageSegment, int] | None:
        """Return the segment to append to; note what the ledger books.

        An entry whose answer was lost is found here and not written
        again.
        """
        while True:
            found = await self._read(self.segment_number)
            if found is None:
                return None
            segment, _ = found
            totals = coordination.ledger_totals(segment.entries)
            for key, busy_ms in totals.items():
                self.booked[key] = max(busy_ms, self.booked.get(key, 0))
            if len(segment.entries) < usage.ENTRIES_PER_SEGMENT:
                return found
            self.segment_number += 1
            self.last_digest = segment.entries[-1].digest

    async def _append(
        self,
        segment: state.UsageSegment,
        version: int,
        grown: tuple[state.UsageTotal, ...],
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
            grown,
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
