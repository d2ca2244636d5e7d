"""The cheapest engines that leave enough when a data centre reclaims."""

from collections import abc
import dataclasses
import math

from poplarloft import state

__all__ = ["EngineMix", "cheapest_mix"]

SAFE_SHARE = 0.5  # of the engines needed, which nobody can reclaim


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


def cheapest_mix(
    service: str,
    scaling: state.EngineScaling,
    needed: int,
    unavailable: abc.Container[state.EnginePool] = (),
) -> EngineMix:
    """Return the cheapest mix that is enough, or the largest there is.

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
    best: EngineMix | None = None
    most: EngineMix | None = None
    ceiling = scaling.max_count * len(scaling.price_by_data_centre)
    first = min(ceiling, math.ceil(SAFE_SHARE * needed))
    for safe in range(first, ceiling + 1):
        # More would only replace what one data centre may reclaim.
        most_cheap = min(ceiling - safe, needed + scaling.max_count)
        for cheap in range(most_cheap + 1):
            mix = _spread(service, scaling, safe, cheap, unavailable)
            if most is None or mix.after_reclaim > most.after_reclaim:
                most = mix
            if not mix.is_enough(needed):
                continue
            if best is None or mix.price(scaling) < best.price(scaling):
                best = mix
        if best is not None and safe >= needed:
            break
    found = best or most
    assert found is not None
    return found


def _spread(
    service: str,
    scaling: state.EngineScaling,
    safe: int,
    cheap: int,
    unavailable: abc.Container[state.EnginePool],
) -> EngineMix:
    """Spread engines over the data centres, the cheapest ones first."""
    order = sorted(
        scaling.price_by_data_centre,
        key=lambda place: (scaling.price_by_data_centre[place], place),
    )
    counts: dict[state.EnginePool, int] = {}
    used = dict.fromkeys(order, 0)
    for is_reclaimable, total in ((True, cheap), (False, safe)):
        pools = [
            state.EnginePool(service, place, is_reclaimable) for place in order
        ]
        pools = [
            pool
            for pool in pools
            if scaling.price_of(pool) is not None and pool not in unavailable
        ]
        for pool in pools:
            counts.setdefault(pool, 0)
        for _ in range(total):
            free = [
                pool
                for pool in pools
                if used[pool.data_centre] < scaling.max_count
            ]
            if not free:
                break
            pool = min(free, key=lambda pool: counts[pool])
            counts[pool] += 1
            used[pool.data_centre] += 1
    _fill_up(service, scaling, counts, used)
    return EngineMix(counts)


def _fill_up(
    service: str,
    scaling: state.EngineScaling,
    counts: dict[state.EnginePool, int],
    used: dict[str, int],
) -> None:
    """Add engines where a data centre has fewer than it must."""
    for place, count in used.items():
        missing = scaling.min_count - count
        if missing > 0:
            pool = state.EnginePool(service, place)
            counts[pool] = counts.get(pool, 0) + missing
