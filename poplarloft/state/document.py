"""Versioned documents and the outcome of writing one."""

import dataclasses
import enum

__all__ = [
    "ABSENT_VERSION",
    "Lease",
    "Versioned",
    "WriteOutcome",
    "WriteResult",
]

ABSENT_VERSION = 0


class WriteOutcome(enum.Enum):
    """What a writer learns from a compare-and-swap."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Versioned:
    """A value of the key-value service with the version it was read at.

    `version` is ``ABSENT_VERSION`` and `value` empty for a missing key.
    """

    value: bytes = b""
    version: int = ABSENT_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """The outcome of a write; `version` is the new one if it applied."""

    outcome: WriteOutcome
    version: int = ABSENT_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease granted by the key-value service.

    `fence` grows with each change of holder. A lease may lapse while its
    holder is paused, so no effect may rest on the lease alone.
    """

    name: str
    holder: str
    fence: int
    ttl_ms: int
