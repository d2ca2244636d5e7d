"""Holds the lock for orders in the store."""

import asyncio

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft.protocol import serving_messages
from poplarloft import state

__all__ = ["OrderLockKeeper"]

MS_PER_S = 1_000
NOT_FOUND = 404  # the lease has ended already
OK = 200


class OrderLockKeeper:
    """Carries out the store calls that an order lock decides on.

    Parameters
    ----------
    store : state.RevisionStore
        Holds the lock's record.
    lock : serving.OrderLock
        Decides on the calls.
    """

    def __init__(
        self, store: state.RevisionStore, lock: serving.OrderLock
    ) -> None:
        self.store = store
        self.lock = lock
        self.begun = asyncio.Event()

    def begin(self, lease: int, requested_at_ms: int, fence: int) -> None:
        """Start to acquire the lock under a new lease."""
        self.lock.begin(lease, requested_at_ms, fence)
        self.begun.set()

    async def run(self) -> None:
        """Acquire the lock whenever it was begun, until cancelled."""
        while True:
            self.begun.clear()
            match self.lock.next_action():
                case serving.ReadHolder():
                    await self._read()
                case serving.RevokeLease(lease):
                    await self._revoke(lease)
                case serving.WriteHolder(holder, revision):
                    await self._write(holder, revision)
                case None:
                    await self._wait()

    async def release(self) -> None:
        """Release the lock, so that a successor need not wait.

        All orders of this daemon must have ended.
        """
        released = self.lock.release()
        if released is None:
            return
        answer = await self._put(released.holder, released.revision)
        eliot.log_message("order-lock-released", outcome=answer.status.value)

    async def _wait(self) -> None:
        wait_ms = self.lock.wait_ms()
        timeout_s = None if wait_ms is None else wait_ms / MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                await self.begun.wait()
        except TimeoutError:
            pass

    async def _read(self) -> None:
        found = await self.store.get(lot_records.ORDER_LOCK_KEY)
        match found:
            case result.Success(None):
                self.lock.on_read(None, state.ABSENT)
            case result.Success(state.Entry() as entry):
                self.lock.on_read(_decode(entry), entry.revision)
            case _:
                self.lock.on_failed()

    async def _revoke(self, lease: int) -> None:
        answer = await self.store.revoke_lease(lease)
        match answer:
            case result.Success(status) if status in (OK, NOT_FOUND):
                self.lock.on_revoked()
                eliot.log_message(
                    "order-lock-waits",
                    holder=str(self.lock.holder),
                    wait_ms=self.lock.wait_ms(),
                )
            case _:
                self.lock.on_failed()

    async def _write(self, holder: state.OrderHolder, revision: int) -> None:
        answer = await self._put(holder, revision)
        self.lock.on_written(answer.status, answer.revision)
        eliot.log_message(
            "order-lock-written",
            outcome=answer.status.value,
            held=self.lock.is_held,
        )

    async def _put(
        self, holder: state.OrderHolder, revision: int
    ) -> state.WriteAnswer:
        key = lot_records.ORDER_LOCK_KEY
        value = serving_messages.encode_order_holder(holder)
        return await self.store.write(
            [state.Expectation(key, revision)], [state.Put(key, value)]
        )


def _decode(entry: state.Entry) -> state.OrderHolder:
    """Return the holder in an entry; a holder without a name if malformed.

    Its lease is unknown, so only the wait protects from its orders.
    """
    try:
        return serving_messages.decode_order_holder(entry.value)
    except errors.FieldError as error:
        eliot.log_message("entry-unreadable", key=entry.key, error=str(error))
        return state.OrderHolder("", 0)
