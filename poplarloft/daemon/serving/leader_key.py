"""The key in the store that names the daemon which runs the lots."""

import asyncio
import dataclasses

from returns import result

from poplarloft.protocol import lot_records
from poplarloft.protocol import serving_messages
from poplarloft import state

__all__ = ["KeySnapshot", "LeaderKey"]

LEASE_MS = 2_500
RETRY_MS = 250
WAIT_MS = 8_000  # well under the history that the store keeps
MS_PER_S = 1_000
FailureKind = state.StoreFailureKind
Status = state.WriteStatus


@dataclasses.dataclass(frozen=True, slots=True)
class KeySnapshot:
    """The runner's key, and the store's revision at that time."""

    entry: state.Entry | None
    revision: int


class LeaderKey:
    """Reads, watches and takes the key.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    store : state.RevisionStore
        Keeps the key under a lease.
    me : state.LeaderRecord
        This start of the daemon.

    Attributes
    ----------
    lease : int
        The lease under which this daemon took the key last.
    has_answered : bool
        Whether the store answered the last attempt to take the key.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.RevisionStore,
        me: state.LeaderRecord,
    ) -> None:
        self.clock = clock
        self.store = store
        self.me = me
        self.lease = 0
        self.renewed_at_ms = 0
        self.has_answered = False

    @property
    def has_lapsed(self) -> bool:
        """Tell whether the lease may have ended."""
        return self.clock.now_ms() - self.renewed_at_ms > LEASE_MS

    def is_mine(self, entry: state.Entry) -> bool:
        """Tell whether this start of the daemon wrote the key."""
        return serving_messages.decode_runner(entry.value) == self.me

    async def renew(self) -> FailureKind | None:
        """Renew the lease; return why that failed."""
        asked_at_ms = self.clock.now_ms()
        kept = await self.store.renew_lease(self.lease)
        match kept:
            case result.Failure(state.StoreFailure() as failure):
                return failure.kind
        self.renewed_at_ms = asked_at_ms
        return None

    async def end(self) -> None:
        """End the lease, so that another daemon takes the key at once."""
        if self.lease:
            await self.store.revoke_lease(self.lease)
            self.lease = 0

    async def look(self) -> KeySnapshot | None:
        """Return the key as it is now, None if the store can't tell.

        A listing names the store's revision, from which a watch can go
        on also when the key's own is out of the store's history.
        """
        page = await self.store.list_page(lot_records.RUNNER_KEY)
        match page:
            case result.Success(state.Page(entries=entries, revision=at)):
                return KeySnapshot(entries[0] if entries else None, at)
        return None

    async def await_change(
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
            seen = await self.look()
            if seen is None:
                continue
            held = state.ABSENT if seen.entry is None else seen.entry.revision
            if held != known:
                return seen.entry
            revision = seen.revision

    async def take(self, revision: int) -> int | None:
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
