"""Memory that several users share, who may have to wait for it."""

import collections
from collections import abc

__all__ = ["MemoryQuota"]


class MemoryQuota:
    """Gives out memory in the order of asking.

    A single user gets what it asks for, however small the quota.

    Parameters
    ----------
    max_bytes : int
        Bound on what all users have together.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.taken_bytes = 0
        self.waiting: collections.OrderedDict[
            object, tuple[int, abc.Callable[[], None]]
        ] = collections.OrderedDict()

    def ask(
        self, user: object, size: int, on_given: abc.Callable[[], None]
    ) -> None:
        """Call `on_given` once `size` bytes are there, maybe at once.

        Parameters
        ----------
        user : object
            Who asks; may ask once at a time.
        size : int
            Bytes, to be given back by `give_back`.
        on_given : callable
            Called once, unless the user withdraws before.
        """
        self.waiting[user] = size, on_given
        self._give()

    def withdraw(self, user: object) -> bool:
        """Stop waiting; return whether the user was still waiting."""
        was_waiting = self.waiting.pop(user, None) is not None
        self._give()
        return was_waiting

    def give_back(self, size: int) -> None:
        """Take back what a user has had."""
        self.taken_bytes -= size
        self._give()

    def _give(self) -> None:
        while self.waiting:
            user = next(iter(self.waiting))
            size, on_given = self.waiting[user]
            is_over = self.taken_bytes + size > self.max_bytes
            if self.taken_bytes and is_over:
                return
            del self.waiting[user]
            self.taken_bytes += size
            on_given()
