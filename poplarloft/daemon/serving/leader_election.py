"""Holds the duty of running lots: one daemon of a cell at a time."""

import asyncio
from collections import abc
import dataclasses
import typing

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving import leader_key
from poplarloft.daemon.serving import standby
from poplarloft.protocol import serving_messages
from poplarloft import state

__all__ = ["LeaderElection", "Scheduler"]

RENEW_MS = 700
RETRY_MS = 250
EARLY_MS = 300  # a store that is there has answered by then
SILENCE_LOOK_MS = 100
MS_PER_S = 1_000
FailureKind = state.StoreFailureKind


class Scheduler(typing.Protocol):
    """What is done while the duty is held."""

    fence: int
    may_send_orders: bool

    async def start(self) -> None:
        """Begin."""

    async def stop(self) -> None:
        """End, leaving nothing under way."""

    def all_outputs(self) -> abc.Iterable[serving.ItemOutput]:
        """Return the texts that a successor should have."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Taken:
    """The scheduler, or with `fence` 0 the right to begin before it is had.

    `revision` is that of the key as its holder before left it,
    `writing` a write of it that may still be answered.
    """

    fence: int
    revision: int
    writing: asyncio.Task[int | None] | None = None


class LeaderElection:
    """Takes the duty when nobody has it, and gives it up in order.

    While the store is away the holder goes on, since nobody else can
    take over and each of its writes is conditional; it only gives no
    orders once its lease may have ended. A holder that ends meanwhile is
    followed by its heir, which generates what it has copies of and takes
    the duty once the store is back.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    store : state.RevisionStore
        Keeps the holder under a lease.
    me : state.LeaderRecord
        This start of the daemon.
    link : standby.StandbyLink
        Tells whether the holder lives.
    make_scheduler : callable
        Returns the scheduler for a fencing number.
    follow : callable
        Told who runs the lots, None if this daemon does.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        me: state.LeaderRecord,
        link: standby.StandbyLink,
        make_scheduler: abc.Callable[[int], Scheduler],
        follow: abc.Callable[[state.LeaderRecord | None], None],
    ) -> None:
        self.clock = clock
        self.store = store
        self.me = me
        self.link = link
        self.succession = link.succession
        self.make_scheduler = make_scheduler
        self.follow = follow
        self.key = leader_key.LeaderKey(clock, store, me)
        self.last_seen: leader_key.KeySnapshot | None = None
        self.told_silent: state.LeaderRecord | None = None
        self.scheduler: Scheduler | None = None
        self.may_hold = True

    async def run(self) -> None:
        """Take the duty again and again until cancelled."""
        while True:
            taken = await self._take()
            if taken is None:
                await asyncio.sleep(RETRY_MS / MS_PER_S)
                continue
            eliot.log_message(
                "duty-taken" if taken.fence else "duty-begun-early",
                fence=taken.fence,
            )
            self.follow(None)
            scheduler = self.scheduler = self.make_scheduler(taken.fence)
            try:
                await self._serve(scheduler, taken)
            finally:
                await scheduler.stop()
                self.scheduler = None
            eliot.log_message("duty-lost", fence=scheduler.fence)

    async def resign(self) -> None:
        """End the lease, so that another daemon takes over at once."""
        self.may_hold = False
        await self.key.end()

    async def _serve(self, scheduler: Scheduler, taken: _Taken) -> None:
        """Do the duty until the lease is lost or the key is another's."""
        await scheduler.start()
        tasks = {
            asyncio.ensure_future(self._hold_on(scheduler, taken)),
            asyncio.ensure_future(
                self.link.send_heartbeats(
                    lambda: scheduler.fence, scheduler.all_outputs
                )
            ),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _hold_on(self, scheduler: Scheduler, taken: _Taken) -> None:
        """Take the duty if that is left to do, then hold it."""
        if not taken.fence and not await self._acquire(scheduler, taken):
            return
        tasks = {
            asyncio.ensure_future(self._hold(scheduler)),
            asyncio.ensure_future(self._await_other(scheduler.fence)),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _acquire(self, scheduler: Scheduler, taken: _Taken) -> bool:
        """Try until the store answers; tell whether the duty is ours.

        Gives way to another daemon that holds the key, or whose beats
        are heard.
        """
        revision = taken.revision
        writing = taken.writing or self._begin_write(revision)
        while self.may_hold and not self.succession.hears_leader():
            fence = await writing
            if fence is not None:
                scheduler.fence = fence
                scheduler.may_send_orders = True
                eliot.log_message("duty-taken", fence=fence)
                return True
            seen = await self.key.look()
            if seen is not None:
                held = seen.entry
                if held is not None and self._is_others(held, revision):
                    return False
                revision = state.ABSENT if held is None else held.revision
            await asyncio.sleep(RETRY_MS / MS_PER_S)
            writing = self._begin_write(revision)
        return False

    def _is_others(self, entry: state.Entry, revision: int) -> bool:
        """Tell whether another daemon took the key since `revision`.

        A write of ours may have been done without an answer.
        """
        return entry.revision != revision and not self.key.is_mine(entry)

    def _begin_write(self, revision: int) -> asyncio.Task[int | None]:
        return asyncio.ensure_future(self.key.take(revision))

    async def _take(self) -> _Taken | None:
        """Return the fencing number once the duty is ours."""
        if not self.may_hold:
            return None
        seen = await self.key.look() or self.last_seen
        if seen is None:
            return None
        self.last_seen = seen
        if seen.entry is None:
            if self.succession.has_provisional_leader():
                return None
            fence = await self.key.take(state.ABSENT)
            return _Taken(fence, state.ABSENT) if fence else None
        return await self._stand_by(seen.entry, seen.revision)

    async def _stand_by(
        self, entry: state.Entry, revision: int
    ) -> _Taken | None:
        """Wait until the key goes, or its holder is taken for dead."""
        runner = serving_messages.decode_runner(entry.value)
        self.succession.set_leader(runner)
        self.follow(runner)
        waits = {
            asyncio.ensure_future(
                self.key.await_change(entry.revision, revision)
            ),
            asyncio.ensure_future(self._await_silence()),
        }
        subscription = asyncio.ensure_future(self.link.subscribe(runner))
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (*waits, subscription):
                task.cancel()
            await asyncio.gather(*waits, subscription, return_exceptions=True)
        if not self.succession.should_take_over():
            return None
        if self.told_silent != runner:
            self.told_silent = runner
            eliot.log_message(
                "runner-silent",
                runner=runner.name,
                silent_ms=self.clock.now_ms() - self.succession.heard_at_ms,
                revision=entry.revision,
            )
        return await self._succeed(entry.revision)

    async def _succeed(self, revision: int) -> _Taken | None:
        """Take the key, or begin without it while the store is away.

        Only a standby that has the texts begins; and not if it may be
        the one that is cut off from the runner and all others.
        """
        writing = self._begin_write(revision)
        await asyncio.wait({writing}, timeout=EARLY_MS / MS_PER_S)
        if writing.done():
            fence = writing.result()
            if fence is not None:
                return _Taken(fence, revision)
            if self.key.has_answered:
                return None
        if self.link.is_synced and await self.link.may_start_early():
            return _Taken(0, revision, writing)
        fence = await writing
        return None if fence is None else _Taken(fence, revision)

    async def _await_silence(self) -> None:
        while True:
            if self.succession.should_take_over():
                return
            await asyncio.sleep(SILENCE_LOOK_MS / MS_PER_S)

    async def _await_other(self, fence: int) -> None:
        """Return once another daemon has taken the key."""
        known = revision = fence
        while True:
            entry = await self.key.await_change(known, revision)
            if entry is None:
                known = state.ABSENT
                continue
            known = entry.revision
            revision = max(revision, known)
            if not self.key.is_mine(entry):
                self.succession.on_replaced()
                return

    async def _hold(self, scheduler: Scheduler) -> None:
        """Renew until the lease is gone and another daemon holds the key."""
        while self.may_hold:
            await asyncio.sleep(RENEW_MS / MS_PER_S)
            failed = await self.key.renew()
            if failed is None:
                scheduler.may_send_orders = True
            elif failed is FailureKind.LEASE_GONE:
                scheduler.may_send_orders = False
                if not await self._acquire(scheduler, _Taken(0, state.ABSENT)):
                    return
            elif self.key.has_lapsed:
                scheduler.may_send_orders = False
