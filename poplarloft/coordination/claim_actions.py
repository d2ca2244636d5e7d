"""Settings, decisions and actions of claims."""

import dataclasses
import enum

from poplarloft import state

__all__ = [
    "ClaimAction",
    "ClaimDecided",
    "ClaimDecision",
    "ClaimSettings",
    "ReadLedger",
    "WriteLedger",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Sizes and times of the claim ledgers.

    Parameters
    ----------
    shards : int
        Ledgers per window; all instances must agree on it.
    window_ms : int
        Span of issue times that share a ledger.
    horizon_ms : int
        Oldest key that is accepted.
    skew_ms : int
        How far ahead of this instance's clock a key may be.
    calls_per_s, call_burst : float
        Allowance of key-value calls.
    max_cache_age_ms : int
        Age up to which a cached ledger may refuse a claim.
    max_claims : int
        Claims that a ledger holds at most.
    retry_ms : int
        Pause after a failed call.
    """

    shards: int = 1
    window_ms: int = 5_000
    horizon_ms: int = 600_000
    skew_ms: int = 30_000
    calls_per_s: float = 8.0
    call_burst: float = 4.0
    max_cache_age_ms: int = 1_000
    max_claims: int = 20_000
    retry_ms: int = 100

    @property
    def ring_size(self) -> int:
        """Return the number of ledger documents per shard."""
        span_ms = self.horizon_ms + 2 * self.skew_ms
        return span_ms // self.window_ms + 2


class ClaimDecision(enum.Enum):
    """The end of a claim request."""

    GRANTED = "granted"
    HELD = "held"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"
    OVERLOADED = "overloaded"


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLedger:
    """Action: read a ledger and report it with `ClaimTable.on_read`."""

    ledger_id: state.LedgerId


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLedger:
    """Action: swap a ledger and report with `ClaimTable.on_write`."""

    ledger_id: state.LedgerId
    ledger: state.Ledger
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecided:
    """Action: tell the request of `attempt` its decision."""

    attempt: int
    decision: ClaimDecision
    holder: str = ""


ClaimAction = ReadLedger | WriteLedger | ClaimDecided
