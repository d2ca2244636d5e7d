"""The time until which requests are served while a process stops."""

import asyncio
from collections import abc
import contextlib

from poplarloft import state

__all__ = ["StopDeadline"]

MS_PER_S = 1_000


class StopDeadline:
    """Ends the requests in flight before the process ends.

    Each of them gets a response that tells whether it may have run, which
    a connection that is closed does not.
    """

    def __init__(self) -> None:
        self.timeouts: set[asyncio.Timeout] = set()
        self.ends_at_s: float | None = None

    def set(self, remaining_ms: float) -> None:
        """Stop after a time, in which requests are still served."""
        now_s = asyncio.get_running_loop().time()
        self.ends_at_s = now_s + remaining_ms / MS_PER_S
        for timeout in self.timeouts:
            timeout.reschedule(self.ends_at_s)

    def has_time_for(self, route: state.PathRoute, allowed_ms: int) -> bool:
        """Return whether a request can be served before the end.

        One that may run only once needs all of its time, since it cannot
        be sent again elsewhere.
        """
        if self.ends_at_s is None:
            return True
        needed_ms = allowed_ms
        if route.is_repeatable:
            needed_ms = min(allowed_ms, route.objective_ms)
        now_s = asyncio.get_running_loop().time()
        return (self.ends_at_s - now_s) * MS_PER_S >= needed_ms

    @contextlib.asynccontextmanager
    async def applied(self) -> abc.AsyncIterator[None]:
        """Raise TimeoutError in the block at the end, which may come later."""
        async with asyncio.timeout_at(self.ends_at_s) as timeout:
            self.timeouts.add(timeout)
            try:
                yield
            finally:
                self.timeouts.discard(timeout)
