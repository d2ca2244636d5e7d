"""Interface to a revisioned key-value store with leases and watches."""

from collections import abc
import dataclasses
import enum
import typing

from returns import result

__all__ = [
    "ABSENT",
    "Change",
    "Changes",
    "Entry",
    "Expectation",
    "Page",
    "Put",
    "RevisionStore",
    "StoreFailure",
    "StoreFailureKind",
    "WriteAnswer",
    "WriteStatus",
]

ABSENT = 0  # revision of a key that does not exist


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value.

    `revision` is that of the key's last change, `created_revision` that of
    the change that created it. `lease` is the lease to which the key is
    attached, 0 for none.
    """

    key: str
    value: bytes
    revision: int
    created_revision: int = 0
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of a key; `entry` is None if the key was deleted."""

    key: str
    revision: int
    entry: Entry | None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One page of a listing, as of the store's `revision`.

    If `has_more`, there is an entry after which the next page begins.
    Pages are no snapshot: what changed between two of them may be on
    either, on both or on none.
    """

    entries: tuple[Entry, ...]
    has_more: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes returned by a watch, as of the store's `revision`.

    A watch may miss changes, also those that precede `revision`. The next
    watch therefore has to start after `seen_revision`, not after
    `revision`, and an empty result does not prove that nothing changed.
    """

    changes: tuple[Change, ...]
    revision: int

    def seen_revision(self, before: int) -> int:
        """Return the revision up to which all changes have been seen.

        It is that of the newest change, or `before` if there is none.
        """
        return max((c.revision for c in self.changes), default=before)


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """Condition that `key` was last changed at `revision`, or is absent."""

    key: str
    revision: int = ABSENT


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A key to write; a `lease` other than 0 attaches it to that lease."""

    key: str
    value: bytes
    lease: int = 0


class StoreFailureKind(enum.StrEnum):
    """Why a call failed.

    ``NOT_DONE``: the store did not execute the call. ``NO_ANSWER``: the
    call may have been executed. ``COMPACTED``: the store's history no longer
    reaches back to the requested revision. ``LEASE_GONE``: the lease has
    expired or was revoked. ``REJECTED``: the store returned another error or
    an answer that cannot be decoded.
    """

    NOT_DONE = "not-done"
    NO_ANSWER = "no-answer"
    COMPACTED = "compacted"
    LEASE_GONE = "lease-gone"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """A failed call; `detail` is a human-readable description."""

    kind: StoreFailureKind
    detail: str


class WriteStatus(enum.StrEnum):
    """Outcome of a write, as far as it is known.

    An ``UNKNOWN`` write may still be applied later, if its expectations
    hold at that time.
    """

    APPLIED = "applied"
    CONFLICT = "conflict"
    NOT_DONE = "not-done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAnswer:
    """Outcome of a write.

    Parameters
    ----------
    status : WriteStatus
        Whether the write was applied, as far as it is known.
    revision : int
        Revision of the write; 0 unless it was applied.
    current : tuple of Entry
        After a conflict, the current entries of the expected keys.
    detail : str
        Human-readable description of a failure.
    """

    status: WriteStatus
    revision: int = 0
    current: tuple[Entry, ...] = ()
    detail: str = ""


class RevisionStore(typing.Protocol):
    """A linearizable key-value store."""

    async def wait_until_available(self, timeout_ms: float) -> None:
        """Wait until the store answers a call, at most `timeout_ms`."""

    async def get(self, key: str) -> result.Result[Entry | None, StoreFailure]:
        """Return the entry of `key`, None if the key is absent."""

    async def list_page(
        self, prefix: str, after_key: str = "", allow_stale: bool = False
    ) -> result.Result[Page, StoreFailure]:
        """Return entries under `prefix` whose keys follow `after_key`.

        With `allow_stale`, the answer may be some seconds old, which costs
        the store less.
        """

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> result.Result[Changes, StoreFailure]:
        """Return changes under `prefix` after a revision.

        Waits up to `wait_ms` for a first change.
        """

    async def write(
        self,
        expected: abc.Sequence[Expectation],
        puts: abc.Sequence[Put],
        deletes: abc.Sequence[str] = (),
    ) -> WriteAnswer:
        """Apply all puts and deletes if all expectations hold, else none."""

    async def grant_lease(
        self, ttl_ms: int
    ) -> result.Result[int, StoreFailure]:
        """Create a lease of duration `ttl_ms` and return its identifier."""

    async def renew_lease(
        self, lease: int
    ) -> result.Result[int, StoreFailure]:
        """Renew a lease and return its duration in milliseconds."""

    async def revoke_lease(
        self, lease: int
    ) -> result.Result[int, StoreFailure]:
        """End a lease, which deletes the keys attached to it."""
