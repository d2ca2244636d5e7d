"""Follows all keys under a prefix of the store."""

import asyncio
from collections import abc
import random
import typing

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving import feed_link
from poplarloft import state

__all__ = ["PrefixListener", "PrefixWatcher"]

WAIT_MS = 8_000  # well under the history that the store keeps
ANSWER_WAY_MS = 250
FIRST_BACKOFF_MS = 200
MAX_BACKOFF_MS = 1_000
MS_PER_S = 1_000
FailureKind = state.StoreFailureKind


class PrefixListener(typing.Protocol):
    """Takes what a follower learns."""

    def on_listing(self, entries: abc.Sequence[state.Entry]) -> None:
        """Take all entries that exist; others are gone."""

    def on_change(self, change: state.Change) -> None:
        """Take one change, in the order of revisions."""

    def on_store_unavailable(self) -> None:
        """Note that the store doesn't answer."""

    def on_store_available(self) -> None:
        """Note that the store answers again."""


class PrefixWatcher:
    """Lists a prefix once, then watches it; lists again after a gap.

    With a link to other daemons it takes their news instead of watching,
    as long as the store confirmed them a short while ago.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    store : state.RevisionStore
        The store.
    prefix : str
        What to follow.
    listener : PrefixListener
        Told of each listing and change.
    pause_ms : int
        Time between two watches, so that changes come in fewer answers.
    link : feed_link.FeedLink or None
        Other daemons that may know the news.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        prefix: str,
        listener: PrefixListener,
        pause_ms: int = 0,
        link: feed_link.FeedLink | None = None,
    ) -> None:
        self.clock = clock
        self.store = store
        self.prefix = prefix
        self.listener = listener
        self.pause_ms = pause_ms
        self.link = link
        self.book = serving.PrefixHistory(clock, prefix)
        if link is not None:
            link.register(self.book)
        self.backoff_ms = FIRST_BACKOFF_MS
        self.is_lost = False

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if await self._list():
                await self._follow_on()

    async def _list(self) -> bool:
        entries: list[state.Entry] = []
        after, revision = "", 0
        asked_at_ms = self.clock.now_ms()
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
        self.book.on_listing(entries, revision, asked_at_ms)
        self.listener.on_listing(entries)
        return True

    async def _follow_on(self) -> None:
        """Take news of others while they are fresh, else watch.

        Returns once changes may have been missed.
        """
        while True:
            link = self.link
            if link is not None and link.reader.is_fresh(self.prefix):
                await self._take_parts(link)
                return
            if not await self._watch():
                return

    async def _take_parts(self, link: feed_link.FeedLink) -> None:
        """Take news of others until the newest are too old."""
        book = self.book
        eliot.log_message("feed-begun", prefix=self.prefix)
        while left_ms := link.reader.fresh_for_ms(book.confirmed_at_ms):
            part = await link.next_part(self.prefix, left_ms)
            if part is not None:
                self._take_part(part)
        eliot.log_message(
            "feed-ended",
            prefix=self.prefix,
            revision=book.revision,
            age_ms=self.clock.now_ms() - book.confirmed_at_ms,
        )

    def _take_part(self, part: state.FeedPart) -> None:
        book = self.book
        confirmed_at_ms = self.clock.now_ms() - part.age_ms
        if not part.is_whole:
            for change in book.apply_changes(part.changes, part.revision):
                self.listener.on_change(change)
        elif part.revision > book.revision:
            entries = [c.entry for c in part.changes if c.entry is not None]
            book.on_listing(entries, part.revision, confirmed_at_ms)
            self.listener.on_listing(entries)
        book.confirm(confirmed_at_ms)

    async def _watch(self) -> bool:
        """Watch once; tell whether all changes were surely seen."""
        wait_ms, pause_ms = self._pace()
        asked_at_ms = self.clock.now_ms()
        answer = await self.store.watch(
            self.prefix, self.book.revision, wait_ms
        )
        match answer:
            case result.Success(state.Changes() as found):
                self._on_answer()
                seen = found.seen_revision(self.book.revision)
                for change in self.book.apply_changes(found.changes, seen):
                    self.listener.on_change(change)
                now_ms = self.clock.now_ms()
                self.book.confirm(max(asked_at_ms, now_ms - ANSWER_WAY_MS))
                await asyncio.sleep(pause_ms / MS_PER_S)
                return True
            case result.Failure(state.StoreFailure() as failure):
                if failure.kind is not FailureKind.COMPACTED:
                    await self._on_failure(failure)
        # A watch that was cut may have missed changes.
        return False

    def _pace(self) -> tuple[int, int]:
        """Return how long to watch, and the pause after it."""
        if self.link is None:
            return WAIT_MS, self.pause_ms
        if self.link.reader.is_source:
            pause_ms = min(self.pause_ms, self.link.hub_pause_ms)
            return self.link.hub_wait_ms, pause_ms
        return self.link.own_wait_ms, self.pause_ms

    def _on_answer(self) -> None:
        self.backoff_ms = FIRST_BACKOFF_MS
        if self.is_lost:
            self.is_lost = False
            eliot.log_message("store-regained", prefix=self.prefix)
            self.listener.on_store_available()

    async def _on_failure(self, failure: state.StoreFailure) -> None:
        if not self.is_lost:
            self.is_lost = True
            eliot.log_message(
                "store-lost",
                prefix=self.prefix,
                kind=failure.kind.value,
                detail=failure.detail,
            )
            self.listener.on_store_unavailable()
        jitter = random.uniform(0.7, 1.3)
        await self.store.wait_until_available(self.backoff_ms * jitter)
        self.backoff_ms = min(MAX_BACKOFF_MS, 2 * self.backoff_ms)
