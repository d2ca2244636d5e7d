"""When a standby takes over the duty of running lots."""

from poplarloft import state

__all__ = ["FailoverDetector"]

SILENCE_MS = 500
FIRST_BEAT_MS = 1_500  # a runner's first beat needs a connection
NOT_HEIR_MS = 500
DEPOSED_QUIET_MS = 10_000


class FailoverDetector:
    """Decides when the runner is taken for dead.

    A standby that can't hear the runner takes over once; one that was
    deposed itself waits for the lease to end, so that two daemons that
    only can't reach each other don't take turns.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    name : str
        This daemon.
    """

    def __init__(self, clock: state.Clock, name: str) -> None:
        self.clock = clock
        self.name = name
        self.leader: state.LeaderRecord | None = None
        self.heard_at_ms = 0
        self.is_first = True
        self.preferred_standby = ""
        self.is_provisional = False
        self.quiet_until_ms = 0

    def set_leader(self, runner: state.LeaderRecord) -> None:
        """Note who runs the lots; silence goes on for the same runner."""
        if runner == self.leader:
            return
        self.leader = runner
        self.heard_at_ms = self.clock.now_ms()
        self.is_first = True
        self.preferred_standby = ""

    def on_heartbeat(self, beat: state.Heartbeat) -> None:
        """Note that the runner lives."""
        self.heard_at_ms = self.clock.now_ms()
        self.is_first = False
        self.preferred_standby = beat.heir
        self.is_provisional = beat.fence == 0

    def on_replaced(self) -> None:
        """Note that another daemon took the duty from this one."""
        self.leader = None
        self.quiet_until_ms = self.clock.now_ms() + DEPOSED_QUIET_MS

    def hears_leader(self) -> bool:
        """Tell whether beats of another daemon have come just now."""
        silent_ms = self.clock.now_ms() - self.heard_at_ms
        return not self.is_first and silent_ms < SILENCE_MS

    def has_provisional_leader(self) -> bool:
        """Tell whether another daemon runs the lots without the duty.

        It takes the duty itself once the store is back.
        """
        silent_ms = self.clock.now_ms() - self.heard_at_ms
        return self.is_provisional and silent_ms < SILENCE_MS

    def should_take_over(self) -> bool:
        """Tell whether this daemon should take the duty now."""
        runner = self.leader
        if runner is None:
            return False
        if runner.name == self.name:
            # An earlier start of this daemon, which has ended.
            return True
        now_ms = self.clock.now_ms()
        if now_ms < self.quiet_until_ms:
            return False
        allowed_ms = FIRST_BEAT_MS if self.is_first else SILENCE_MS
        if self.preferred_standby != self.name:
            allowed_ms += NOT_HEIR_MS
        return now_ms - self.heard_at_ms > allowed_ms
