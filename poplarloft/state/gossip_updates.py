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
    """Notice that an incarnation of an upstream accepts no new requests."""

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
    """Announcement of the head document's revision.

    The head document holds the configuration in force. Instances with an
    older revision request the document from the instance `holder`.
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
    """Crashes that an instance observed with a fingerprint in flight.

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
    """Notice that a suspected request ran to completion.

    Its earlier crashes are no longer counted. `at_ms` is the Unix time of
    its completion.
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
    """Quarantine of a fingerprint, or its release.

    Requests with a quarantined fingerprint are refused.

    Parameters
    ----------
    until_ms : int
        Unix time of the end of the quarantine; 0 releases it.
    generation : int
        Increases by one with each release. An update of a higher
        generation replaces one of a lower generation.
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
