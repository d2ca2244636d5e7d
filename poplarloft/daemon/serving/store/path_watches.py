"""Watches of the store that leave an access path which falls silent."""

import asyncio
from collections import abc
import typing

from returns import result

from poplarloft import state

__all__ = ["PathWatches"]

T = typing.TypeVar("T")
Read = result.Result[T, state.StoreFailure]


class PathWatches:
    """The watches that wait, by access path."""

    def __init__(self) -> None:
        self.abandoned: dict[str, asyncio.Event] = {}

    def end(self, path: str) -> None:
        """End the watches on a path, which then go on over another."""
        if path in self.abandoned:
            self.abandoned.pop(path).set()

    async def wait(self, path: str, watch: abc.Coroutine) -> Read[T]:
        """Return what a watch on a path finds.

        Returns a failure that allows another path if the watch is ended.
        """
        abandoned = self.abandoned.setdefault(path, asyncio.Event())
        watching = asyncio.ensure_future(watch)
        ending = asyncio.ensure_future(abandoned.wait())
        try:
            await asyncio.wait(
                (watching, ending), return_when=asyncio.FIRST_COMPLETED
            )
            if watching.done():
                return watching.result()
        finally:
            ending.cancel()
            watching.cancel()
        return result.Failure(
            state.StoreFailure(
                state.StoreFailureKind.NOT_DONE, "other calls get no answer"
            )
        )
