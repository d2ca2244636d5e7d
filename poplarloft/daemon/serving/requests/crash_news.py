"""Shares crashes of upstreams with other instances and with the store.

What the store holds outlives all instances, so each crash is recorded there.
Other instances are told directly as well, which is faster and also works
while the store is unavailable. Instances compare digests of what they know
with the requests of the change feed, and one that lacks news reads the store.
"""

import asyncio
from collections import abc
import itertools

import eliot
from returns import result

from poplarloft import coordination
from poplarloft.daemon.serving.fleet import feed_link
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft.daemon import tasks
from poplarloft.platform import store as platform_store
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["CrashNews"]

# A suspect that completes meanwhile, as an innocent one does, is no news.
FIRST_CRASH_DELAY_MS = 150
FLUSH_INTERVAL_MS = 50
WRITE_RETRY_MS = 300
READ_RETRY_MS = 200
MISMATCH_MS = 800  # for news on their way
MIN_READ_INTERVAL_MS = 2_000
CLEANUP_INTERVAL_MS = 30_000
MAX_DELETES = 30  # the store accepts up to 32 keys per write
MS_PER_S = 1_000
Members = abc.Callable[[], abc.Mapping[str, state.PeerRecord]]


class CrashNews:
    """Publishes what this instance learns, and applies what others do.

    Parameters
    ----------
    clock, wall_clock : state.Clock
        Monotonic and Unix time.
    name : str
        Name of this instance.
    guard : coordination.PoisonGuard
        Holds what is known.
    store : state.RevisionStore
        Keeps the news.
    peers : peer_link.PeerLink
        Messages from and to other instances.
    members : callable
        Return the instances by name, empty until they are known.
    """

    def __init__(
        self,
        clock: state.Clock,
        wall_clock: state.Clock,
        name: str,
        guard: coordination.PoisonGuard,
        store: state.RevisionStore,
        peers: peer_link.PeerLink,
        members: Members,
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.name = name
        self.guard = guard
        self.store = store
        self.peers = peers
        self.members = members
        self.is_read = asyncio.Event()
        self.is_wanted = asyncio.Event()
        self.pending: list[state.GossipUpdate] = []
        self.pending_since_ms = 0
        self.is_urgent = False
        self.unwritten: list[state.CrashNotice] = []
        self.has_news = asyncio.Event()
        self.numbers = itertools.count(1)
        self.mismatch_since_ms: int | None = None
        self.read_at_ms = 0
        self.has_peers = False
        peers.on(state.CrashNotice, self._on_notice)

    def start(
        self, task_set: tasks.TaskSet, feed: feed_link.FeedLink | None
    ) -> None:
        """Read the store, then share news until the tasks are cancelled."""
        task_set.supervise(self._read_when_wanted)
        task_set.supervise(self._publish_news)
        task_set.supervise(self._clean_up)
        if feed is not None:
            feed.digest = self.guard.digest
            feed.on_digest = self.on_digest

    def publish(self, updates: abc.Sequence[state.GossipUpdate]) -> None:
        """Tell of what this instance has learnt, soon or at once.

        The first crash of a fingerprint can wait, later ones can't.
        """
        if not updates:
            return
        if not self.pending:
            self.pending_since_ms = self.clock.now_ms()
        self.pending += updates
        self.is_urgent |= any(map(self._is_urgent, updates))
        self.has_news.set()

    def on_digest(self, digest: int) -> None:
        """Compare another instance's digest with that of this one."""
        now_ms = self.clock.now_ms()
        if digest == self.guard.digest():
            self.mismatch_since_ms = None
            return
        if self.mismatch_since_ms is None:
            self.mismatch_since_ms = now_ms
        if (
            now_ms - self.mismatch_since_ms >= MISMATCH_MS
            and now_ms - self.read_at_ms >= MIN_READ_INTERVAL_MS
        ):
            self.read_at_ms = now_ms
            self.is_wanted.set()

    def _is_urgent(self, update: state.GossipUpdate) -> bool:
        match update:
            case state.CrashUpdate(fingerprint):
                return self.guard.crashes_of(fingerprint) > 1
            case state.QuarantineUpdate():
                return True
        return False

    def _on_notice(self, notice: state.CrashNotice) -> None:
        for update in notice.updates():
            self.guard.on_update(update)

    def on_peers(self) -> None:
        """Read the store again once other instances are known.

        News of the time before have reached neither. While there are
        quarantines it is read after each listing, as an operator may have
        released one.
        """
        if not self.has_peers or self.guard.quarantined:
            self.has_peers = True
            self.is_wanted.set()

    async def _read_when_wanted(self) -> None:
        """Read the store at first, and when another instance knows more."""
        self.is_wanted.set()
        while True:
            await self.is_wanted.wait()
            if await self._read():
                self.is_read.set()
                self.is_wanted.clear()
            else:
                await asyncio.sleep(READ_RETRY_MS / MS_PER_S)

    async def _read(self) -> bool:
        """Apply all news of the store; return whether all were read."""
        listed = await platform_store.list_all(
            self.store, lot_records.CRASHES_PREFIX
        )
        match listed:
            case result.Success(entries):
                await self._apply_entries(entries)
                return True
        return False

    async def _apply_entries(self, entries: list[state.Entry]) -> None:
        """Apply news of the store, and remove those that have expired."""
        expired = self._apply(entries)
        if entries:
            eliot.log_message(
                "crash-news-read",
                entries=len(entries),
                expired=len(expired),
                fingerprints=len(self.guard.histories),
                quarantined=len(self.guard.quarantined),
            )
        if expired:
            await self.store.write([], [], expired[:MAX_DELETES])

    def _apply(self, entries: abc.Iterable[state.Entry]) -> list[str]:
        """Apply news of the store; return the keys of expired ones."""
        settings = self.guard.settings
        kept_ms = settings.quarantine_ms + settings.retention_ms
        expired = []
        updates: list[state.GossipUpdate] = []
        for entry in entries:
            try:
                at_ms = lot_records.parse_crash_key(entry.key)
                notice = lot_records.decode_crashes(entry.value)
            except errors.ProtocolError as error:
                eliot.log_message(
                    "entry-unreadable", key=entry.key, error=str(error)[:200]
                )
                continue
            if self.wall_clock.now_ms() - at_ms > kept_ms:
                expired.append(entry.key)
            else:
                updates += notice.updates()
        self.guard.restore(updates)
        return expired

    async def _publish_news(self) -> None:
        while True:
            await self.has_news.wait()
            await asyncio.sleep(FLUSH_INTERVAL_MS / MS_PER_S)
            age_ms = self.clock.now_ms() - self.pending_since_ms
            if self.pending and (
                self.is_urgent or age_ms >= FIRST_CRASH_DELAY_MS
            ):
                self._send_pending()
            if self.unwritten and not await self._write_next():
                await asyncio.sleep(WRITE_RETRY_MS / MS_PER_S)
            if not self.pending and not self.unwritten:
                self.has_news.clear()

    def _send_pending(self) -> None:
        """Tell other instances what still counts, and keep it for the store.

        A crash whose suspect has completed before it was published stays
        unpublished, and so does its clearance.
        """
        updates, self.pending = self.pending, []
        self.is_urgent = False
        cleared = [u for u in updates if isinstance(u, state.ClearedUpdate)]
        unpublished = {
            u.key for u in updates if isinstance(u, state.CrashUpdate)
        }
        notice = state.CrashNotice(
            tuple(
                u
                for u in updates
                if isinstance(u, state.CrashUpdate)
                and not any(_clears(c, u) for c in cleared)
            ),
            tuple(c for c in cleared if not _crash_keys(c) <= unpublished),
            tuple(u for u in updates if isinstance(u, state.QuarantineUpdate)),
        )
        if not notice.updates():
            return
        self.unwritten.append(notice)
        for name, member in self.members().items():
            if name != self.name and member.feed is not None:
                self.peers.send_reliably(member.feed, notice)

    async def _write_next(self) -> bool:
        """Write the oldest news; return whether the store has them."""
        key = lot_records.crash_key(
            self.wall_clock.now_ms(), self.name, next(self.numbers)
        )
        value = lot_records.encode_crashes(self.unwritten[0])
        answer = await self.store.write([], [state.Put(key, value)])
        if answer.status is state.WriteStatus.APPLIED:
            del self.unwritten[0]
            return True
        eliot.log_message(
            "crash-news-unwritten",
            outcome=answer.status.value,
            detail=answer.detail[:200],
        )
        return False

    async def _clean_up(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_MS / MS_PER_S)
            self.guard.drop_expired()


def _clears(cleared: state.ClearedUpdate, crash: state.CrashUpdate) -> bool:
    is_same = cleared.fingerprint == crash.fingerprint
    return is_same and crash.run in cleared.runs


def _crash_keys(cleared: state.ClearedUpdate) -> set[tuple[str, str]]:
    """Return the keys of the crashes that a clearance ends."""
    return {
        state.CrashUpdate(cleared.fingerprint, *run, False).key
        for run in cleared.runs
    }
