"""Bounds the number of connections that a client keeps open."""

import asyncio
import collections
import math

__all__ = ["ConnectionSlots", "Slot"]


class Slot:
    """The right to keep one connection open, until it is released."""

    def __init__(self, slots: "ConnectionSlots") -> None:
        self.slots = slots
        self.is_released = False

    def release(self) -> None:
        """Give the slot back; further calls do nothing."""
        if not self.is_released:
            self.is_released = True
            self.slots.give_back()


class ConnectionSlots:
    """Slots for connections, given out in the order of asking.

    Parameters
    ----------
    count : int or None
        Number of slots; None for no bound.
    """

    def __init__(self, count: int | None = None) -> None:
        self.count = math.inf if count is None else count
        self.taken = 0
        self.waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @property
    def is_bounded(self) -> bool:
        """Whether there is a bound."""
        return not math.isinf(self.count)

    @property
    def is_free(self) -> bool:
        """Whether a slot can be taken at once."""
        return self.taken < self.count

    @property
    def is_awaited(self) -> bool:
        """Whether somebody waits for a slot."""
        return any(not waiter.done() for waiter in self.waiters)

    async def take(self) -> Slot:
        """Take a slot, waiting until one is free."""
        if self.is_free:
            self.taken += 1
            return Slot(self)
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.give_back()
            raise
        return Slot(self)

    def give_back(self) -> None:
        """Give a slot to who has waited longest, if anybody waits."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.taken -= 1
