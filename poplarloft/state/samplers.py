"""Announcements of upstreams, and the weight versions they should load."""

import dataclasses

from poplarloft.state import identity

__all__ = ["Sampler", "WeightsTarget"]


@dataclasses.dataclass(frozen=True, slots=True)
class Sampler:
    """State of an upstream according to its latest announcement.

    Parameters
    ----------
    name : str
        Identifier. A restarted upstream may reuse it, with another
        `born_ms`.
    born_ms : int
        Unix time at which the upstream started.
    is_leaving : bool
        Whether the upstream is draining and wants no further requests.
    versions : dict of str to int
        Loaded weight version of each model.
    orders_accepted : int
        Number of orders that it had accepted since its start when it
        wrote the announcement.
    software_version : str
        Version of its software, empty if unknown. Versions have no order,
        and what two of them generate doesn't fit together.
    is_reclaimable : bool
        Whether the platform may take it back at short notice.
    """

    name: str
    born_ms: int
    service: str
    address: identity.Address
    data_centre: str
    slots: int
    is_leaving: bool = False
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    orders_accepted: int = 0
    software_version: str = ""
    is_reclaimable: bool = False

    @property
    def engine_id(self) -> tuple[str, int]:
        """Name and start time, which identify one run of the upstream."""
        return self.name, self.born_ms

    def can_continue(
        self, software_version: str, engine_id: tuple[str, int]
    ) -> bool:
        """Return whether it may go on with what another run generated.

        Parameters
        ----------
        software_version : str
            Version that began it, empty if unknown.
        engine_id : tuple of (str, int)
            The run that generated it last.
        """
        if engine_id == self.engine_id:
            return True
        return software_version != "" and (
            software_version == self.software_version
        )


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsTarget:
    """The newest weight version that a trainer has named for a model."""

    model: str
    version: int
