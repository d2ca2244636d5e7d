"""News that a relay has still to send to other data centres."""

from collections import abc
import random

__all__ = ["RelayQueues"]

RumourKey = tuple[str, str]


class RelayQueues:
    """A queue of rumours' keys for each other data centre.

    Parameters
    ----------
    rng : random.Random
        Draws the order in which data centres are served.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.queues: dict[str, dict[RumourKey, None]] = {}

    def add(self, key: RumourKey, centres: abc.Iterable[str]) -> None:
        """Queue a rumour for some data centres."""
        for centre in centres:
            self.queues.setdefault(centre, {})[key] = None

    def clear(self) -> None:
        """Forget all news, for an instance that is no relay any more."""
        self.queues.clear()

    def centres(self, count: int) -> list[str]:
        """Return up to `count` data centres that wait for news."""
        waiting = sorted(c for c, keys in self.queues.items() if keys)
        self.rng.shuffle(waiting)
        return waiting[:count]

    def take(self, centre: str, count: int) -> list[RumourKey]:
        """Take up to `count` keys off the queue of a data centre."""
        queue = self.queues[centre]
        keys = list(queue)[:count]
        for key in keys:
            del queue[key]
        return keys
