"""Reads that concurrent callers share."""

import asyncio
from collections import abc
import typing

__all__ = ["SharedRead"]

MS_PER_S = 1_000
T = typing.TypeVar("T")


class SharedRead(typing.Generic[T]):
    """Runs a read for all callers that wait for one.

    A caller gets the result of a read that has begun after its call, as an
    earlier one may miss what the caller asks for.

    Parameters
    ----------
    read : callable
        The read.
    min_interval_ms : int
        Time between the starts of two reads.
    """

    def __init__(
        self,
        read: abc.Callable[[], abc.Awaitable[T]],
        min_interval_ms: int,
    ) -> None:
        self.read = read
        self.min_interval_ms = min_interval_ms
        self.next: asyncio.Task[T] | None = None
        self.may_begin_s = 0.0

    async def __call__(self) -> T:
        """Return the result of the next read."""
        if self.next is None:
            self.next = asyncio.ensure_future(self._run())
        # A caller that is cancelled doesn't cancel the read of the others.
        return await asyncio.shield(self.next)

    async def _run(self) -> T:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, self.may_begin_s - loop.time()))
        self.next = None  # later callers wait for another read
        self.may_begin_s = loop.time() + self.min_interval_ms / MS_PER_S
        return await self.read()
