"""What the daemon that runs lots tells those that may take over."""

import dataclasses

from poplarloft.state import identity

__all__ = ["Beat", "HeldText", "RunnerRecord", "StandbyMessage", "Subscribe"]


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerRecord:
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
    """Asks the runner for beats and texts; repeated while wanted."""

    name: str
    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True)
class HeldText:
    """New events of an item's text, from `first_event` (from 1) on."""

    item_id: str
    first_event: int
    events: tuple[str, ...]
    versions: tuple[int, ...]
    is_whole: bool
    score: str


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """Shows that the runner lives, and what it has generated.

    `heir` names the standby that gets the texts and takes over first.
    """

    fence: int
    heir: str
    texts: tuple[HeldText, ...] = ()


StandbyMessage = Subscribe | Beat
