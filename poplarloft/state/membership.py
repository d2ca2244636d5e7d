"""Members of the fleet as they are known to one instance."""

import dataclasses
import enum

from poplarloft.state import identity

__all__ = ["MemberRecord", "MemberStatus"]


class MemberStatus(enum.IntEnum):
    """What is believed of a member; of equal age the larger one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """A statement about one member.

    Parameters
    ----------
    name : str
        The instance.
    incarnation : int
        Its start time in milliseconds since the Unix epoch.
    refutation : int
        Raised by the member itself to contradict a suspicion.
    status : MemberStatus
        What is stated.
    peer_address, http_address : identity.Address
        Where it listens for other daemons and for callers.
    location : identity.Location
        Where it runs.
    """

    name: str
    incarnation: int
    refutation: int
    status: MemberStatus
    peer_address: identity.Address
    http_address: identity.Address
    location: identity.Location

    @property
    def key(self) -> tuple[str, str]:
        """Return what newer statements replace."""
        return ("member", self.name)

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the age of the statement; the larger one wins."""
        return (self.incarnation, self.refutation, int(self.status))

    @property
    def is_live(self) -> bool:
        """Tell whether the member counts as part of the fleet."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
