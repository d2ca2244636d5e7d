"""Phases of a graceful shutdown."""

import enum

from poplarloft import state

__all__ = ["ShutdownPhase", "ShutdownPlan"]


class ShutdownPhase(enum.StrEnum):
    """Phase of an instance's shutdown.

    ``NOTICE``: the instance reports that it is not ready but still accepts
    connections, so that the load balancer stops sending requests before any
    are refused. ``DRAINING``: no new connections are accepted, requests in
    flight continue. ``STOPPED``: the process may exit.
    """

    SERVING = "serving"
    NOTICE = "notice"
    DRAINING = "draining"
    STOPPED = "stopped"


class ShutdownPlan:
    """Determines the current phase of a shutdown.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    notice_ms : int
        How long to accept connections after readiness is withdrawn.
    timeout_ms : int
        Maximum time to wait for requests in flight after that.
    """

    def __init__(
        self, clock: state.Clock, notice_ms: int, timeout_ms: int
    ) -> None:
        self.clock = clock
        self.notice_ms = notice_ms
        self.timeout_ms = timeout_ms
        self.started_at_ms: int | None = None

    def begin(self) -> None:
        """Start the shutdown; further calls have no effect."""
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
        """Return the remaining time of the notice phase."""
        if self.started_at_ms is None:
            return self.notice_ms
        elapsed_ms = self.clock.now_ms() - self.started_at_ms
        return max(0, self.notice_ms - elapsed_ms)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests to this instance."""
        return self.started_at_ms is None
