"""Messages between the leader of a cell, its standbys and other daemons.

The leader is the daemon that runs the lots of a cell; a standby is a daemon
that may take over from it.
"""

import dataclasses

from poplarloft.state import identity
from poplarloft.state import lots

__all__ = [
    "CheckpointBatch",
    "Heartbeat",
    "LeaderAnnouncement",
    "LeaderRecord",
    "LotAccepted",
    "LotEnded",
    "OrderHolder",
    "Ping",
    "Pong",
    "Subscribe",
]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The leader of a cell.

    Parameters
    ----------
    name : str
        Name of the daemon, which stays the same after a restart.
    started_at_ms : int
        Unix time at which this incarnation of it started.
    address : identity.Address
        Address at which it receives messages from other daemons.
    """

    name: str
    started_at_ms: int
    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True)
class OrderHolder:
    """The daemon that may send orders to engines.

    Parameters
    ----------
    name : str
        Name of the daemon.
    lease : int
        Lease in the store that the daemon must keep renewing.
    is_released : bool
        Whether the daemon has stopped sending orders for good.
    fence : int
        The daemon's fencing token as the leader.
    """

    name: str
    lease: int
    is_released: bool = False
    fence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscription to the leader's heartbeats, which expires unless renewed.

    `region` is the subscriber's; the leader prefers standbys of its own
    region as receivers of checkpoints.
    """

    name: str
    address: identity.Address
    region: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic message of the leader to each subscribed standby.

    Parameters
    ----------
    fence : int
        The leader's fencing token; 0 if it runs the lots before the store
        has confirmed its leadership.
    heir : str
        Name of the preferred standby, which should take over first; empty
        if there is none.
    """

    fence: int
    heir: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointBatch:
    """Checkpoints of outputs in progress, for the preferred standby.

    Parameters
    ----------
    fence : int
        The leader's fencing token, as in `Heartbeat`.
    is_first : bool
        Whether the batch replaces earlier checkpoints instead of
        extending them.
    pieces : tuple of lots.CheckpointIncrement
        Events added to the outputs since the previous batch.
    standbys : tuple of identity.Address
        All daemons that receive the leader's heartbeats, including the
        receiver of this message.
    """

    fence: int
    is_first: bool
    pieces: tuple[lots.CheckpointIncrement, ...]
    standbys: tuple[identity.Address, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderAnnouncement:
    """Announcement of the leader's address to all daemons.

    `is_full` is whether so many lots wait that no more should be accepted.
    """

    fence: int
    address: identity.Address
    is_full: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LotAccepted:
    """Notification to the leader of a lot that the store has acknowledged.

    `revision` is that of the lot's record.
    """

    record: lots.LotRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class LotEnded:
    """Notification to the leader that the store has recorded a lot's end."""

    lot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Request to another standby for a `Pong`, sent to `address`."""

    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answer to a `Ping`.

    Parameters
    ----------
    name : str
        Name of its sender.
    is_running : bool
        Whether its sender runs the lots.
    silent_ms : int or None
        Time since its sender has heard from the leader, None if it never
        has.
    """

    name: str
    is_running: bool
    silent_ms: int | None = None
