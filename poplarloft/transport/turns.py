"""Shares the turns of the event loop among those with much to do."""

import asyncio
import collections

__all__ = ["TurnQueue"]


class TurnQueue:
    """Lets a bounded number of tasks go on in each turn of the loop.

    Parameters
    ----------
    per_turn : int
        Number of tasks.
    """

    def __init__(self, per_turn: int) -> None:
        self.per_turn = per_turn
        self.waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    async def wait(self) -> None:
        """Wait for a turn, after those who have waited longer."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        if not self.waiters:
            loop.call_soon(self._release)
        self.waiters.append(waiter)
        await waiter

    def _release(self) -> None:
        left = self.per_turn
        while self.waiters and left:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                left -= 1
        if self.waiters:
            asyncio.get_running_loop().call_soon(self._release)
