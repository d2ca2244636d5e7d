"""What daemons tell each other by gossip.

Each rumour has a `key`, which newer rumours of the same matter share, and
an `order`; of two rumours with one key the larger order wins.
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
    """An incarnation of an upstream takes no new work."""

    upstream: str
    incarnation: int

    @property
    def key(self) -> tuple[str, str]:
        """Return what newer rumours replace."""
        return ("leaving", self.upstream)

    @property
    def order(self) -> tuple[int, ...]:
        """Return the rumour's age; the larger one wins."""
        return (self.incarnation,)


@dataclasses.dataclass(frozen=True, slots=True)
class HeadUpdate:
    """A configuration revision is in force; its text is asked for."""

    revision: int
    holder: str

    @property
    def key(self) -> tuple[str, str]:
        """Return what newer rumours replace."""
        return ("head", "")

    @property
    def order(self) -> tuple[int, ...]:
        """Return the rumour's age; the larger one wins."""
        return (self.revision,)


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCountUpdate:
    """Crashes that one instance saw with a fingerprint in flight.

    `alone` counts those in which it was the only suspect.
    """

    fingerprint: str
    witness: str
    strikes: int
    alone: int

    @property
    def key(self) -> tuple[str, str]:
        """Return what newer rumours replace."""
        return ("strike", f"{self.fingerprint}/{self.witness}")

    @property
    def order(self) -> tuple[int, ...]:
        """Return the rumour's age; the larger one wins."""
        return (self.strikes, self.alone)


@dataclasses.dataclass(frozen=True, slots=True)
class ClearedUpdate:
    """A suspected fingerprint ran whole; earlier strikes don't count."""

    fingerprint: str
    at_ms: int

    @property
    def key(self) -> tuple[str, str]:
        """Return what newer rumours replace."""
        return ("absolved", self.fingerprint)

    @property
    def order(self) -> tuple[int, ...]:
        """Return the rumour's age; the larger one wins."""
        return (self.at_ms,)


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineUpdate:
    """A fingerprint is refused until a Unix time, or released at 0."""

    fingerprint: str
    until_ms: int
    generation: int

    @property
    def key(self) -> tuple[str, str]:
        """Return what newer rumours replace."""
        return ("quarantine", self.fingerprint)

    @property
    def order(self) -> tuple[int, ...]:
        """Return the rumour's age; the larger one wins."""
        return (self.generation, self.until_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class UsageUpdate:
    """Grow-only counters of one instance's incarnation.

    `counters` maps (owner, upstream kind, purpose) to engine
    microseconds, in sorted order.
    """

    instance: str
    incarnation: int
    total: int
    counters: tuple[tuple[str, str, str, int], ...]

    @property
    def key(self) -> tuple[str, str]:
        """Return what newer rumours replace."""
        return ("usage", f"{self.instance}#{self.incarnation}")

    @property
    def order(self) -> tuple[int, ...]:
        """Return the rumour's age; counters only grow."""
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
