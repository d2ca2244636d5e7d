"""What an instance knows of a ledger, and what waits for it."""

import dataclasses
import enum

from poplarloft import state

__all__ = ["LedgerPhase", "LedgerState", "WaitingClaim"]


@dataclasses.dataclass(slots=True)
class WaitingClaim:
    """A request whose claim is not confirmed yet."""

    key: state.ClaimKey
    claim: state.Claim
    deadline_ms: int
    may_be_written: bool = False  # set when a write with it is issued


class LedgerPhase(enum.Enum):
    """The call that is being made for a ledger."""

    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"


@dataclasses.dataclass(slots=True)
class LedgerState:
    """Cached content of one ledger and the requests that wait for it.

    `unconfirmed` holds attempts that timed out while their write could
    still take effect; their claims are released if they turn up in the
    ledger.
    """

    phase: LedgerPhase = LedgerPhase.IDLE
    ledger: state.Ledger | None = None
    version: int = state.ABSENT_VERSION
    confirmed_at_ms: int = 0
    retry_at_ms: int = 0
    waiting: dict[int, WaitingClaim] = dataclasses.field(default_factory=dict)
    in_flight: frozenset[int] = frozenset()
    unconfirmed: dict[int, bytes] = dataclasses.field(default_factory=dict)
    releases: dict[int, bytes] = dataclasses.field(default_factory=dict)

    def has_work(self) -> bool:
        """Return whether a claim or a release is to be written."""
        return bool(self.waiting or self.releases)
