"""The key in the store that names the leader of a cell."""

import asyncio
import dataclasses

from returns import result

from poplarloft.protocol import lot_records
from poplarloft.protocol import serving_messages
from poplarloft import state

__all__ = ["KeySnapshot", "LeaderKey"]

LEASE_MS = 2_500
RETRY_MS = 250
WATCH_TIMEOUT_MS = 8_000  # well within the history that the store retains
MS_PER_S = 1_000
FailureKind = state.StoreFailureKind
Status = state.WriteStatus


@dataclasses.dataclass(frozen=True, slots=True)
class KeySnapshot:
    """The state of the leader key at one revision of the store.

    `entry` is None if the key does not exist.
    """

    entry: state.Entry | None
    revision: int


class LeaderKey:
    """Reads, watches and acquires the leader key.

    The key is attached to a lease, so it is deleted if its holder stops
    renewing.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    store : state.RevisionStore
        Holds the key.
    own_record : state.LeaderRecord
        Record of this incarnation of the daemon, the value of the key.

    Attributes
    ----------
    lease : int
        The lease with which this daemon last acquired the key, 0 if none.
    has_answered : bool
        Whether the store answered the last attempt to acquire the key.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        own_record: state.LeaderRecord,
    ) -> None:
        self.clock = clock
        self.store = store
        self.own_record = own_record
        self.lease = 0
        self.renewed_at_ms = 0
        self.has_answered = False

    @property
    def may_have_expired(self) -> bool:
        """Whether the lease may have expired in the store."""
        return self.clock.now_ms() - self.renewed_at_ms > LEASE_MS

    def is_mine(self, entry: state.Entry) -> bool:
        """Return whether this incarnation of the daemon wrote the key."""
        return entry.value == serving_messages.encode_leader(self.own_record)

    async def renew(self) -> FailureKind | None:
        """Renew the lease; return the kind of failure, None on success."""
        requested_at_ms = self.clock.now_ms()
        answer = await self.store.renew_lease(self.lease)
        match answer:
            case result.Failure(state.StoreFailure() as failure):
                return failure.kind
        self.renewed_at_ms = requested_at_ms
        return None

    async def release(self) -> None:
        """Revoke the lease, so that another daemon can acquire the key."""
        if self.lease:
            await self.store.revoke_lease(self.lease)
            self.lease = 0

    async def read(self) -> KeySnapshot | None:
        """Return the key's current state, None if the store is unavailable.

        The key is read through a listing, since a listing has the store's
        revision. A watch can continue from that one even if the key's own
        revision is no longer in the store's history.
        """
        page = await self.store.list_page(lot_records.LEADER_KEY)
        match page:
            case result.Success(state.Page(entries=entries, revision=at)):
                return KeySnapshot(entries[0] if entries else None, at)
        return None

    async def await_change(
        self, known: int, revision: int
    ) -> state.Entry | None:
        """Wait for a change of the key and return its entry, None if deleted.

        Parameters
        ----------
        known : int
            The key's own revision, `ABSENT` if it does not exist.
        revision : int
            The store's revision from which to watch.
        """
        while True:
            answer = await self.store.watch(
                lot_records.LEADER_KEY, revision, WATCH_TIMEOUT_MS
            )
            match answer:
                case result.Success(state.Changes() as found):
                    if found.changes:
                        return found.changes[-1].entry
                    continue
                case result.Failure(state.StoreFailure() as failure):
                    if failure.kind is not FailureKind.COMPACTED:
                        await asyncio.sleep(RETRY_MS / MS_PER_S)
            # The watch failed and may have missed changes.
            current = await self.read()
            if current is None:
                continue
            own_revision = (
                state.ABSENT
                if current.entry is None
                else current.entry.revision
            )
            if own_revision != known:
                return current.entry
            revision = current.revision

    async def acquire(self, revision: int) -> int | None:
        """Write the key if it is still at `revision`.

        Returns the fencing token, which is the revision of the write, or
        None if the key was not acquired.
        """
        requested_at_ms = self.clock.now_ms()
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
        self.renewed_at_ms = requested_at_ms
        return fence

    async def _put(self, lease: int, revision: int) -> int | None:
        """Write the key; read it back if the write's outcome is unknown."""
        key = lot_records.LEADER_KEY
        value = serving_messages.encode_leader(self.own_record)
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
