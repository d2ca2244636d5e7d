"""Failure detection of the leader, and the decision to take over."""

from poplarloft import state

__all__ = ["FailoverDetector"]

HEARTBEAT_TIMEOUT_MS = 500
FIRST_HEARTBEAT_MS = 1_500  # a leader's first heartbeat needs a connection
NOT_PREFERRED_DELAY_MS = 500
REPLACED_DELAY_MS = 10_000
ASK_AFTER_MS = 250  # of silence, so that answers are there at the time-out
REPORT_VALID_MS = 600
HEARD_MS = 300  # a leader that was heard so recently has not failed


class FailoverDetector:
    """Decide when a standby considers the leader failed and takes over.

    A standby that receives no heartbeats for the time-out tries to take
    over, once another standby or a witness confirms that it has not heard
    from the leader either, and none of them has. A standby that nobody
    answers may be the one that is cut off; it waits until the leader's
    lease has expired. A daemon that was itself replaced as leader doesn't
    take over for `REPLACED_DELAY_MS`, but waits for the lease to expire, so
    that two daemons that merely can't reach each other don't replace each
    other in turn.

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
    has_others : bool
        Whether other standbys or witnesses are known, which can be asked.
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
        self.has_others = False
        self.heard_at_ms: dict[str, int] = {}
        self.reported_at_ms: dict[str, int] = {}

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

    @property
    def silent_ms(self) -> int | None:
        """Time since the leader was heard, None if it never was."""
        if self.awaits_first_heartbeat:
            return None
        return self.clock.now_ms() - self.silent_since_ms

    def should_ask(self) -> bool:
        """Return whether to ask the other standbys about the leader."""
        silent_ms = self.clock.now_ms() - self.silent_since_ms
        return self.has_others and silent_ms > ASK_AFTER_MS

    def on_report(self, name: str, silent_ms: int | None) -> None:
        """Record how long ago another standby has heard from the leader."""
        if silent_ms is None:
            return
        now_ms = self.clock.now_ms()
        self.reported_at_ms[name] = now_ms
        self.heard_at_ms[name] = now_ms - silent_ms

    def _is_confirmed(self) -> bool:
        """Return whether others have not heard from the leader either."""
        if not self.has_others:
            return True
        now_ms = self.clock.now_ms()
        heard_at_ms = [
            self.heard_at_ms[name]
            for name, at_ms in self.reported_at_ms.items()
            if now_ms - at_ms <= REPORT_VALID_MS
        ]
        if not heard_at_ms:
            return False
        return now_ms - max(heard_at_ms) >= HEARD_MS

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
        if now_ms - self.silent_since_ms <= allowed_ms:
            return False
        return self._is_confirmed()
