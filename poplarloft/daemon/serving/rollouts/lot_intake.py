"""Takes lots in, with bounded memory and short turns of the event loop."""

import asyncio
from collections import abc

import eliot

from poplarloft.coordination import clients
from poplarloft.daemon.serving.rollouts import lot_service
from poplarloft.platform import lots
from poplarloft import state

__all__ = ["LotIntake"]

ITEMS_PER_TURN = 32
MAX_WAIT_S = 1.0  # for memory, while other lots are taken in
MEMORY_RETRY_MS = 500
FULL_RETRY_MS = 2_000


class LotIntake:
    """Decodes lots and has them stored.

    An item may be a few bytes long and costs many times that, in memory
    and in time. So only as many lots are taken in at once as there is
    memory for, and others are served between a few items and the next.

    Parameters
    ----------
    service : lot_service.LotService
        Stores the lots.
    max_bytes : int
        Memory for all lots that are being taken in.
    is_full : callable
        Returns whether so many lots wait that none should be accepted.
    """

    def __init__(
        self,
        service: lot_service.LotService,
        max_bytes: int,
        is_full: abc.Callable[[], bool],
    ) -> None:
        self.service = service
        self.is_full = is_full
        self.quota = clients.MemoryQuota(max_bytes)

    async def accept(self, source: lots.LotSource) -> state.Refusal | None:
        """Store a lot; return None once the store has acknowledged it.

        Raises
        ------
        FieldError
            If the lot is malformed.
        """
        if self.is_full():
            return _refusal(source.lot_id, "too many lots wait", FULL_RETRY_MS)
        size = lots.decoding_bytes(source.body)
        if not await self._take(size):
            return _refusal(
                source.lot_id,
                f"no memory for a lot of {size} bytes",
                MEMORY_RETRY_MS,
            )
        try:
            return await self.service.accept(await self._decode(source))
        finally:
            self.quota.give_back(size)

    def use(self) -> clients.ResourceUse:
        """Return the memory that lots take which are being taken in."""
        quota = self.quota
        return clients.ResourceUse(
            "intake-bytes", quota.taken_bytes, quota.max_bytes
        )

    async def _take(self, size: int) -> bool:
        """Wait for memory; return whether there is some in time."""
        loop = asyncio.get_running_loop()
        given: asyncio.Future[None] = loop.create_future()
        self.quota.ask(given, size, lambda: given.set_result(None))
        try:
            await asyncio.wait({given}, timeout=MAX_WAIT_S)
        except asyncio.CancelledError:
            if not self.quota.withdraw(given):
                self.quota.give_back(size)
            raise
        return not self.quota.withdraw(given)

    async def _decode(self, source: lots.LotSource) -> state.Lot:
        decoder = lots.LotDecoder(source)
        has_more = True
        while has_more:
            has_more = decoder.decode_items(ITEMS_PER_TURN)
            await asyncio.sleep(0)
        return decoder.lot()


def _refusal(lot_id: str, detail: str, retry_after_ms: int) -> state.Refusal:
    """Log and return the refusal of a lot, none of which has run."""
    eliot.log_message(
        "lot-refused",
        request=lot_id,
        reason=state.Reason.OVERLOADED.value,
        detail=detail,
    )
    return state.Refusal(
        state.Reason.OVERLOADED,
        state.Verdict.NOT_RUN,
        f"lot {lot_id!r} can't be taken in now: {detail}",
        retry_after_ms,
    )
