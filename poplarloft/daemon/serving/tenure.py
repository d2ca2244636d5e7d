"""Holds the duty of running lots: one daemon of a cell at a time."""

import asyncio
from collections import abc
import dataclasses
import typing

import eliot
from returns import result

from poplarloft.daemon.serving import standby
from poplarloft.protocol import lot_records
from poplarloft.protocol import standby as standby_messages
from poplarloft import state

__all__ = ["Duty", "Tenure"]

LEASE_MS = 2_500
RENEW_MS = 700
RETRY_MS = 250
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    """The runner's key, and the store's revision at that time."""

    entry: state.Entry | None
    revision: int


class Tenure:
    """Takes the duty when nobody has it, and gives it up in order.

    While the store is away the holder goes on, since nobody else can
    take over and each of its writes is conditional; it only gives no
    orders once its lease may have ended.

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
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        me: state.RunnerRecord,
        link: standby.StandbyLink,
        make_duty: abc.Callable[[int], Duty],
    ) -> None:
        self.clock = clock
        self.store = store
        self.me = me
        self.link = link
        self.succession = link.succession
        self.make_duty = make_duty
        self.lease = 0
        self.duty: Duty | None = None
        self.renewed_at_ms = 0
        self.may_hold = True

    async def run(self) -> None:
        """Take the duty again and again until cancelled."""
        while True:
            fence = await self._take()
            if fence is None:
                await asyncio.sleep(RETRY_MS / MS_PER_S)
                continue
            eliot.log_message("duty-taken", fence=fence)
            self.duty = self.make_duty(fence)
            try:
                await self._serve(self.duty, fence)
            finally:
                await self.duty.stop()
                self.duty = None
            eliot.log_message("duty-lost", fence=fence)

    async def give_up(self) -> None:
        """End the lease, so that another daemon takes over at once."""
        self.may_hold = False
        if self.lease:
            await self.store.end_lease(self.lease)
            self.lease = 0

    async def _serve(self, duty: Duty, fence: int) -> None:
        """Do the duty until the lease is lost or the key is another's."""
        await duty.start()
        tasks = {
            asyncio.ensure_future(self._hold(duty)),
            asyncio.ensure_future(self._await_other(fence)),
            asyncio.ensure_future(self.link.beat(lambda: duty.fence)),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _take(self) -> int | None:
        """Return the fencing number once the duty is ours."""
        if not self.may_hold:
            return None
        seen = await self._look()
        if seen is None:
            return None
        if seen.entry is None:
            return await self._write_holder(state.ABSENT)
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

    async def _stand_by(self, entry: state.Entry, revision: int) -> int | None:
        """Wait until the key goes, or its holder is taken for dead."""
        runner = standby_messages.decode_runner(entry.value)
        self.succession.follow(runner)
        waits = {
            asyncio.ensure_future(self._await_change(revision)),
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
        eliot.log_message(
            "runner-silent",
            runner=runner.name,
            silent_ms=self.clock.now_ms() - self.succession.heard_at_ms,
            revision=entry.revision,
        )
        return await self._write_holder(entry.revision)

    async def _await_silence(self) -> None:
        while True:
            if self.succession.should_take_over():
                return
            await asyncio.sleep(SILENCE_LOOK_MS / MS_PER_S)

    async def _await_change(self, revision: int) -> state.Entry | None:
        """Return the key's next state, None once it is removed."""
        while True:
            answer = await self.store.watch(
                lot_records.RUNNER_KEY, revision, WAIT_MS
            )
            match answer:
                case result.Success(state.Changes() as found):
                    if found.changes:
                        return found.changes[-1].entry
                case result.Failure(state.StoreFailure() as failure):
                    if failure.kind is not FailureKind.COMPACTED:
                        await asyncio.sleep(RETRY_MS / MS_PER_S)
                    return None

    async def _await_other(self, fence: int) -> None:
        """Return once another daemon has taken the key."""
        revision = fence
        while True:
            entry = await self._await_change(revision)
            if entry is None:
                seen = await self._look()
                if seen is None or seen.entry is None:
                    await asyncio.sleep(RETRY_MS / MS_PER_S)
                    continue
                entry, revision = seen.entry, seen.revision
            revision = max(revision, entry.revision)
            if standby_messages.decode_runner(entry.value) != self.me:
                self.succession.on_deposed()
                return

    async def _write_holder(self, revision: int) -> int | None:
        """Take the key if it is still at `revision`."""
        asked_at_ms = self.clock.now_ms()
        granted = await self.store.grant_lease(LEASE_MS)
        match granted:
            case result.Success(int() as lease):
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
        value = standby_messages.encode_runner(self.me)
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
