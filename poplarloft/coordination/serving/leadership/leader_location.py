"""The address of the leader, as announced by the leader itself."""

from poplarloft import state

__all__ = ["LeaderLocation"]

ANNOUNCEMENT_VALID_MS = 4_000


class LeaderLocation:
    """Track the address of the most recently elected leader.

    Messages sent to that address are only hints: the leader also learns
    their content from the store.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.newest: state.LeaderAnnouncement | None = None
        self.announced_at_ms = 0

    def on_leader(self, message: state.LeaderAnnouncement) -> None:
        """Record an announcement; ignore one of an earlier leader."""
        newest = self.newest
        if newest is not None and message.fence < newest.fence:
            return
        self.newest = message
        self.announced_at_ms = self.clock.now_ms()

    @property
    def fence(self) -> int:
        """Fencing token of the leader, 0 if it has not been announced."""
        return 0 if self.newest is None else self.newest.fence

    def address(self) -> state.Address | None:
        """Return the leader's address, None if not announced recently."""
        recent = self._recent()
        return None if recent is None else recent.address

    @property
    def is_full(self) -> bool:
        """Whether the leader has as many lots waiting as it may have."""
        recent = self._recent()
        return recent is not None and recent.is_full

    def _recent(self) -> state.LeaderAnnouncement | None:
        """Return the announcement, None if it is too old."""
        if self.clock.now_ms() - self.announced_at_ms > ANNOUNCEMENT_VALID_MS:
            return None
        return self.newest
