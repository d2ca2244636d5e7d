"""Where the daemon that runs the lots is, as it tells itself."""

from poplarloft import state

__all__ = ["LeaderLocation"]

VALID_MS = 4_000


class LeaderLocation:
    """The newest runner that was heard of.

    What is sent there is a hint only: the store tells the runner as well.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.newest: state.LeaderAnnouncement | None = None
        self.heard_at_ms = 0

    def on_leader(self, message: state.LeaderAnnouncement) -> None:
        """Take word of a runner; an older one than known is left aside."""
        newest = self.newest
        if newest is not None and message.fence < newest.fence:
            return
        self.newest = message
        self.heard_at_ms = self.clock.now_ms()

    def address(self) -> state.Address | None:
        """Return where the runner is, None if it was not heard lately."""
        if self.newest is None:
            return None
        if self.clock.now_ms() - self.heard_at_ms > VALID_MS:
            return None
        return self.newest.address
