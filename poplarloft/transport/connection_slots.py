"""Bounds the number of connections that a client keeps open."""

import asyncio
import collections
import itertools
import math

__all__ = ["ConnectionSlots", "Slot"]

_Queue = collections.deque[asyncio.Future[None]]


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

    Those who ask to be first come before all others.

    Parameters
    ----------
    count : int or None
        Number of slots; None for no bound.
    """

    def __init__(self, count: int | None = None) -> None:
        self.count = math.inf if count is None else count
        self.taken = 0
        self.first: _Queue = collections.deque()
        self.others: _Queue = collections.deque()

    @property
    def is_free(self) -> bool:
        """Whether a slot can be taken at once."""
        return self.taken < self.count

    @property
    def is_awaited(self) -> bool:
        """Whether somebody waits for a slot."""
        waiting = itertools.chain(self.first, self.others)
        return any(not waiter.done() for waiter in waiting)

    def take_extra(self) -> Slot:
        """Take a slot at once, also beyond the bound."""
        self.taken += 1
        return Slot(self)

    async def take(self, is_first: bool = True) -> Slot:
        """Take a slot, waiting until one is free."""
        if self.is_free:
            self.taken += 1
            return Slot(self)
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        (self.first if is_first else self.others).append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.give_back()
            raise
        return Slot(self)

    def give_back(self) -> None:
        """Give a slot to who has waited longest, if anybody waits.

        One beyond the bound goes to nobody.
        """
        while self.taken <= self.count and (self.first or self.others):
            waiter = (self.first or self.others).popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.taken -= 1
