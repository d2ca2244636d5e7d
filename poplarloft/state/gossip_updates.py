"""Updates that daemons spread by gossip.

Each update has a `key`, shared by all updates on the same subject, and an
`order`. Of two updates with one key, the one with the larger order wins.
"""

import dataclasses

from poplarloft.state import membership

__all__ = [
    "ClearedUpdate",
    "CrashUpdate",
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
class CrashUpdate:
    """Crash of an upstream's run while a fingerprint was in flight on it.

    Several instances may observe the same crash; it counts once.

    Parameters
    ----------
    fingerprint : str
        Identifies the request.
    upstream : str
        Name of the upstream.
    incarnation : int
        Identifies the run of the upstream that ended.
    is_sole_suspect : bool
        Whether the observer had no other suspect in flight there.
    """

    fingerprint: str
    upstream: str
    incarnation: int
    is_sole_suspect: bool

    @property
    def run(self) -> tuple[str, int]:
        """The run of the upstream that ended."""
        return self.upstream, self.incarnation

    @property
    def key(self) -> tuple[str, str]:
        """Subject of the update; newer updates replace it."""
        subject = f"{self.fingerprint}/{self.upstream}#{self.incarnation}"
        return ("crash", subject)

    @property
    def order(self) -> tuple[int, ...]:
        """Precedence among updates with this key; another suspect wins."""
        return (not self.is_sole_suspect,)


@dataclasses.dataclass(frozen=True, slots=True)
class ClearedUpdate:
    """Notice that a suspected request ran to completion.

    Parameters
    ----------
    fingerprint : str
        Identifies the request.
    at_ms : int
        Unix time of its completion.
    runs : tuple of (str, int)
        The upstreams' runs whose crashes count no more, earlier ones
        included.
    """

    fingerprint: str
    at_ms: int
    runs: tuple[tuple[str, int], ...]

    @property
    def key(self) -> tuple[str, str]:
        """Subject of the update; newer updates replace it."""
        return ("cleared", self.fingerprint)

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
    | CrashUpdate
    | ClearedUpdate
    | QuarantineUpdate
    | UsageUpdate
)
