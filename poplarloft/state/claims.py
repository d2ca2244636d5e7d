"""Claims on non-repeatable requests, and the ledgers that hold them."""

import dataclasses

__all__ = ["Claim", "ClaimKey", "Ledger", "LedgerId"]


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class LedgerId:
    """Identifies a ledger: a shard of the keys and a window of issue time.

    `window` is the key's issue time divided by the window's length, so
    that all resends of a key look into the same ledger.
    """

    shard: int
    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """A caller's idempotency key, reduced to what a ledger stores.

    Parameters
    ----------
    digest : bytes
        16 bytes over owner, route and key.
    issued_at_ms : int
        Unix time that the key itself carries.
    """

    digest: bytes
    issued_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right of one attempt to run a request.

    `attempt` is a random 63-bit number, new for each arrival of a
    request; `claimant` names the instance that may dispatch it.
    """

    attempt: int
    claimant: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ledger:
    """The claims of one shard and window of issue times."""

    window: int = 0
    claims: dict[bytes, Claim] = dataclasses.field(default_factory=dict)
