"""Requests and answers between daemons that are not part of the gossip."""

import dataclasses

from poplarloft.state import claims

__all__ = ["ClaimAnswer", "ClaimRequest", "HeadAnswer", "HeadRequest"]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request to a shard's instance to claim a key for an attempt.

    Parameters
    ----------
    key : claims.ClaimKey
        The key to claim.
    attempt : int
        Number of the attempt, drawn by the requesting instance.
    claimant : str
        The instance that may dispatch the request.
    timeout_ms : int
        Time after which the request is abandoned.
    """

    key: claims.ClaimKey
    attempt: int
    claimant: str
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Decision on an attempt.

    If the key is claimed already, `holder` names the claimant.
    """

    attempt: int
    decision: str
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRequest:
    """Request for the head document if it is newer than `above_revision`."""

    above_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeadAnswer:
    """Answer to a `HeadRequest`; `head` is the document's stored form."""

    revision: int
    head: bytes
