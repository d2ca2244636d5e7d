"""Watches of the store that leave an access path which falls silent."""

import asyncio
from collections import abc
import typing

from returns import result

from poplarloft import state

__all__ = ["PathWatches"]

SILENT_CALLS = 2  # in a row; a single answer may be lost
T = typing.TypeVar("T")
Read = result.Result[T, state.StoreFailure]


class PathWatches:
    """Ends the watches on a path once other calls on it get no answer.

    A watch waits for seconds, and can't tell a path that is silent from one
    on which nothing changes; other calls can, within their timeout.
    """

    def __init__(self) -> None:
        self.silent_calls: dict[str, int] = {}
        self.abandoned: dict[str, asyncio.Event] = {}

    def on_answer(self, path: str) -> None:
        """Record that the store answered a call through a path."""
        self.silent_calls.pop(path, None)

    def on_no_answer(self, path: str) -> None:
        """Record a call without an answer; end the watches on its path."""
        calls = self.silent_calls.get(path, 0) + 1
        self.silent_calls[path] = calls
        if calls >= SILENT_CALLS and path in self.abandoned:
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
