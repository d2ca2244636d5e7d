"""Checkpoints of unfinished outputs in the store, for the next leader."""

import asyncio
from collections import abc

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["CheckpointStore"]

WRITE_INTERVAL_MS = 500
MIN_EVENTS = 12  # shorter outputs are generated again as fast as restored
CYCLE_INTERVAL_MS = 8_000
RETRY_MS = 200
MAX_DELETES = 30  # the store accepts up to 32 keys per write
MS_PER_S = 1_000


class CheckpointStore:
    """Writes checkpoints; reads and deletes those of the previous leader.

    Each write adds only new events, under a new key. The keys of earlier
    cycles are deleted once a new cycle has begun, since it starts with the
    outputs in full.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    store : state.RevisionStore
        Holds the checkpoints.
    fence : callable
        Returns the fencing token, which orders the checkpoints of
        successive leaders. Nothing is written while it is 0.
    unrecorded_outputs : callable
        Returns the outputs that the next leader should restore.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        fence: abc.Callable[[], int],
        unrecorded_outputs: abc.Callable[[], abc.Iterable[serving.ItemOutput]],
    ) -> None:
        self.store = store
        self.fence = fence
        self.unrecorded_outputs = unrecorded_outputs
        self.checkpoint_plan = serving.CheckpointPlan(
            clock, MIN_EVENTS, CYCLE_INTERVAL_MS
        )
        self.next_number = 0
        self.written_keys: list[str] = []
        self.outdated_keys: list[str] = []

    async def read(self) -> serving.CheckpointCollector:
        """Return the previous leader's checkpoints.

        If a read fails, only those read before are returned.
        """
        collector = serving.CheckpointCollector()
        after = ""
        while True:
            page = await self.store.list_page(
                lot_records.CHECKPOINTS_PREFIX, after
            )
            match page:
                case result.Success(state.Page() as listing):
                    for entry in listing.entries:
                        self._restore(entry, collector)
                        after = entry.key
                    if not listing.has_more:
                        return collector
                case result.Failure(failure):
                    eliot.log_message("texts-unread", detail=failure.detail)
                    return collector

    async def run(self) -> None:
        """Write checkpoints at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_MS / MS_PER_S)
            if not self.fence():
                continue
            if self.checkpoint_plan.begin_cycle_if_due():
                self.outdated_keys += self.written_keys
                self.written_keys = []
            increments = self.checkpoint_plan.next_increments(
                self.unrecorded_outputs()
            )
            for batch in serving.split_increments(increments):
                if batch and not await self._write(batch):
                    break

    def _restore(
        self, entry: state.Entry, collector: serving.CheckpointCollector
    ) -> None:
        """Add one entry's checkpoints; the entry is deleted later."""
        self.outdated_keys.append(entry.key)
        try:
            increments = lot_records.decode_checkpoints(entry.value)
        except errors.FieldError as error:
            eliot.log_message(
                "entry-unreadable", key=entry.key, error=str(error)
            )
            return
        for increment in increments:
            collector.add(increment)

    async def _write(
        self, increments: tuple[state.CheckpointIncrement, ...]
    ) -> bool:
        """Write increments under one key; return whether the store has them.

        Outdated keys are deleted with it.
        """
        key = lot_records.checkpoint_key(self.fence(), self.next_number)
        self.next_number += 1
        deletes = self.outdated_keys[:MAX_DELETES]
        answer = await self.store.write(
            [],
            [state.Put(key, lot_records.encode_checkpoints(increments))],
            deletes,
        )
        if answer.status is state.WriteStatus.APPLIED:
            self.written_keys.append(key)
            del self.outdated_keys[: len(deletes)]
            return True
        # This write may be missing, so later ones would follow a gap.
        self.written_keys.append(key)
        self.checkpoint_plan.restart_cycle()
        eliot.log_message(
            "texts-not-copied",
            pieces=len(increments),
            outcome=answer.status.value,
            detail=answer.detail,
        )
        return False
