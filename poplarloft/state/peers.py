"""Requests and answers between daemons, beside the gossip."""

import dataclasses

from poplarloft.state import claims

__all__ = ["ClaimAnswer", "ClaimRequest", "HeadAnswer", "HeadRequest"]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks the shard's instance to claim a key for an attempt."""

    key: claims.ClaimKey
    attempt: int
    claimant: str
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Tells the decision on an attempt."""

    attempt: int
    decision: str
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRequest:
    """Asks for the head document, if it is above `above_revision`."""

    above_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeadAnswer:
    """Carries the stored form of a head document."""

    revision: int
    head: bytes
