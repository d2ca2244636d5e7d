"""Follows all keys under a prefix of the store by listing and watching."""

import asyncio
from collections import abc
import dataclasses
import random
import typing

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import feed_link
from poplarloft import state

__all__ = ["PrefixListener", "PrefixWatcher"]

WATCH_TIMEOUT_MS = 8_000  # well within the history that the store retains
MAX_TRANSIT_MS = 250  # a response is taken to be at most this old
FIRST_BACKOFF_MS = 200
MAX_BACKOFF_MS = 1_000
MS_PER_S = 1_000
FailureKind = state.StoreFailureKind


class PrefixListener(typing.Protocol):
    """Receiver of the listings and changes of a prefix."""

    def on_listing(self, entries: abc.Sequence[state.Entry]) -> None:
        """Handle a complete listing; keys not in it have been removed."""

    def on_change(self, change: state.Change) -> None:
        """Handle one change; changes come in the order of revisions."""

    def on_store_unavailable(self) -> None:
        """Handle that the store stopped answering."""

    def on_store_available(self) -> None:
        """Handle that the store answers again."""


def _as_it_is(entry: state.Entry) -> state.Entry:
    return entry


class PrefixWatcher:
    """Lists a prefix once, then watches it; lists again after a gap.

    With a feed from other daemons it uses their updates instead of
    watching, for as long as these are fresh enough.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    store : state.RevisionStore
        The store.
    prefix : str
        Prefix of the keys to follow.
    listener : PrefixListener
        Notified of each listing and change.
    pause_ms : int
        Pause between two watches, which batches changes into fewer
        responses.
    feed : feed_link.FeedLink or None
        Updates from other daemons.
    seal : callable
        Returns an entry without its secrets, which neither this instance
        nor its peers need.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        prefix: str,
        listener: PrefixListener,
        pause_ms: int = 0,
        feed: feed_link.FeedLink | None = None,
        seal: abc.Callable[[state.Entry], state.Entry] = _as_it_is,
    ) -> None:
        self.clock = clock
        self.store = store
        self.seal = seal
        self.prefix = prefix
        self.listener = listener
        self.pause_ms = pause_ms
        self.feed = feed
        self.history = serving.PrefixHistory(clock, prefix)
        if feed is not None:
            feed.register(self.history)
        self.backoff_ms = FIRST_BACKOFF_MS
        self.is_unavailable = False

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            if await self._list():
                await self._follow()

    async def _list(self) -> bool:
        entries: list[state.Entry] = []
        after, revision = "", 0
        requested_at_ms = self.clock.now_ms()
        while True:
            page = await self.store.list_page(self.prefix, after)
            match page:
                case result.Success(state.Page() as found):
                    entries += map(self.seal, found.entries)
                    revision = revision or found.revision
                    if found.has_more:
                        after = found.entries[-1].key
                        continue
                case result.Failure(failure):
                    await self._on_failure(failure)
                    return False
            break
        self._on_success()
        # The watch starts at the first page's revision, so it repeats
        # changes made between two pages.
        self.history.on_listing(entries, revision, requested_at_ms)
        self.listener.on_listing(entries)
        return True

    async def _follow(self) -> None:
        """Use updates of peers while they are fresh, otherwise watch.

        Returns once changes may have been missed.
        """
        while True:
            feed = self.feed
            if feed is not None and feed.reader.is_fresh(self.prefix):
                await self._consume_feed(feed)
                return
            if not await self._watch():
                return

    async def _consume_feed(self, feed: feed_link.FeedLink) -> None:
        """Apply updates of peers until the latest ones are too old."""
        history = self.history
        eliot.log_message("feed-begun", prefix=self.prefix)
        while remaining_ms := feed.reader.remaining_freshness_ms(
            history.confirmed_at_ms
        ):
            part = await feed.next_part(self.prefix, remaining_ms)
            if part is not None:
                self._apply_part(part)
        eliot.log_message(
            "feed-ended",
            prefix=self.prefix,
            revision=history.revision,
            age_ms=self.clock.now_ms() - history.confirmed_at_ms,
        )

    def _apply_part(self, part: state.FeedPart) -> None:
        history = self.history
        confirmed_at_ms = self.clock.now_ms() - part.age_ms
        if not part.is_whole:
            for change in history.apply_changes(part.changes, part.revision):
                self.listener.on_change(change)
        elif part.revision > history.revision:
            entries = [c.entry for c in part.changes if c.entry is not None]
            history.on_listing(entries, part.revision, confirmed_at_ms)
            self.listener.on_listing(entries)
        history.confirm(confirmed_at_ms)

    async def _watch(self) -> bool:
        """Watch once; return whether no change can have been missed."""
        wait_ms, pause_ms = self._watch_timing()
        requested_at_ms = self.clock.now_ms()
        response = await self.store.watch(
            self.prefix, self.history.revision, wait_ms
        )
        match response:
            case result.Success(state.Changes() as found):
                self._on_success()
                seen = found.seen_revision(self.history.revision)
                changes = map(self._sealed, found.changes)
                for change in self.history.apply_changes(changes, seen):
                    self.listener.on_change(change)
                now_ms = self.clock.now_ms()
                self.history.confirm(
                    max(requested_at_ms, now_ms - MAX_TRANSIT_MS)
                )
                await asyncio.sleep(pause_ms / MS_PER_S)
                return True
            case result.Failure(state.StoreFailure() as failure):
                if failure.kind is not FailureKind.COMPACTED:
                    await self._on_failure(failure)
        # A failed watch may have missed changes.
        return False

    def _sealed(self, change: state.Change) -> state.Change:
        if change.entry is None:
            return change
        return dataclasses.replace(change, entry=self.seal(change.entry))

    def _watch_timing(self) -> tuple[int, int]:
        """Return the time-out of a watch, and the pause after it.

        A daemon that is a source for others watches in shorter rounds.
        """
        if self.feed is None:
            return WATCH_TIMEOUT_MS, self.pause_ms
        if self.feed.reader.is_source:
            pause_ms = min(self.pause_ms, self.feed.source_pause_ms)
            return self.feed.source_wait_ms, pause_ms
        return self.feed.own_wait_ms, self.pause_ms

    def _on_success(self) -> None:
        self.backoff_ms = FIRST_BACKOFF_MS
        if self.is_unavailable:
            self.is_unavailable = False
            eliot.log_message("store-regained", prefix=self.prefix)
            self.listener.on_store_available()

    async def _on_failure(self, failure: state.StoreFailure) -> None:
        if not self.is_unavailable:
            self.is_unavailable = True
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
