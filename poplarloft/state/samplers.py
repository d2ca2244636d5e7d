"""Announcements of upstreams, and the weight versions they should load."""

import dataclasses

from poplarloft.state import identity

__all__ = ["Sampler", "WeightsTarget"]


@dataclasses.dataclass(frozen=True, slots=True)
class Sampler:
    """An upstream, as its latest announcement describes it.

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

    @property
    def engine_id(self) -> tuple[str, int]:
        """Name and start time, which identify one run of the upstream."""
        return self.name, self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsTarget:
    """The newest weight version that a trainer has named for a model."""

    model: str
    version: int
