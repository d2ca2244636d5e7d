"""What the daemon that runs lots tells those that may take over."""

import dataclasses

from poplarloft.state import identity

__all__ = ["Beat", "RunnerRecord", "StandbyMessage", "Subscribe"]


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
    """Asks the runner for beats; repeated while wanted."""

    name: str
    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """Shows that the runner lives; `heir` should take over first."""

    fence: int
    heir: str


StandbyMessage = Subscribe | Beat
