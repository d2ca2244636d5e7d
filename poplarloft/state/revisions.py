"""The port to a revisioned key-value store with leases and watches."""

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

ABSENT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value.

    `revision` is that of the last change, `created_revision` that of the
    change which created the key; `lease` is 0 for none.
    """

    key: str
    value: bytes
    revision: int
    created_revision: int = 0
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of a key; `entry` is None if the key was removed."""

    key: str
    revision: int
    entry: Entry | None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A part of a listing, as of the store's `revision`."""

    entries: tuple[Entry, ...]
    has_more: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a watch returned, as of the store's `revision`.

    A watch that returns nothing may have been deaf: only what it
    returned has surely been seen.
    """

    changes: tuple[Change, ...]
    revision: int

    def seen_revision(self, before: int) -> int:
        """Return the revision up to which all changes have been seen."""
        return max((c.revision for c in self.changes), default=before)


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """A condition: `key` was last changed at `revision`, or is absent."""

    key: str
    revision: int = ABSENT


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A key to write."""

    key: str
    value: bytes
    lease: int = 0


class StoreFailureKind(enum.StrEnum):
    """Why a read gave nothing."""

    NOT_DONE = "not-done"
    NO_ANSWER = "no-answer"
    COMPACTED = "compacted"
    LEASE_GONE = "lease-gone"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """A failed call; `detail` is a sentence for people."""

    kind: StoreFailureKind
    detail: str


class WriteStatus(enum.StrEnum):
    """What is known of a write.

    An ``UNKNOWN`` write may still be done later if its conditions hold
    then.
    """

    APPLIED = "applied"
    CONFLICT = "conflict"
    NOT_DONE = "not-done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAnswer:
    """Outcome of a write; `current` holds the expected keys' entries."""

    status: WriteStatus
    revision: int = 0
    current: tuple[Entry, ...] = ()
    detail: str = ""

    def find(self, key: str) -> Entry | None:
        """Return the current entry of `key` after a conflict."""
        for entry in self.current:
            if entry.key == key and entry.revision != ABSENT:
                return entry
        return None


class RevisionStore(typing.Protocol):
    """A linearizable key-value store."""

    async def wait_until_available(self, timeout_ms: float) -> None:
        """Wait until the store answers any call, at most so long."""

    async def get(self, key: str) -> result.Result[Entry | None, StoreFailure]:
        """Return the entry of `key`, or None."""

    async def list_page(
        self, prefix: str, after_key: str = "", allow_stale: bool = False
    ) -> result.Result[Page, StoreFailure]:
        """Return entries under `prefix`, those after `after_key`.

        An answer that may be some seconds old costs less.
        """

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> result.Result[Changes, StoreFailure]:
        """Return changes under `prefix`, waiting until there is one."""

    async def write(
        self,
        expected: abc.Sequence[Expectation],
        puts: abc.Sequence[Put],
        deletes: abc.Sequence[str] = (),
    ) -> WriteAnswer:
        """Make all changes if all expectations hold, else none."""

    async def grant_lease(
        self, ttl_ms: int
    ) -> result.Result[int, StoreFailure]:
        """Return a new lease."""

    async def renew_lease(
        self, lease: int
    ) -> result.Result[int, StoreFailure]:
        """Renew a lease; return its duration in milliseconds."""

    async def revoke_lease(
        self, lease: int
    ) -> result.Result[int, StoreFailure]:
        """End a lease and remove its keys."""
