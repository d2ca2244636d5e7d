"""Upstreams as they announce themselves, and the weights they hold."""

import dataclasses

from poplarloft.state import identity

__all__ = ["Sampler", "WeightsTarget"]


@dataclasses.dataclass(frozen=True, slots=True)
class Sampler:
    """One announcement of an upstream.

    Parameters
    ----------
    name : str
        Identifier; a start may reuse it, with another `born_ms`.
    born_ms : int
        Unix time of the upstream's start.
    is_leaving : bool
        Whether the upstream asks for no further requests.
    versions : dict of str to int
        Weight version of each model that it has loaded.
    orders_accepted : int
        Orders that it had accepted when it wrote the announcement.
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
        """Return what names this start of the upstream."""
        return self.name, self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsTarget:
    """The newest weight version that a trainer has named for a model."""

    model: str
    version: int
