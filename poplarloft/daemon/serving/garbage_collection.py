"""Removes the lists of lots that ended long ago."""

import asyncio

import eliot
from returns import result

from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["LotGarbageCollector"]

SWEEP_MS = 60_000
MAX_KEYS = 30  # a write takes 32 keys
MS_PER_S = 1_000


class LotGarbageCollector:
    """Removes what nobody may read any more.

    Parameters
    ----------
    wall_clock : state.Clock
        The time that the keys of ended lots carry.
    store : state.RevisionStore
        Keeps the lists.
    kept_ms : int
        Time for which a lot can be read after its end.
    """

    def __init__(
        self, wall_clock: state.Clock, store: state.RevisionStore, kept_ms: int
    ) -> None:
        self.wall_clock = wall_clock
        self.store = store
        self.kept_ms = kept_ms

    async def run(self) -> None:
        """Sweep now and then until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_MS / MS_PER_S)
            await self.sweep()

    async def sweep(self) -> None:
        """Remove the lists whose time has passed."""
        page = await self.store.list_page(lot_records.ENDED_PREFIX)
        match page:
            case result.Success(state.Page(entries=entries)):
                for entry in entries:
                    ended_at_ms, lot_id = lot_records.parse_ended_key(
                        entry.key
                    )
                    age_ms = self.wall_clock.now_ms() - ended_at_ms
                    if age_ms > self.kept_ms:
                        await self._remove(entry.key, lot_id)

    async def _remove(self, ended_key: str, lot_id: str) -> None:
        prefix = lot_records.batches_prefix(lot_id)
        page = await self.store.list_page(prefix)
        match page:
            case result.Success(state.Page(entries=entries, has_more=more)):
                keys = [entry.key for entry in entries][:MAX_KEYS]
                is_last = not more and len(keys) == len(entries)
                if is_last:
                    keys.append(ended_key)
                answer = await self.store.write([], [], keys)
                eliot.log_message(
                    "lot-removed",
                    request=lot_id,
                    keys=len(keys),
                    outcome=answer.status.value,
                )
