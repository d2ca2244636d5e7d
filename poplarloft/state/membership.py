"""Members of the fleet, as one instance knows them."""

import dataclasses
import enum

from poplarloft.state import identity

__all__ = ["MemberRecord", "MemberStatus"]


class MemberStatus(enum.IntEnum):
    """Presumed status of a member; for equal age the larger value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """Statement about the status of one member.

    Parameters
    ----------
    name : str
        Name of the instance.
    incarnation : int
        Its start time in milliseconds since the Unix epoch.
    refutation : int
        Increased by the member itself to refute a suspicion.
    status : MemberStatus
        Presumed status.
    peer_address, http_address : identity.Address
        Addresses at which it accepts other daemons and callers.
    location : identity.Location
        Region and data centre in which it runs.
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
        """Subject of the statement; newer statements replace it."""
        return ("member", self.name)

    @property
    def order(self) -> tuple[int, int, int]:
        """Precedence among statements with this key; the larger wins."""
        return (self.incarnation, self.refutation, int(self.status))

    @property
    def is_live(self) -> bool:
        """Whether the member counts as part of the fleet."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
