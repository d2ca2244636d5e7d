"""A stream reader that knows how many bytes it holds."""

import asyncio
from collections import abc
import typing

__all__ = ["CountingReader"]


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts the bytes that have arrived.

    Parameters
    ----------
    limit : int
        The transport pauses once twice as many bytes are unread.

    Attributes
    ----------
    arrived_bytes, read_bytes : int
        Number of bytes that have arrived, and that were read of these.
    on_unexpected : callable or None
        Called instead of buffering data, when none is expected.
    on_arrival : callable or None
        Called after data has been buffered.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(limit, asyncio.get_running_loop())
        self.arrived_bytes = 0
        self.read_bytes = 0
        self.on_unexpected: abc.Callable[[], None] | None = None
        self.on_arrival: abc.Callable[[], None] | None = None

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that have arrived and were not read."""
        return self.arrived_bytes - self.read_bytes

    def feed_data(self, data: typing.Any) -> None:
        """Buffer data that has arrived, unless none is expected."""
        self.arrived_bytes += len(data)
        if self.on_unexpected is not None:
            self.on_unexpected()
            return
        super().feed_data(data)
        if self.on_arrival is not None:
            self.on_arrival()

    async def read(self, n: int = -1) -> bytes:
        """Return up to `n` bytes, empty at the end."""
        data = await super().read(n)
        self.read_bytes += len(data)
        return data
