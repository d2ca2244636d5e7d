"""Deletes what the store holds of lots and nobody needs any more."""

import asyncio

import eliot
from returns import result

from poplarloft.daemon.serving.store import lots_view
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["LotGarbageCollector"]

COLLECTION_INTERVAL_MS = 60_000
RECORD_KEPT_MS = 60_000  # most trainers end a lot long before
MAX_DELETES = 30  # the store accepts up to 32 keys per write
MS_PER_S = 1_000


class LotGarbageCollector:
    """Deletes results and records of lots in the store.

    Results go once their retention time has passed. The record of a lot,
    with its items, goes a while after all results have been recorded, also
    if its trainer never ends it; the results stay until then.

    Parameters
    ----------
    wall_clock : state.Clock
        Wall clock, as in the keys that mark ended lots.
    store : state.RevisionStore
        Holds the result logs.
    retention_ms : int
        Time for which a lot can be read after its end.
    view : lots_view.LotsView
        Knows the lots of which all results have been recorded.
    """

    def __init__(
        self,
        wall_clock: state.Clock,
        store: state.RevisionStore,
        retention_ms: int,
        view: lots_view.LotsView,
    ) -> None:
        self.view = view
        self.wall_clock = wall_clock
        self.store = store
        self.retention_ms = retention_ms

    async def run(self) -> None:
        """Collect garbage at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(COLLECTION_INTERVAL_MS / MS_PER_S)
            await self.collect()
            await self.delete_records()

    async def delete_records(self) -> None:
        """Delete the records of lots that finished and were not ended."""
        finished = self.view.finished_for(RECORD_KEPT_MS)[:MAX_DELETES]
        if not finished:
            return
        keys = [lot_records.lot_key(lot_id) for lot_id in finished]
        answer = await self.store.write([], [], keys)
        eliot.log_message(
            "records-removed", lots=len(keys), outcome=answer.status.value
        )

    async def collect(self) -> None:
        """Delete result logs that are past their retention time.

        At most one write per ended lot is made, so a long log takes
        several collections.
        """
        page = await self.store.list_page(lot_records.ENDED_PREFIX)
        match page:
            case result.Success(state.Page(entries=entries)):
                for entry in entries:
                    ended_at_ms, lot_id = lot_records.parse_ended_key(
                        entry.key
                    )
                    age_ms = self.wall_clock.now_ms() - ended_at_ms
                    if age_ms > self.retention_ms:
                        await self._delete(entry.key, lot_id)

    async def _delete(self, ended_key: str, lot_id: str) -> None:
        """Delete batches of a lot's log, with the last ones its end key."""
        prefix = lot_records.batches_prefix(lot_id)
        page = await self.store.list_page(prefix)
        match page:
            case result.Success(state.Page(entries=entries, has_more=more)):
                keys = [entry.key for entry in entries][:MAX_DELETES]
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
