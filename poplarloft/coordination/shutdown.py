"""Graceful shutdown, phase by phase."""

import enum

from poplarloft import state

__all__ = ["ShutdownPhase", "ShutdownPlan"]


class ShutdownPhase(enum.StrEnum):
    """Where a stopping instance stands.

    ``NOTICE``: not ready, still accepting, so that the balancer sees it
    before anything is refused. ``DRAINING``: no new connections, requests
    in flight go on. ``STOPPED``: the process may exit.
    """

    SERVING = "serving"
    NOTICE = "notice"
    DRAINING = "draining"
    STOPPED = "stopped"


class ShutdownPlan:
    """Decides the phases of a shutdown.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    notice_ms : int
        How long to accept after readiness went off.
    timeout_ms : int
        Longest time to wait for requests in flight after that.
    """

    def __init__(
        self, clock: state.Clock, notice_ms: int, timeout_ms: int
    ) -> None:
        self.clock = clock
        self.notice_ms = notice_ms
        self.timeout_ms = timeout_ms
        self.started_at_ms: int | None = None

    def begin(self) -> None:
        """Start the shutdown; a second call changes nothing."""
        if self.started_at_ms is None:
            self.started_at_ms = self.clock.now_ms()

    def phase(self, in_flight: int) -> ShutdownPhase:
        """Return the phase, given the number of requests in flight."""
        if self.started_at_ms is None:
            return ShutdownPhase.SERVING
        elapsed_ms = self.clock.now_ms() - self.started_at_ms
        if elapsed_ms < self.notice_ms:
            return ShutdownPhase.NOTICE
        if in_flight and elapsed_ms < self.notice_ms + self.timeout_ms:
            return ShutdownPhase.DRAINING
        return ShutdownPhase.STOPPED

    def notice_left_ms(self) -> int:
        """Return how long the notice phase still lasts."""
        if self.started_at_ms is None:
            return self.notice_ms
        elapsed_ms = self.clock.now_ms() - self.started_at_ms
        return max(0, self.notice_ms - elapsed_ms)

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests here."""
        return self.started_at_ms is None
