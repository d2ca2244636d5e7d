"""The cheapest engines that leave enough when a data centre reclaims."""

import bisect
from collections import abc
import dataclasses
import math

from poplarloft import state

__all__ = ["EngineMix", "MixSearch", "cheapest_mix"]

SAFE_SHARE = 0.5  # of the engines needed, which nobody can reclaim
MAX_TRIES = 32  # numbers of engines of one kind, at a distance beyond that


@dataclasses.dataclass(frozen=True, slots=True)
class EngineMix:
    """Numbers of engines by pool."""

    counts: dict[state.EnginePool, int]

    @property
    def safe(self) -> int:
        """Number of engines that stay."""
        return sum(
            count
            for pool, count in self.counts.items()
            if not pool.is_reclaimable
        )

    @property
    def after_reclaim(self) -> int:
        """Number that is left once the worst data centre has reclaimed."""
        cheap = [
            count for pool, count in self.counts.items() if pool.is_reclaimable
        ]
        return self.safe + sum(cheap) - max(cheap, default=0)

    def is_enough(self, needed: int) -> bool:
        """Return whether `needed` engines are there at any time."""
        return self.after_reclaim >= needed and (
            self.safe >= math.ceil(SAFE_SHARE * needed)
        )

    def price(self, scaling: state.EngineScaling) -> float:
        """Return what the engines cost together."""
        return sum(
            count * (scaling.price_of(pool) or 0.0)
            for pool, count in self.counts.items()
        )


class MixSearch:
    """The mixes of one service, by the number of engines of each kind."""

    def __init__(
        self,
        service: str,
        scaling: state.EngineScaling,
        needed: int,
        unavailable: abc.Container[state.EnginePool],
    ) -> None:
        self.scaling = scaling
        self.needed = needed
        prices = scaling.price_by_data_centre
        self.places = sorted(prices, key=lambda place: (prices[place], place))
        self.service = service
        self.open_pools = {
            is_reclaimable: [
                pool
                for place in self.places
                if (pool := state.EnginePool(service, place, is_reclaimable))
                not in unavailable
                and scaling.price_of(pool) is not None
            ]
            for is_reclaimable in (True, False)
        }
        self.ceiling = scaling.max_count * len(prices)
        self.first = min(self.ceiling, math.ceil(SAFE_SHARE * needed))
        # More that stay than needed, or than there may be, change nothing.
        self.last = min(self.ceiling, max(self.first, needed))

    def with_safe(self, safe: int) -> EngineMix:
        """Return the cheapest mix that is enough, or the largest there is."""
        # More would only replace what one data centre may reclaim, or fill
        # up data centres that must have some.
        filling = self.scaling.min_count * len(self.places)
        useful = max(filling, self.needed + self.scaling.max_count)
        most = min(self.ceiling - safe, useful)
        numbers: abc.Iterable[int] = range(most + 1)
        if most > MAX_TRIES:
            numbers = self._numbers_to_try(safe, min(most, filling), most)
        return min((self.spread(safe, n) for n in numbers), key=self.rank)

    def _numbers_to_try(self, safe: int, least: int, most: int) -> set[int]:
        """Return numbers of reclaimable engines, one of them the best.

        From `least` on, they don't take the place of engines that stay and
        only fill data centres up; more of them leave more after a reclaim,
        for as long as all that stay find room.
        """

        def is_end(cheap: int) -> bool:
            mix = self.spread(safe, cheap)
            return mix.is_enough(self.needed) or mix.safe < safe

        end = bisect.bisect_left(range(most), True, lo=least, key=is_end)
        return {0, least, max(least, end - 1), end}

    def rank(self, mix: EngineMix) -> tuple[bool, float]:
        """Rank mixes that are enough by price, others by size."""
        if mix.is_enough(self.needed):
            return False, mix.price(self.scaling)
        return True, -mix.after_reclaim

    def spread(self, safe: int, cheap: int) -> EngineMix:
        """Spread engines over the data centres, the cheapest ones first."""
        room = dict.fromkeys(self.places, self.scaling.max_count)
        counts: dict[state.EnginePool, int] = {}
        for is_reclaimable, total in ((True, cheap), (False, safe)):
            pools = self.open_pools[is_reclaimable]
            for pool, count in _fill_evenly(pools, total, room).items():
                counts[pool] = count
                room[pool.data_centre] -= count
        self._fill_up(counts, room)
        return EngineMix(counts)

    def _fill_up(
        self, counts: dict[state.EnginePool, int], room: dict[str, int]
    ) -> None:
        """Add engines where a data centre has fewer than it must."""
        for place, left in room.items():
            missing = self.scaling.min_count - (self.scaling.max_count - left)
            if missing > 0:
                pool = state.EnginePool(self.service, place)
                counts[pool] = counts.get(pool, 0) + missing


def cheapest_mix(
    service: str,
    scaling: state.EngineScaling,
    needed: int,
    unavailable: abc.Container[state.EnginePool] = (),
) -> EngineMix:
    """Return the cheapest mix that is enough, or the largest there is.

    Where many are needed, numbers of engines that stay are tried at a
    distance first, and then around the best of them.

    Parameters
    ----------
    service : str
        The service.
    scaling : state.EngineScaling
        What may be ordered.
    needed : int
        Number of engines needed at any time.
    unavailable : container of state.EnginePool
        Pools of which no engines are to be had.
    """
    search = MixSearch(service, scaling, needed, unavailable)

    step = max(1, (search.last - search.first) // MAX_TRIES)
    tried = [*range(search.first, search.last, step), search.last]
    best = min(tried, key=lambda safe: search.rank(search.with_safe(safe)))
    around = range(
        max(search.first, best - step + 1), min(search.last, best + step) + 1
    )
    return min((search.with_safe(safe) for safe in around), key=search.rank)


def _fill_evenly(
    pools: list[state.EnginePool], total: int, room: dict[str, int]
) -> dict[state.EnginePool, int]:
    """Share a number of engines out; the first pools get the odd ones."""
    counts = dict.fromkeys(pools, 0)
    left = total
    while left > 0:
        unfilled = [p for p in pools if counts[p] < room[p.data_centre]]
        if not unfilled:
            break
        share = left // len(unfilled)
        for pool in unfilled:
            space = room[pool.data_centre] - counts[pool]
            added = min(share, space) if share else min(1, left)
            counts[pool] += added
            left -= added
    return counts
