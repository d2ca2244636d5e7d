"""Versioned values of the key-value service, write outcomes and leases."""

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
    """Outcome of a compare-and-swap, as far as the writer knows it."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Versioned:
    """A value of the key-value service and the version at which it was read.

    For a missing key, `version` is ``ABSENT_VERSION`` and `value` is
    empty.
    """

    value: bytes = b""
    version: int = ABSENT_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a write; `version` is the new one if it was applied."""

    outcome: WriteOutcome
    version: int = ABSENT_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease granted by the key-value service.

    `fence` is a fencing token, which grows with each change of holder. A
    lease may expire while its holder is paused, so no action may rely
    on the lease alone.
    """

    name: str
    holder: str
    fence: int
    ttl_ms: int
