"""What owners used, as counters and as entries of a ledger."""

import dataclasses

__all__ = ["UsageDispute", "UsageEntry", "UsageSegment", "UsageTotal"]


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class UsageTotal:
    """All that one incarnation of an instance booked under one heading.

    Parameters
    ----------
    incarnation : str
        The instance and its incarnation.
    owner : str
        Who is booked.
    kind : str
        The upstream's kind.
    purpose : str
        Why the time was spent; docs/operators/usage.md has the rule.
    busy_ms : int
        Upstream time in milliseconds, since the incarnation's start.
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
    writers, books nothing twice.

    Parameters
    ----------
    sequence : int
        Position in the ledger, from 0.
    at_ms : int
        Unix time of the writing.
    writer : str
        The instance that wrote it.
    previous : str
        Digest of the entry before, empty for the first.
    totals : tuple of UsageTotal
        The totals that had grown since the entry before.
    digest : str
        Hex SHA-256 over all of the above.
    """

    sequence: int
    at_ms: int
    writer: str
    previous: str
    totals: tuple[UsageTotal, ...]
    digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageDispute:
    """An owner's objection to an entry, which stays as it is.

    `digest` is the entry's, so that the objection names one content.
    """

    sequence: int
    digest: str
    owner: str
    reason: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSegment:
    """A stored part of a ledger: a bounded run of entries."""

    entries: tuple[UsageEntry, ...] = ()
