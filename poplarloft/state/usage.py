"""Owners' use of upstreams, as counters and as entries of a ledger."""

import dataclasses

__all__ = ["UsageDispute", "UsageEntry", "UsageSegment", "UsageTotal"]


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class UsageTotal:
    """Upstream time that one incarnation recorded in one category.

    A category consists of owner, kind and purpose.

    Parameters
    ----------
    incarnation : str
        The instance and its incarnation.
    owner : str
        The owner to whom the time is charged.
    kind : str
        Kind of the upstream.
    purpose : str
        Purpose of the time, by the rule in docs/operators/usage.md.
    busy_ms : int
        Upstream time in milliseconds since the incarnation's start.
    """

    incarnation: str
    owner: str
    kind: str
    purpose: str
    busy_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UsageEntry:
    """One entry of a data centre's ledger.

    Totals are cumulative, so an entry that is written twice, or by two
    writers, does not count any time twice.

    Parameters
    ----------
    sequence : int
        Position in the ledger, from 0.
    at_ms : int
        Unix time of writing.
    writer : str
        The instance that wrote it.
    previous : str
        Digest of the previous entry, empty for the first one.
    totals : tuple of UsageTotal
        The totals that have grown since the previous entry.
    digest : str
        Hex SHA-256 digest of all fields above.
    """

    sequence: int
    at_ms: int
    writer: str
    previous: str
    totals: tuple[UsageTotal, ...]
    digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageDispute:
    """An owner's objection to an entry, which remains unchanged.

    `digest` is that of the entry, so that the objection refers to one
    specific content.
    """

    sequence: int
    digest: str
    owner: str
    reason: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSegment:
    """A stored part of a ledger: a bounded number of successive entries."""

    entries: tuple[UsageEntry, ...] = ()
