"""Which of the accepted lots an instance holds in its memory.

All accepted lots are in the store. Those beyond the bound stay there until
others have ended.
"""

from poplarloft import state

__all__ = ["DEFAULT_LOT_BYTES", "LotBacklog", "held_bytes"]

DEFAULT_LOT_BYTES = 268_435_456
ITEM_BYTES = 2_000  # an item, its output and its place in the plan
# A lot over this share of the bound is large. Large lots together have a
# part of it only, so that the others are not kept waiting by them.
LARGE_SHARE = 1 / 8
LARGE_LOTS_SHARE = 1 / 2


def held_bytes(lot: state.Lot) -> int:
    """Return about how much memory a lot takes that is run."""
    bodies = sum(len(item.body) for item in lot.items)
    return ITEM_BYTES * len(lot.items) + bodies


class LotBacklog:
    """Admits lots within a bound on memory, and defers the others.

    Parameters
    ----------
    max_bytes : int
        Bound on all lots held. A single lot is held however large it is.

    Attributes
    ----------
    deferred : dict of str to int
        The size of each lot that waits, in the order of arrival.
    """

    def __init__(self, max_bytes: int = DEFAULT_LOT_BYTES) -> None:
        self.max_bytes = max_bytes
        self.held: dict[str, int] = {}
        self.held_bytes = 0
        self.large_bytes = 0
        self.deferred: dict[str, int] = {}
        self.deferred_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether so many lots wait that no more should be accepted."""
        return self.deferred_bytes > self.max_bytes

    def admit(self, lot_id: str, size: int) -> bool:
        """Return whether to hold a lot; otherwise it is deferred."""
        if not self._fits(size):
            self.deferred[lot_id] = size
            self.deferred_bytes += size
            return False
        self.held[lot_id] = size
        self.held_bytes += size
        if self._is_large(size):
            self.large_bytes += size
        return True

    def remove(self, lot_id: str) -> None:
        """Forget a lot that has ended, or that is read once more."""
        size = self.held.pop(lot_id, None)
        if size is not None:
            self.held_bytes -= size
            if self._is_large(size):
                self.large_bytes -= size
        self.deferred_bytes -= self.deferred.pop(lot_id, 0)

    def next_deferred(self) -> str | None:
        """Return the lot that is to be held next, None if none fits.

        Small lots come first, so that a few large ones do not keep many
        others waiting; of equal ones the first to arrive.
        """
        if not self.deferred:
            return None
        lot_id = min(self.deferred, key=self.deferred.__getitem__)
        return lot_id if self._fits(self.deferred[lot_id]) else None

    def _is_large(self, size: int) -> bool:
        return size > LARGE_SHARE * self.max_bytes

    def _fits(self, size: int) -> bool:
        if not self.held:
            return True
        if self._is_large(size):
            most = LARGE_LOTS_SHARE * self.max_bytes
            if self.large_bytes and self.large_bytes + size > most:
                return False
        return self.held_bytes + size <= self.max_bytes
