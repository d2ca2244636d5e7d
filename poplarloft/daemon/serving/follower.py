"""Follows all keys under a prefix of the store."""

import asyncio
from collections import abc
import random
import typing

import eliot
from returns import result

from poplarloft import state

__all__ = ["FollowListener", "PrefixFollower"]

WAIT_MS = 8_000  # well under the history that the store keeps
FIRST_BACKOFF_MS = 200
MAX_BACKOFF_MS = 1_000
MS_PER_S = 1_000
FailureKind = state.StoreFailureKind


class FollowListener(typing.Protocol):
    """Takes what a follower learns."""

    def on_listing(self, entries: abc.Sequence[state.Entry]) -> None:
        """Take all entries that exist; others are gone."""

    def on_change(self, change: state.Change) -> None:
        """Take one change, in the order of revisions."""

    def on_lost(self) -> None:
        """Note that the store doesn't answer."""

    def on_regained(self) -> None:
        """Note that the store answers again."""


class PrefixFollower:
    """Lists a prefix once, then watches it; lists again after a gap.

    Parameters
    ----------
    store : state.RevisionStore
        The store.
    prefix : str
        What to follow.
    listener : FollowListener
        Told of each listing and change.
    pause_ms : int
        Time between two watches, so that changes come in fewer answers.
    """

    def __init__(
        self,
        store: state.RevisionStore,
        prefix: str,
        listener: FollowListener,
        pause_ms: int = 0,
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.listener = listener
        self.pause_ms = pause_ms
        self.revision = 0
        self.is_listed = asyncio.Event()
        self.backoff_ms = FIRST_BACKOFF_MS
        self.is_lost = False

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if await self._list():
                await self._watch_on()

    async def _list(self) -> bool:
        entries: list[state.Entry] = []
        after, revision = "", 0
        while True:
            page = await self.store.list_page(self.prefix, after)
            match page:
                case result.Success(state.Page() as found):
                    entries += found.entries
                    revision = revision or found.revision
                    if found.has_more and found.entries:
                        after = found.entries[-1].key
                        continue
                case result.Failure(failure):
                    await self._on_failure(failure)
                    return False
            break
        self._on_answer()
        # Changes made between two pages are seen again by the watch.
        self.revision = revision
        self.listener.on_listing(entries)
        self.is_listed.set()
        return True

    async def _watch_on(self) -> None:
        """Watch until history is missing."""
        while True:
            answer = await self.store.watch(
                self.prefix, self.revision, WAIT_MS
            )
            match answer:
                case result.Success(state.Changes() as found):
                    self._on_answer()
                    for change in found.changes:
                        self.listener.on_change(change)
                    self.revision = found.seen_revision(self.revision)
                    await asyncio.sleep(self.pause_ms / MS_PER_S)
                case result.Failure(state.StoreFailure() as failure):
                    if failure.kind is not FailureKind.COMPACTED:
                        await self._on_failure(failure)
                    # A watch that was cut may have missed changes.
                    return

    def _on_answer(self) -> None:
        self.backoff_ms = FIRST_BACKOFF_MS
        if self.is_lost:
            self.is_lost = False
            eliot.log_message("store-regained", prefix=self.prefix)
            self.listener.on_regained()

    async def _on_failure(self, failure: state.StoreFailure) -> None:
        if not self.is_lost:
            self.is_lost = True
            eliot.log_message(
                "store-lost",
                prefix=self.prefix,
                kind=failure.kind.value,
                detail=failure.detail,
            )
            self.listener.on_lost()
        jitter = random.uniform(0.7, 1.3)
        await asyncio.sleep(self.backoff_ms * jitter / MS_PER_S)
        self.backoff_ms = min(MAX_BACKOFF_MS, 2 * self.backoff_ms)
