"""Updates that a relay has yet to send to other data centres."""

from collections import abc
import random

__all__ = ["RelayQueues"]

UpdateKey = tuple[str, str]


class RelayQueues:
    """A queue of update keys for each of the other data centres.

    Parameters
    ----------
    rng : random.Random
        Draws the order in which data centres are served.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.queues: dict[str, dict[UpdateKey, None]] = {}

    def add(self, key: UpdateKey, data_centres: abc.Iterable[str]) -> None:
        """Queue an update for the given data centres."""
        for data_centre in data_centres:
            self.queues.setdefault(data_centre, {})[key] = None

    def clear(self) -> None:
        """Empty all queues, when this instance is no longer a relay."""
        self.queues.clear()

    def pending(self, count: int) -> list[str]:
        """Return up to `count` data centres with queued updates."""
        pending = sorted(c for c, keys in self.queues.items() if keys)
        self.rng.shuffle(pending)
        return pending[:count]

    def take(self, data_centre: str, count: int) -> list[UpdateKey]:
        """Remove and return up to `count` keys queued for a data centre."""
        queue = self.queues[data_centre]
        keys = list(queue)[:count]
        for key in keys:
            del queue[key]
        return keys
