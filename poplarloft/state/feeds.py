"""Messages of the change feed.

Daemons forward changes of the store to others, so that few of them watch it.
"""

import dataclasses

from poplarloft.state import identity
from poplarloft.state import revisions

__all__ = [
    "FeedAnswer",
    "FeedPart",
    "FeedRequest",
    "PeerRecord",
]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRecord:
    """Addresses at which other daemons reach a daemon.

    Parameters
    ----------
    relay : identity.Address
        Relays calls to the store for daemons that cannot reach it.
    feed : identity.Address or None
        Answers requests for changes of the store; None if the daemon
        does not.
    peers : identity.Address or None
        Receives other messages; None if the daemon has no such address.
    issues_permits : bool
        Whether the daemon offers to schedule the requests to upstreams
        that have named a limit.
    settles_at_ms : int
        Unix time in milliseconds from which it may issue permits before
        those that were there earlier; by then all others have listed it.
    """

    relay: identity.Address
    feed: identity.Address | None = None
    peers: identity.Address | None = None
    issues_permits: bool = False
    settles_at_ms: int = 0

    @property
    def offers_permits(self) -> bool:
        """Whether it can be asked for permits."""
        return self.issues_permits and self.peers is not None


@dataclasses.dataclass(frozen=True, slots=True)
class FeedRequest:
    """Request to a daemon for changes under prefixes of the store.

    Parameters
    ----------
    name : str
        The requesting daemon.
    address : identity.Address
        Address to which the answer is sent.
    sent_at_ms : int
        Time of sending on the requesting daemon's clock; the answer
        repeats it.
    positions : dict of str to int
        Revision per prefix, up to which the requesting daemon knows all
        changes.
    digest : int
        Digest of what the requesting daemon knows of crashes.
    """

    name: str
    address: identity.Address
    sent_at_ms: int
    positions: dict[str, int]
    digest: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FeedPart:
    """The changes under one prefix.

    Parameters
    ----------
    revision : int
        Revision up to which the answering daemon knows all changes.
    age_ms : int
        Time since the store last confirmed that there were no further
        changes.
    changes : tuple of revisions.Change
        The changes, in order of revision.
    is_whole : bool
        Whether `changes` is a complete listing of the keys that exist
        under the prefix, not an increment.
    """

    prefix: str
    revision: int
    age_ms: int
    changes: tuple[revisions.Change, ...] = ()
    is_whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FeedAnswer:
    """Answer to a `FeedRequest`, of which it repeats `sent_at_ms`.

    `digest` is that of what the answering daemon knows of crashes.
    """

    name: str
    sent_at_ms: int
    parts: tuple[FeedPart, ...]
    digest: int = 0
