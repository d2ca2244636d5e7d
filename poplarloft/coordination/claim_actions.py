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
    """Ledger sizes, time limits and call rate of claims.

    Parameters
    ----------
    shards : int
        Ledgers per window; must be the same on all instances.
    window_ms : int
        Length of the interval of issue times that share a ledger.
    horizon_ms : int
        Maximum age of a key that may still be claimed.
    skew_ms : int
        How far a key's issue time may be ahead of this instance's clock.
    calls_per_s, call_burst : float
        Rate limit and burst of key-value calls.
    max_cache_age_ms : int
        Maximum age of a cached ledger from which a claim may be refused.
    max_claims : int
        Maximum number of claims in a ledger.
    retry_ms : int
        Delay before the next call after a failed one.
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
        """Number of ledger documents per shard."""
        span_ms = self.horizon_ms + 2 * self.skew_ms
        return span_ms // self.window_ms + 2


class ClaimDecision(enum.Enum):
    """Outcome of a claim request."""

    GRANTED = "granted"
    HELD = "held"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"
    OVERLOADED = "overloaded"


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLedger:
    """Action: read a ledger and pass it to `ClaimTable.on_read`."""

    ledger_id: state.LedgerId


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLedger:
    """Action: compare-and-swap a ledger; pass the result to `on_write`."""

    ledger_id: state.LedgerId
    ledger: state.Ledger
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecided:
    """Action: notify the request of `attempt` of the decision."""

    attempt: int
    decision: ClaimDecision
    holder: str = ""


ClaimAction = ReadLedger | WriteLedger | ClaimDecided
