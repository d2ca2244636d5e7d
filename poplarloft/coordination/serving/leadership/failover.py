"""Failure detection of the leader, and the decision to take over."""

from poplarloft import state

__all__ = ["FailoverDetector"]

HEARTBEAT_TIMEOUT_MS = 500
FIRST_HEARTBEAT_MS = 1_500  # a leader's first heartbeat needs a connection
NOT_PREFERRED_DELAY_MS = 500
REPLACED_DELAY_MS = 10_000


class FailoverDetector:
    """Decide when a standby considers the leader failed and takes over.

    A standby that receives no heartbeats for the time-out tries to take
    over. A daemon that was itself replaced as leader doesn't do so for
    `REPLACED_DELAY_MS`, but waits for the lease to expire, so that two
    daemons that merely can't reach each other don't replace each other in
    turn.

    A provisional leader runs lots before the store has confirmed its
    leadership. Until then its fencing token is 0.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    name : str
        Name of this daemon.

    Attributes
    ----------
    silent_since_ms : int
        Time of the last heartbeat, or at which this daemon began to follow
        the leader, whichever is later.
    leader_is_provisional : bool
        Whether the last heartbeat was that of a provisional leader.
    """

    def __init__(self, clock: state.Clock, name: str) -> None:
        self.clock = clock
        self.name = name
        self.leader: state.LeaderRecord | None = None
        self.silent_since_ms = 0
        self.awaits_first_heartbeat = True
        self.preferred_standby = ""
        self.leader_is_provisional = False
        self.passive_until_ms = 0

    def set_leader(self, leader: state.LeaderRecord) -> None:
        """Follow a leader, and start to wait for its first heartbeat.

        Does nothing for the leader already followed, so that the heartbeat
        time-out is not restarted.
        """
        if leader == self.leader:
            return
        self.leader = leader
        self.silent_since_ms = self.clock.now_ms()
        self.awaits_first_heartbeat = True
        self.preferred_standby = ""

    def on_heartbeat(self, heartbeat: state.Heartbeat) -> None:
        """Record a heartbeat and the standby that the leader prefers."""
        self.silent_since_ms = self.clock.now_ms()
        self.awaits_first_heartbeat = False
        self.preferred_standby = heartbeat.heir
        self.leader_is_provisional = heartbeat.fence == 0

    def on_replaced(self) -> None:
        """Record that another daemon replaced this one as leader."""
        self.leader = None
        self.passive_until_ms = self.clock.now_ms() + REPLACED_DELAY_MS

    def hears_leader(self) -> bool:
        """Return whether another daemon sent a heartbeat recently."""
        silent_ms = self.clock.now_ms() - self.silent_since_ms
        return (
            not self.awaits_first_heartbeat
            and silent_ms < HEARTBEAT_TIMEOUT_MS
        )

    def has_provisional_leader(self) -> bool:
        """Return whether a provisional leader sent a heartbeat recently.

        It acquires the key itself once the store is available again.
        """
        silent_ms = self.clock.now_ms() - self.silent_since_ms
        return self.leader_is_provisional and silent_ms < HEARTBEAT_TIMEOUT_MS

    def should_take_over(self) -> bool:
        """Return whether this daemon should acquire leadership now."""
        leader = self.leader
        if leader is None:
            return False
        if leader.name == self.name:
            # The record is of an earlier incarnation of this daemon, which
            # has ended: there is no heartbeat to wait for.
            return True
        now_ms = self.clock.now_ms()
        if now_ms < self.passive_until_ms:
            return False
        allowed_ms = (
            FIRST_HEARTBEAT_MS
            if self.awaits_first_heartbeat
            else HEARTBEAT_TIMEOUT_MS
        )
        if self.preferred_standby != self.name:
            allowed_ms += NOT_PREFERRED_DELAY_MS
        return now_ms - self.silent_since_ms > allowed_ms
