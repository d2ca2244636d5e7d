"""Keeps this daemon in the list of members, and follows the list."""

import asyncio
from collections import abc
import dataclasses
import typing

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon import tasks
from poplarloft.platform import store as platform_store
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft.protocol import serving_messages
from poplarloft import state

__all__ = ["MemberRegistry", "Membership"]

FIRST_LIST_DELAY_MS = 3_000  # all daemons of a fleet have started by then
LEAVE_TIMEOUT_MS = 1_500
MS_PER_S = 1_000
Status = state.WriteStatus
FailureKind = state.StoreFailureKind
Members = dict[str, state.PeerRecord]


class Membership(typing.Protocol):
    """Which instances live, as far as this one knows."""

    @property
    def members(self) -> abc.Mapping[str, state.PeerRecord]:
        """All instances by name, empty until they are known."""

    @property
    def may_issue(self) -> bool:
        """Whether this instance may act as one that others rely on."""

    def now_ms(self) -> int:
        """Return the Unix time that instances compare, in milliseconds."""

    async def list_once(self) -> None:
        """List the members now if they have not been listed yet."""

    def on_reached(self, name: str) -> None:
        """Note that an instance has just answered."""

    def on_silent(self, name: str) -> None:
        """Note that an instance does not answer; it may be gone."""


class MemberRegistry:
    """The entry of this daemon in the store, and those of all others.

    Parameters
    ----------
    store : state.RevisionStore
        Has the entries.
    name : str
        Name of this daemon.
    wall_clock : state.Clock
        Unix time.

    Attributes
    ----------
    listeners : list of callable
        Called after the members were listed.
    is_retiring : callable
        Returns whether this daemon is to be taken away, and so is not
        listed again once its entry is gone.
    """

    def __init__(
        self,
        store: state.RevisionStore,
        name: str,
        wall_clock: state.Clock,
    ) -> None:
        self.store = store
        self.name = name
        clock = state.BootClock()
        self.wall_clock = state.SteadyWallClock(wall_clock, clock)
        self.tenure = serving.Tenure(clock)
        self.roster = serving.Roster(clock)
        self.record: state.PeerRecord | None = None
        self.lease = 0
        self.revision = 0  # of this daemon's entry
        self.listing = asyncio.Lock()
        self.is_wanted = asyncio.Event()
        self.listeners: list[abc.Callable[[], None]] = []
        self.is_retiring: abc.Callable[[], bool] = lambda: False

    @property
    def members(self) -> Members:
        """All daemons by name, empty until they have been listed."""
        return self.roster.members

    @property
    def may_issue(self) -> bool:
        """Whether this daemon may act as one that others rely on."""
        return (
            self.tenure.is_current
            and self.roster.has_all_of_start
            and not self.is_retiring()
        )

    def now_ms(self) -> int:
        """Return the Unix time in milliseconds, without steps."""
        return self.wall_clock.now_ms()

    def start(self, record: state.PeerRecord, task_set: tasks.TaskSet) -> None:
        """Start keeping this daemon listed, and listing all."""
        self.record = record
        task_set.supervise(self._stay_listed)
        task_set.supervise(self._follow_list)

    async def leave(self) -> None:
        """Take this daemon off the list, before it ends."""
        was_listed = self.tenure.is_listed
        self.tenure.leave()
        if not was_listed:
            return
        # A new run of this daemon may have written the key since.
        key = lot_records.member_key(self.name)
        expected = [state.Expectation(key, self.revision)]
        status = Status.UNKNOWN
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_MS / MS_PER_S):
                answer = await self.store.write(expected, [], [key])
                status = answer.status
        except TimeoutError:
            pass  # its lease ends
        eliot.log_message("member-left", outcome=status.value)

    async def list_once(self) -> None:
        """List the members now if they have not been listed yet."""
        async with self.listing:
            if self.members or self.roster.next_listing_in_ms() > 0:
                return
            await self._list()

    async def read(self, allow_stale: bool = True) -> Members | None:
        """Return all daemons that are listed, None if not readable."""
        listed = await platform_store.list_all(
            self.store, lot_records.MEMBERS_PREFIX, allow_stale=allow_stale
        )
        match listed:
            case result.Success(entries):
                return _decode_members(entries)
        return None

    def on_reached(self, name: str) -> None:
        """Note that a daemon has just answered."""
        self.roster.on_reached(name)

    def on_silent(self, name: str) -> None:
        """List the members soon, as one may be gone."""
        self.is_wanted.set()

    async def _follow_list(self) -> None:
        await asyncio.sleep(FIRST_LIST_DELAY_MS / MS_PER_S)
        while True:
            self.is_wanted.clear()
            async with self.listing:
                await self._list()
            await self._await_next_listing()

    async def _await_next_listing(self) -> None:
        """Wait until the list is to be read again, or until it is wanted."""
        try:
            wait_ms = self.roster.next_listing_in_ms()
            async with asyncio.timeout(wait_ms / MS_PER_S):
                await self.is_wanted.wait()
        except TimeoutError:
            return
        wait_ms = self.roster.next_listing_in_ms(is_wanted=True)
        await asyncio.sleep(wait_ms / MS_PER_S)

    async def _list(self) -> None:
        asked_at_ms = self.roster.clock.now_ms()
        listed = await self.read(not self.roster.needs_current_listing)
        if listed is None:
            self.roster.on_unreadable()
            return
        gone = self.roster.on_listing(listed, asked_at_ms)
        if gone:
            eliot.log_message(
                "members-gone",
                members=len(self.members),
                gone=len(gone),
                names=gone[:10],
            )
        if self.name in gone and self.tenure.is_listed:
            self._on_lapsed("not listed")
        for listener in self.listeners:
            listener()

    async def _stay_listed(self) -> None:
        """Renew this daemon's lease; write its entry if that is gone."""
        while not self.tenure.has_left:
            wait_ms = self.tenure.next_attempt_in_ms()
            if wait_ms:
                await asyncio.sleep(wait_ms / MS_PER_S)
                continue
            self.tenure.on_attempt()
            if self.tenure.is_listed:
                await self._renew()
            elif not self.is_retiring():
                await self._register()

    async def _renew(self) -> None:
        match await self.store.renew_lease(self.lease):
            case result.Success(_):
                self.tenure.on_done()
            case result.Failure(failure):
                if failure.kind is FailureKind.LEASE_GONE:
                    self._on_lapsed(failure.detail)
                else:
                    self.tenure.on_failed()

    def _on_lapsed(self, detail: str) -> None:
        self.tenure.on_lapsed()
        eliot.log_message(
            "member-lapsed", lapses=self.tenure.lapses, detail=detail
        )

    async def _register(self) -> None:
        """Write this daemon's entry under a new lease."""
        answer = await self._write_entry()
        if self.tenure.has_left:
            return
        if answer.status is Status.APPLIED:
            self.revision = answer.revision
            self.tenure.on_done()
            if self.record is not None:
                self.roster.on_registered(self.name, self.record)
            self.is_wanted.set()
        else:
            self.tenure.on_failed()
        eliot.log_message(
            "member-listed",
            outcome=answer.status.value,
            lease=self.lease,
            settles_at_ms=self.record.settles_at_ms if self.record else 0,
            detail=answer.detail[:200],
        )

    async def _write_entry(self) -> state.WriteAnswer:
        assert self.record is not None
        key = lot_records.member_key(self.name)
        found = await self.store.get(key)
        granted = await self.store.grant_lease(serving.MEMBER_LEASE_MS)
        match found, granted:
            case result.Success(entry), result.Success(int() as lease):
                self.lease = lease
                self.record = dataclasses.replace(
                    self.record, settles_at_ms=self._settling_time_ms(entry)
                )
                value = serving_messages.encode_member(self.record)
                return await self.store.write(
                    [], [state.Put(key, value, lease)]
                )
        return state.WriteAnswer(Status.NOT_DONE, detail="no lease")

    def _settling_time_ms(self, entry: state.Entry | None) -> int:
        """Return when this daemon is settled.

        One whose entry is still there has been missed by nobody, and keeps
        its place.
        """
        if entry is not None:
            try:
                earlier = serving_messages.decode_member(entry.value)
            except errors.ProtocolError:
                pass
            else:
                return earlier.settles_at_ms
        return serving.settling_time_ms(self.now_ms())


def _decode_members(entries: list[state.Entry]) -> Members:
    """Return the daemons by name, without those that are malformed."""
    members = {}
    for entry in entries:
        name = entry.key.removeprefix(lot_records.MEMBERS_PREFIX)
        try:
            members[name] = serving_messages.decode_member(entry.value)
        except errors.ProtocolError as error:
            eliot.log_message(
                "entry-unreadable", key=entry.key, error=str(error)
            )
    return members
