"""Claims on non-repeatable requests, and the ledgers that store them."""

import dataclasses

__all__ = ["Claim", "ClaimKey", "Ledger", "LedgerId"]


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class LedgerId:
    """Identifier of a ledger: a shard of the keys and a window of issue time.

    `window` is the issue time of a key divided by the length of a window,
    so that all retries with one key use the same ledger.
    """

    shard: int
    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """A caller's idempotency key in the form that a ledger stores.

    Parameters
    ----------
    digest : bytes
        Digest of owner, route and key, 16 bytes long.
    issued_at_ms : int
        Unix time of issue, which is part of the key.
    """

    digest: bytes
    issued_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right of one attempt to execute a request.

    `attempt` is a random 63-bit number, drawn anew each time a request
    arrives; `claimant` names the instance that may dispatch it.
    """

    attempt: int
    claimant: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ledger:
    """The claims of one shard and window, by the digests of their keys."""

    window: int = 0
    claims: dict[bytes, Claim] = dataclasses.field(default_factory=dict)
