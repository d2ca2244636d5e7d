"""Updates that daemons spread by gossip.

Each update has a `key`, shared by all updates on the same subject, and an
`order`. Of two updates with one key, the one with the larger order wins.
"""

import dataclasses

from poplarloft.state import membership

__all__ = [
    "ClearedUpdate",
    "CrashCountUpdate",
    "GossipUpdate",
    "HeadUpdate",
    "LeavingUpdate",
    "QuarantineUpdate",
    "UsageUpdate",
]


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingUpdate:
    """An incarnation of an upstream accepts no new requests."""

    upstream: str
    incarnation: int

    @property
    def key(self) -> tuple[str, str]:
        """Subject of the update; newer updates replace it."""
        return ("leaving", self.upstream)

    @property
    def order(self) -> tuple[int, ...]:
        """Precedence among updates with this key; the larger wins."""
        return (self.incarnation,)


@dataclasses.dataclass(frozen=True, slots=True)
class HeadUpdate:
    """A configuration revision is in force.

    Daemons that lack it request the document from `holder`.
    """

    revision: int
    holder: str

    @property
    def key(self) -> tuple[str, str]:
        """Subject of the update; newer updates replace it."""
        return ("head", "")

    @property
    def order(self) -> tuple[int, ...]:
        """Precedence among updates with this key; the larger wins."""
        return (self.revision,)


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCountUpdate:
    """Crashes that one instance observed with a fingerprint in flight.

    Parameters
    ----------
    fingerprint : str
        Identifies the request.
    observer : str
        The observing instance and its incarnation.
    crashes : int
        Number of crashes while the request was in flight.
    sole_suspect_crashes : int
        Those of them in which the request was the only suspect.
    """

    fingerprint: str
    observer: str
    crashes: int
    sole_suspect_crashes: int

    @property
    def key(self) -> tuple[str, str]:
        """Subject of the update; newer updates replace it."""
        return ("strike", f"{self.fingerprint}/{self.observer}")

    @property
    def order(self) -> tuple[int, ...]:
        """Precedence among updates with this key; the larger wins."""
        return (self.crashes, self.sole_suspect_crashes)


@dataclasses.dataclass(frozen=True, slots=True)
class ClearedUpdate:
    """A suspected request ran to completion; its earlier crashes are void.

    `at_ms` is the Unix time of its completion.
    """

    fingerprint: str
    at_ms: int

    @property
    def key(self) -> tuple[str, str]:
        """Subject of the update; newer updates replace it."""
        return ("absolved", self.fingerprint)

    @property
    def order(self) -> tuple[int, ...]:
        """Precedence among updates with this key; the larger wins."""
        return (self.at_ms,)


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineUpdate:
    """A fingerprint is refused until a Unix time, or released.

    Parameters
    ----------
    until_ms : int
        Unix time of the end of the quarantine; 0 releases it.
    generation : int
        Grows with each release, which takes precedence over earlier
        quarantines.
    """

    fingerprint: str
    until_ms: int
    generation: int

    @property
    def key(self) -> tuple[str, str]:
        """Subject of the update; newer updates replace it."""
        return ("quarantine", self.fingerprint)

    @property
    def order(self) -> tuple[int, ...]:
        """Precedence among updates with this key; the larger wins."""
        return (self.generation, self.until_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class UsageUpdate:
    """Grow-only counters of upstream time of one incarnation.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : int
        Number of its incarnation.
    total : int
        Sum of all counters.
    counters : tuple of tuple
        Rows of owner, upstream kind, purpose and milliseconds of upstream
        time, sorted.
    """

    instance: str
    incarnation: int
    total: int
    counters: tuple[tuple[str, str, str, int], ...]

    @property
    def key(self) -> tuple[str, str]:
        """Subject of the update; newer updates replace it."""
        return ("usage", f"{self.instance}#{self.incarnation}")

    @property
    def order(self) -> tuple[int, ...]:
        """Precedence among updates with this key; counters only grow."""
        return (self.total,)


GossipUpdate = (
    membership.MemberRecord
    | LeavingUpdate
    | HeadUpdate
    | CrashCountUpdate
    | ClearedUpdate
    | QuarantineUpdate
    | UsageUpdate
)
