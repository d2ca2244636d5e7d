"""Copies of texts under way in the store, for a runner that follows."""

import asyncio
from collections import abc

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["CheckpointStore"]

INTERVAL_MS = 500
MIN_EVENTS = 12  # shorter texts are generated again as fast
GENERATION_MS = 8_000
RETRY_MS = 200
MAX_DELETES = 30  # a write takes 32 keys
MS_PER_S = 1_000


class CheckpointStore:
    """Writes pieces of texts; reads those of the runner before.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    store : state.RevisionStore
        Keeps the copies.
    fence : callable
        Returns the fencing number of the duty, which orders copies of
        runners, 0 while there is none.
    open_texts : callable
        Returns the texts that a successor should have.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        fence: abc.Callable[[], int],
        open_texts: abc.Callable[[], abc.Iterable[serving.ItemOutput]],
    ) -> None:
        self.store = store
        self.fence = fence
        self.open_texts = open_texts
        self.plan = serving.CheckpointPlan(clock, MIN_EVENTS, GENERATION_MS)
        self.number = 0
        self.written: list[str] = []
        self.outdated: list[str] = []

    async def read(self) -> serving.CheckpointCollector:
        """Return the copies of the runner before; none without answer."""
        found = serving.CheckpointCollector()
        after = ""
        while True:
            page = await self.store.list_page(lot_records.TEXTS_PREFIX, after)
            match page:
                case result.Success(state.Page() as held):
                    for entry in held.entries:
                        self._take(entry, found)
                        after = entry.key
                    if not held.has_more:
                        return found
                case result.Failure(failure):
                    eliot.log_message("texts-unread", detail=failure.detail)
                    return found

    async def run(self) -> None:
        """Copy what is new, until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_MS / MS_PER_S)
            if not self.fence():
                continue
            if self.plan.begin_generation_if_due():
                self.outdated += self.written
                self.written = []
            pieces = tuple(self.plan.pieces(self.open_texts()))
            if pieces:
                await self._write(pieces)

    def _take(
        self, entry: state.Entry, found: serving.CheckpointCollector
    ) -> None:
        self.outdated.append(entry.key)
        try:
            pieces = lot_records.decode_held(entry.value)
        except errors.FieldError as error:
            eliot.log_message(
                "entry-unreadable", key=entry.key, error=str(error)
            )
            return
        for piece in pieces:
            found.add(piece)

    async def _write(self, pieces: tuple[state.OutputCheckpoint, ...]) -> None:
        key = lot_records.texts_key(self.fence(), self.number)
        self.number += 1
        deletes = self.outdated[:MAX_DELETES]
        answer = await self.store.write(
            [],
            [state.Put(key, lot_records.encode_held(pieces))],
            deletes,
        )
        if answer.status is state.WriteStatus.APPLIED:
            self.written.append(key)
            del self.outdated[: len(deletes)]
            return
        # Later pieces would leave a gap after one that may be missing.
        self.written.append(key)
        self.plan.restart_generation()
        eliot.log_message(
            "texts-not-copied",
            pieces=len(pieces),
            outcome=answer.status.value,
            detail=answer.detail,
        )
