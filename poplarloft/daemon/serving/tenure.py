"""Holds the duty of running lots: one daemon of a cell at a time."""

import asyncio
from collections import abc
import typing

import eliot
from returns import result

from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["Duty", "Tenure"]

LEASE_MS = 2_500
RENEW_MS = 700
RETRY_MS = 250
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
    holder : str
        Name of this start of the daemon.
    make_duty : callable
        Returns the duty for a fencing number.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        holder: str,
        make_duty: abc.Callable[[int], Duty],
    ) -> None:
        self.clock = clock
        self.store = store
        self.holder = holder
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
            eliot.log_message("duty-taken", fence=fence, holder=self.holder)
            self.duty = self.make_duty(fence)
            try:
                await self.duty.start()
                await self._hold(self.duty)
            finally:
                await self.duty.stop()
                self.duty = None
            eliot.log_message("duty-lost", fence=fence, holder=self.holder)

    async def give_up(self) -> None:
        """End the lease, so that another daemon takes over at once."""
        self.may_hold = False
        if self.lease:
            await self.store.end_lease(self.lease)
            self.lease = 0

    async def _take(self) -> int | None:
        """Return the fencing number once the duty is ours."""
        found = await self.store.get(lot_records.RUNNER_KEY)
        match found:
            case result.Failure():
                return None
            case result.Success(state.Entry() as entry):
                await self._await_removal(entry.revision)
                return None
        return await self._write_holder()

    async def _await_removal(self, revision: int) -> None:
        while True:
            answer = await self.store.watch(
                lot_records.RUNNER_KEY, revision, WAIT_MS
            )
            match answer:
                case result.Success(state.Changes() as found):
                    if found.changes:
                        return
                    revision = max(revision, found.revision)
                case _:
                    await asyncio.sleep(RETRY_MS / MS_PER_S)
                    return

    async def _write_holder(self) -> int | None:
        if not self.may_hold:
            return None
        asked_at_ms = self.clock.now_ms()
        granted = await self.store.grant_lease(LEASE_MS)
        match granted:
            case result.Success(int() as lease):
                answer = await self._put(lease)
            case _:
                return None
        if answer is None:
            return None
        self.lease = lease
        self.renewed_at_ms = asked_at_ms
        return answer

    async def _put(self, lease: int) -> int | None:
        """Write the holder's key; settle an unknown outcome by reading."""
        key = lot_records.RUNNER_KEY
        value = self.holder.encode()
        put = state.Put(key, value, lease)
        answer = await self.store.write([state.Expectation(key)], [put])
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
            fence = await self._write_holder()
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
