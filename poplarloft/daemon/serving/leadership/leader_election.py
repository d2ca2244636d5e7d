"""Election of the leader of a cell: the one daemon that runs its lots."""

import asyncio
from collections import abc
import dataclasses
import typing

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving.leadership import leader_key
from poplarloft.daemon.serving.leadership import order_lock
from poplarloft.daemon.serving.leadership import standby
from poplarloft.daemon import tasks
from poplarloft.protocol import errors
from poplarloft.protocol import serving_messages
from poplarloft import state

__all__ = ["LeaderElection", "Scheduler"]

RENEW_INTERVAL_MS = 700
ORDER_RENEW_INTERVAL_MS = 400  # orders need a recent renewal
RETRY_MS = 250
EARLY_START_DELAY_MS = 300  # an available store has answered by then
SILENCE_CHECK_INTERVAL_MS = 100
MS_PER_S = 1_000
FailureKind = state.StoreFailureKind


class Scheduler(typing.Protocol):
    """The scheduler of lots, which runs while this daemon leads.

    `fence` is the fencing token, 0 while this daemon leads provisionally.
    `may_send_orders` is whether orders may be sent to engines.
    """

    fence: int
    may_send_orders: bool

    async def start(self) -> None:
        """Start to run the open lots."""

    async def stop(self) -> None:
        """Stop all tasks and wait for their end."""

    def outputs_for_standbys(self) -> abc.Iterable[serving.ItemOutput]:
        """Return the outputs of which standbys need checkpoints."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Leadership:
    """Leadership, either confirmed by the store or provisional.

    If it is provisional, `fence` is 0. `revision` is the revision of the
    leader key that the acquisition expects; `pending_write` is an attempt
    to acquire the key that the store may still answer.
    """

    fence: int
    revision: int
    pending_write: asyncio.Task[int | None] | None = None


class LeaderElection:
    """Acquires leadership when no daemon has it; resigns on shutdown.

    While the store is unavailable the leader continues, since no other
    daemon can acquire leadership and each of its own writes is
    conditional; it only stops sending orders once its lease may have
    expired. If the leader fails meanwhile, its preferred standby starts
    early, as provisional leader: it generates the outputs of which it has
    checkpoints, and acquires leadership once the store is available again.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    store : state.RevisionStore
        Holds the leader key, under a lease.
    own_record : state.LeaderRecord
        Record of this incarnation of the daemon.
    link : standby.StandbyLink
        Exchanges heartbeats and checkpoints with the other daemons.
    make_scheduler : callable
        Returns the scheduler for a fencing token, 0 for an early start.
    on_leader : callable
        Called with the record of the leader, None if this daemon leads.
    orders : serving.OrderLock
        Tells the scheduler when orders may be sent. Its clock, and that of
        the lease, must advance while the instance is suspended.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        own_record: state.LeaderRecord,
        link: standby.StandbyLink,
        make_scheduler: abc.Callable[[int], Scheduler],
        on_leader: abc.Callable[[state.LeaderRecord | None], None],
        orders: serving.OrderLock,
    ) -> None:
        self.clock = clock
        self.store = store
        self.own_record = own_record
        self.link = link
        self.failover = link.failover
        self.make_scheduler = make_scheduler
        self.on_leader = on_leader
        self.orders = orders
        self.order_keeper = order_lock.OrderLockKeeper(store, orders)
        self.key = leader_key.LeaderKey(orders.clock, store, own_record)
        self.last_snapshot: leader_key.KeySnapshot | None = None
        self.reported_silent: state.LeaderRecord | None = None
        self.scheduler: Scheduler | None = None
        self.may_lead = True

    async def run(self) -> None:
        """Acquire leadership whenever that is possible, until cancelled."""
        while True:
            leadership = await self._campaign()
            if leadership is None:
                await asyncio.sleep(RETRY_MS / MS_PER_S)
                continue
            # in the log, "duty" is leadership and "runner" the leader
            eliot.log_message(
                "duty-taken" if leadership.fence else "duty-begun-early",
                fence=leadership.fence,
            )
            self.on_leader(None)
            scheduler = self.scheduler = self.make_scheduler(leadership.fence)
            try:
                await self._lead(scheduler, leadership)
            finally:
                self.orders.end()
                await scheduler.stop()
                self.scheduler = None
            eliot.log_message("duty-lost", fence=scheduler.fence)

    async def resign(self) -> None:
        """Release the order lock and the key; another daemon leads at once.

        The scheduler must have stopped. This daemon does not acquire
        leadership again.
        """
        self.may_lead = False
        await self.order_keeper.release()
        await self.key.release()

    async def _lead(
        self, scheduler: Scheduler, leadership: _Leadership
    ) -> None:
        """Run the scheduler until leadership is lost."""
        await scheduler.start()
        await tasks.run_first(
            self._keep_leadership(scheduler, leadership),
            self.link.send_heartbeats(
                lambda: scheduler.fence, scheduler.outputs_for_standbys
            ),
        )

    async def _keep_leadership(
        self, scheduler: Scheduler, leadership: _Leadership
    ) -> None:
        """Acquire leadership after an early start; return once it is lost."""
        if not leadership.fence and not await self._acquire(
            scheduler, leadership
        ):
            return
        self._begin_orders(scheduler)
        await tasks.run_first(
            self._renew(scheduler),
            self.order_keeper.run(),
            self._await_replacement(scheduler.fence),
        )

    def _begin_orders(self, scheduler: Scheduler) -> None:
        self.order_keeper.begin(
            self.key.lease, self.key.renewed_at_ms, scheduler.fence
        )

    async def _acquire(
        self, scheduler: Scheduler, leadership: _Leadership
    ) -> bool:
        """Retry until the key is acquired; return whether it was.

        Returns False once another daemon has acquired the key or sends
        heartbeats, or this daemon resigns.
        """
        revision = leadership.revision
        writing = leadership.pending_write or self._begin_acquire(revision)
        while self.may_lead and not self.failover.hears_leader():
            fence = await writing
            if fence is not None:
                scheduler.fence = fence
                scheduler.may_send_orders = True
                eliot.log_message("duty-taken", fence=fence)
                return True
            snapshot = await self.key.read()
            if snapshot is not None:
                entry = snapshot.entry
                if entry is not None and self._was_taken(entry, revision):
                    self.failover.on_replaced()
                    return False
                revision = state.ABSENT if entry is None else entry.revision
            await asyncio.sleep(RETRY_MS / MS_PER_S)
            writing = self._begin_acquire(revision)
        return False

    def _was_taken(self, entry: state.Entry, revision: int) -> bool:
        """Return whether another daemon acquired the key since `revision`.

        A newer revision may also be a write of this daemon that was applied
        without an answer.
        """
        return entry.revision != revision and not self.key.is_mine(entry)

    def _begin_acquire(self, revision: int) -> asyncio.Task[int | None]:
        return asyncio.ensure_future(self.key.acquire(revision))

    async def _campaign(self) -> _Leadership | None:
        """Wait until there is no leader or it has failed; try to acquire.

        Returns None if the daemon has resigned, has not read the key yet,
        hears a provisional leader, or did not acquire the key. Then the
        caller tries again after a pause.
        """
        if not self.may_lead:
            return None
        snapshot = await self.key.read() or self.last_snapshot
        if snapshot is None:
            return None
        self.last_snapshot = snapshot
        if snapshot.entry is None:
            if self.failover.has_provisional_leader():
                return None
            fence = await self.key.acquire(state.ABSENT)
            return _Leadership(fence, state.ABSENT) if fence else None
        return await self._stand_by(snapshot.entry, snapshot.revision)

    async def _stand_by(
        self, entry: state.Entry, revision: int
    ) -> _Leadership | None:
        """Follow the leader; fail over if it is presumed to have failed.

        Returns None if the key changed instead, or if the failover did not
        succeed.
        """
        try:
            leader = serving_messages.decode_leader(entry.value)
        except errors.FieldError as error:
            eliot.log_message(
                "entry-unreadable", key=entry.key, error=str(error)
            )
            return await self._fail_over(entry.revision)
        self.failover.set_leader(leader)
        self.on_leader(leader)
        await tasks.run_first(
            self.key.await_change(entry.revision, revision),
            self._await_silence(),
            self.link.subscribe(leader),
        )
        if not self.failover.should_take_over():
            return None
        if self.reported_silent != leader:
            self.reported_silent = leader
            eliot.log_message(
                "runner-silent",
                runner=leader.name,
                silent_ms=self.clock.now_ms() - self.failover.silent_since_ms,
                revision=entry.revision,
            )
        return await self._fail_over(entry.revision)

    async def _fail_over(self, revision: int) -> _Leadership | None:
        """Acquire the key, or start early while the store is unavailable.

        Only a standby with current checkpoints starts early, and only if
        another standby answers: otherwise this daemon may be the one that
        is cut off from the leader and all others.

        Returns None if this daemon neither acquired the key nor may start
        early.
        """
        writing = self._begin_acquire(revision)
        await asyncio.wait({writing}, timeout=EARLY_START_DELAY_MS / MS_PER_S)
        if writing.done():
            fence = writing.result()
            if fence is not None:
                return _Leadership(fence, revision)
            if self.key.has_answered:
                return None
        if self.link.is_synced and await self.link.may_start_early():
            return _Leadership(0, revision, writing)
        fence = await writing
        return None if fence is None else _Leadership(fence, revision)

    async def _await_silence(self) -> None:
        """Return once the leader is presumed to have failed."""
        while True:
            if self.failover.should_take_over():
                return
            if self.failover.should_ask():
                self.link.ask_others()
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_MS / MS_PER_S)

    async def _await_replacement(self, fence: int) -> None:
        """Return once another daemon has acquired the key."""
        # the fencing token is the revision at which the key was acquired
        known = revision = fence
        while True:
            entry = await self.key.await_change(known, revision)
            if entry is None:
                known = state.ABSENT
                continue
            known = entry.revision
            revision = max(revision, known)
            if not self.key.is_mine(entry):
                self.failover.on_replaced()
                return

    async def _renew(self, scheduler: Scheduler) -> None:
        """Renew the lease until another daemon holds the key.

        If the lease has expired, the key is acquired again. Orders stop
        while the lease may have expired.
        """
        interval_ms = RENEW_INTERVAL_MS
        if not self.orders.rules.engines_check_fence:
            interval_ms = ORDER_RENEW_INTERVAL_MS
        while self.may_lead:
            await asyncio.sleep(interval_ms / MS_PER_S)
            failed = await self.key.renew()
            if failed is None:
                self.orders.on_renewed(self.key.renewed_at_ms)
                scheduler.may_send_orders = True
            elif failed is FailureKind.LEASE_GONE:
                scheduler.may_send_orders = False
                self.orders.end()
                if not await self._acquire(
                    scheduler, _Leadership(0, state.ABSENT)
                ):
                    return
                self._begin_orders(scheduler)
            elif self.key.may_have_expired:
                scheduler.may_send_orders = False
