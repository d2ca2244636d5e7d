"""What the daemon that runs lots tells those that may take over."""

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
    "Ping",
    "Pong",
    "Subscribe",
]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Who runs the lots of a cell.

    Parameters
    ----------
    name : str
        The daemon, the same after a restart.
    started_at_ms : int
        Unix time of this start of it.
    address : identity.Address
        Where it takes messages of other daemons.
    """

    name: str
    started_at_ms: int
    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks the runner for beats; repeated while wanted."""

    name: str
    address: identity.Address
    region: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the runner lives; `heir` should take over first."""

    fence: int
    heir: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointBatch:
    """New events of texts under way, for the heir.

    Parameters
    ----------
    is_first : bool
        Whether copies from before are replaced, not continued.
    standbys : tuple of identity.Address
        All daemons that hear the runner's beats.
    """

    fence: int
    is_first: bool
    pieces: tuple[lots.OutputCheckpoint, ...]
    standbys: tuple[identity.Address, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderAnnouncement:
    """Tells all daemons where the one that runs the lots is."""

    fence: int
    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True)
class LotAccepted:
    """Tells the runner of a lot that the store has acknowledged.

    `revision` is that of its record.
    """

    record: lots.LotRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class LotEnded:
    """Tells the runner of an end that the store has acknowledged."""

    lot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks another standby for a `Pong`."""

    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Shows that a standby is reached, and whether it runs the lots."""

    name: str
    is_running: bool
