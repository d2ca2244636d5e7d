"""Which services of a route get its requests, by their weights."""

from collections import abc

import xxhash

from poplarloft import state

__all__ = ["allowed_services", "rank_services", "spread_point"]

# Multiples of it, modulo 1, are spread evenly however many there are.
GOLDEN_RATIO = 0.6180339887498949
HASH_RANGE = 1 << 32


def allowed_services(targets: abc.Iterable[state.Target]) -> tuple[str, ...]:
    """Return the services that may get requests, in the given order.

    Those without a weight get none, unless no service has one; then the
    first gets all.
    """
    listed = tuple(targets)
    weighted = tuple(t.service for t in listed if t.weight > 0)
    return weighted or tuple(t.service for t in listed[:1])


def spread_point(name: str, position: int = 0) -> float:
    """Return a number from 0 to below 1 for the request at a position.

    The numbers of successive positions are spread evenly, so that also a
    few requests are shared by weights; `name` selects where they begin.
    """
    start = xxhash.xxh32_intdigest(name.encode()) / HASH_RANGE
    return (start + position * GOLDEN_RATIO) % 1.0


def rank_services(
    targets: abc.Iterable[state.Target], point: float
) -> tuple[str, ...]:
    """Return the allowed services, first the one that a request falls to.

    Parameters
    ----------
    targets : iterable of state.Target
        The services of the route.
    point : float
        Number from 0 to below 1 that stands for the request.
    """
    listed = tuple(targets)
    allowed = allowed_services(listed)
    shares = [t for t in listed if t.weight > 0]
    left = point * sum(t.weight for t in shares)
    chosen = allowed[:1]
    for target in shares:
        chosen = (target.service,)
        left -= target.weight
        if left < 0:
            break
    return chosen + tuple(s for s in allowed if s not in chosen)
