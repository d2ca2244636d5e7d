"""Engines that are ordered from the platform, by pool."""

import dataclasses

__all__ = ["EngineOrder", "EnginePool", "EngineScaling"]


@dataclasses.dataclass(frozen=True, slots=True)
class EnginePool:
    """The engines of one kind that a service has in a data centre.

    Parameters
    ----------
    is_reclaimable : bool
        Whether they are cheap, but may be taken back at short notice, all
        of a data centre at once.
    """

    service: str
    data_centre: str
    is_reclaimable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order for the number of engines in a pool."""

    pool: EnginePool
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineScaling:
    """What may be ordered for a service.

    Parameters
    ----------
    min_count, max_count : int
        Bounds on the engines in each data centre, of both kinds together.
    start_ms : int
        Time from an order until the engine serves.
    price_by_data_centre : dict of str to float
        Price of an engine that stays, for the same time.
    reclaimable_share : float or None
        Price of an engine that may be reclaimed, as a share of the price
        of one that stays; None if there are none.
    """

    min_count: int
    max_count: int
    start_ms: int
    price_by_data_centre: dict[str, float]
    reclaimable_share: float | None = None

    def price_of(self, pool: EnginePool) -> float | None:
        """Return the price of an engine, None if it can't be ordered."""
        price = self.price_by_data_centre.get(pool.data_centre)
        if price is None or not pool.is_reclaimable:
            return price
        if self.reclaimable_share is None:
            return None
        return price * self.reclaimable_share
