"""Holds the duty of running lots: one daemon of a cell at a time."""

import asyncio
from collections import abc
import dataclasses
import typing

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving import standby
from poplarloft.protocol import lot_records
from poplarloft.protocol import serving_messages
from poplarloft import state

__all__ = ["Duty", "Tenure"]

LEASE_MS = 2_500
RENEW_MS = 700
RETRY_MS = 250
EARLY_MS = 300  # a store that is there has answered by then
SILENCE_LOOK_MS = 100
WAIT_MS = 8_000  # well under the history that the store keeps
MS_PER_S = 1_000
FailureKind = state.StoreFailureKind
Status = state.WriteStatus


class Duty(typing.Protocol):
    """What is done while the duty is held."""

    fence: int
    may_order: bool

    async def start(self) -> None:
        """Begin."""

    async def stop(self) -> None:
        """End, leaving nothing under way."""

    def all_texts(self) -> abc.Iterable[serving.ItemText]:
        """Return the texts that a successor should have."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    """The runner's key, and the store's revision at that time."""

    entry: state.Entry | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Taken:
    """The duty, or with `fence` 0 the right to begin before it is had.

    `revision` is that of the key as its holder before left it,
    `writing` a write of it that may still be answered.
    """

    fence: int
    revision: int
    writing: asyncio.Task[int | None] | None = None


class Tenure:
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
    me : state.RunnerRecord
        This start of the daemon.
    link : standby.StandbyLink
        Tells whether the holder lives.
    make_duty : callable
        Returns the duty for a fencing number.
    follow : callable
        Told who runs the lots, None if this daemon does.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        me: state.RunnerRecord,
        link: standby.StandbyLink,
        make_duty: abc.Callable[[int], Duty],
        follow: abc.Callable[[state.RunnerRecord | None], None],
    ) -> None:
        self.clock = clock
        self.store = store
        self.me = me
        self.link = link
        self.succession = link.succession
        self.make_duty = make_duty
        self.follow = follow
        self.lease = 0
        self.has_answered = False
        self.last_seen: _Seen | None = None
        self.told_silent: state.RunnerRecord | None = None
        self.duty: Duty | None = None
        self.renewed_at_ms = 0
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
            duty = self.duty = self.make_duty(taken.fence)
            try:
                await self._serve(duty, taken)
            finally:
                await duty.stop()
                self.duty = None
            eliot.log_message("duty-lost", fence=duty.fence)

    async def give_up(self) -> None:
        """End the lease, so that another daemon takes over at once."""
        self.may_hold = False
        if self.lease:
            await self.store.end_lease(self.lease)
            self.lease = 0

    async def _serve(self, duty: Duty, taken: _Taken) -> None:
        """Do the duty until the lease is lost or the key is another's."""
        await duty.start()
        tasks = {
            asyncio.ensure_future(self._hold_on(duty, taken)),
            asyncio.ensure_future(
                self.link.beat(lambda: duty.fence, duty.all_texts)
            ),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _hold_on(self, duty: Duty, taken: _Taken) -> None:
        """Take the duty if that is left to do, then hold it."""
        if not taken.fence and not await self._acquire(duty, taken):
            return
        tasks = {
            asyncio.ensure_future(self._hold(duty)),
            asyncio.ensure_future(self._await_other(duty.fence)),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _acquire(self, duty: Duty, taken: _Taken) -> bool:
        """Try until the store is back; tell whether the duty is ours."""
        revision = taken.revision
        writing = taken.writing or self._begin_write(revision)
        while self.may_hold and self.succession.should_take_over():
            fence = await writing
            if fence is not None:
                duty.fence = fence
                duty.may_order = True
                eliot.log_message("duty-taken", fence=fence)
                return True
            seen = await self._look()
            if seen is not None:
                held = seen.entry
                if held is not None and held.revision != revision:
                    return False
                revision = state.ABSENT if held is None else revision
            await asyncio.sleep(RETRY_MS / MS_PER_S)
            writing = self._begin_write(revision)
        return False

    def _begin_write(self, revision: int) -> asyncio.Task[int | None]:
        return asyncio.ensure_future(self._write_holder(revision))

    async def _take(self) -> _Taken | None:
        """Return the fencing number once the duty is ours."""
        if not self.may_hold:
            return None
        seen = await self._look() or self.last_seen
        if seen is None:
            return None
        self.last_seen = seen
        if seen.entry is None:
            if self.succession.leaves_to_other():
                return None
            fence = await self._write_holder(state.ABSENT)
            return _Taken(fence, state.ABSENT) if fence else None
        return await self._stand_by(seen.entry, seen.revision)

    async def _look(self) -> _Seen | None:
        """Return the key as it is now, None if the store can't tell.

        A listing names the store's revision, from which a watch can go
        on also when the key's own is out of the store's history.
        """
        page = await self.store.list_page(lot_records.RUNNER_KEY)
        match page:
            case result.Success(state.Page(entries=entries, revision=at)):
                return _Seen(entries[0] if entries else None, at)
        return None

    async def _stand_by(
        self, entry: state.Entry, revision: int
    ) -> _Taken | None:
        """Wait until the key goes, or its holder is taken for dead."""
        runner = serving_messages.decode_runner(entry.value)
        self.succession.follow(runner)
        self.follow(runner)
        waits = {
            asyncio.ensure_future(
                self._await_change(entry.revision, revision)
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
            if self.has_answered:
                return None
        if self.link.is_informed and await self.link.may_begin():
            return _Taken(0, revision, writing)
        fence = await writing
        return None if fence is None else _Taken(fence, revision)

    async def _await_silence(self) -> None:
        while True:
            if self.succession.should_take_over():
                return
            await asyncio.sleep(SILENCE_LOOK_MS / MS_PER_S)

    async def _await_change(
        self, known: int, revision: int
    ) -> state.Entry | None:
        """Return the key's next state, None once it is removed.

        Parameters
        ----------
        known : int
            The key's own revision, `ABSENT` if it doesn't exist.
        revision : int
            The store's, from which to watch.
        """
        while True:
            answer = await self.store.watch(
                lot_records.RUNNER_KEY, revision, WAIT_MS
            )
            match answer:
                case result.Success(state.Changes() as found):
                    if found.changes:
                        return found.changes[-1].entry
                    continue
                case result.Failure(state.StoreFailure() as failure):
                    if failure.kind is not FailureKind.COMPACTED:
                        await asyncio.sleep(RETRY_MS / MS_PER_S)
            # The watch may have missed changes.
            seen = await self._look()
            if seen is None:
                continue
            held = state.ABSENT if seen.entry is None else seen.entry.revision
            if held != known:
                return seen.entry
            revision = seen.revision

    async def _await_other(self, fence: int) -> None:
        """Return once another daemon has taken the key."""
        known = revision = fence
        while True:
            entry = await self._await_change(known, revision)
            if entry is None:
                known = state.ABSENT
                continue
            known = entry.revision
            revision = max(revision, known)
            if serving_messages.decode_runner(entry.value) != self.me:
                self.succession.on_deposed()
                return

    async def _write_holder(self, revision: int) -> int | None:
        """Take the key if it is still at `revision`."""
        asked_at_ms = self.clock.now_ms()
        self.has_answered = False
        granted = await self.store.grant_lease(LEASE_MS)
        match granted:
            case result.Success(int() as lease):
                self.has_answered = True
                fence = await self._put(lease, revision)
            case _:
                return None
        if fence is None:
            return None
        self.lease = lease
        self.renewed_at_ms = asked_at_ms
        return fence

    async def _put(self, lease: int, revision: int) -> int | None:
        """Write the holder's key; settle an unknown outcome by reading."""
        key = lot_records.RUNNER_KEY
        value = serving_messages.encode_runner(self.me)
        answer = await self.store.write(
            [state.Expectation(key, revision)],
            [state.Put(key, value, lease)],
        )
        if answer.status is Status.APPLIED:
            return answer.revision
        if answer.status is Status.UNKNOWN:
            found = await self.store.get(key)
            match found:
                case result.Success(state.Entry() as entry):
                    if entry.value == value and entry.lease == lease:
                        return entry.revision
        return None

    async def _hold(self, duty: Duty) -> None:
        """Renew until the lease is gone and another daemon holds the key."""
        while self.may_hold:
            await asyncio.sleep(RENEW_MS / MS_PER_S)
            asked_at_ms = self.clock.now_ms()
            kept = await self.store.keep_lease(self.lease)
            match kept:
                case result.Success():
                    self.renewed_at_ms = asked_at_ms
                    duty.may_order = True
                case result.Failure(state.StoreFailure() as failure):
                    if failure.kind is FailureKind.LEASE_GONE:
                        if not await self._regain(duty):
                            return
                    elif self.clock.now_ms() - self.renewed_at_ms > LEASE_MS:
                        duty.may_order = False

    async def _regain(self, duty: Duty) -> bool:
        """Take the duty again if nobody has it; tell whether it is ours."""
        duty.may_order = False
        while self.may_hold:
            fence = await self._write_holder(state.ABSENT)
            if fence is not None:
                duty.fence = fence
                duty.may_order = True
                eliot.log_message("duty-regained", fence=fence)
                return True
            found = await self.store.get(lot_records.RUNNER_KEY)
            match found:
                case result.Success(state.Entry()):
                    return False
            await asyncio.sleep(RETRY_MS / MS_PER_S)
        return False
