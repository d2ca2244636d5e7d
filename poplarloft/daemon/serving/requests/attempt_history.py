"""The attempts at upstreams that one client attempt has led to."""

import dataclasses

from poplarloft import coordination
from poplarloft import state

__all__ = ["AttemptHistory"]

MAX_UNCOUNTED = 8
MAX_ROOM_WAITS = 30  # until clients that read nothing are known as such
Status = coordination.FingerprintStatus


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """The attempts made so far for one request.

    Parameters
    ----------
    names : list of str
        The upstreams tried.
    uncounted : int
        Number of attempts at upstreams that crashed or did not listen.
    room_waits : int
        Number of refusals after which the request waits for room.
    room_wait_ms : int
        Time that the next attempt waits, unless there is an upstream that
        was not tried.
    may_have_run : bool
        Whether an upstream may have run the request.
    is_sent : bool
        Whether an attempt is under way.
    detail : str
        Why there is no response so far.
    limited_for_ms : int or None
        Time until an upstream takes a request, if all are limited.
    status : coordination.FingerprintStatus
        Restriction on the request's fingerprint when last looked at.
    software_version : str
        Version at which a stream that is taken up goes on.
    refusal : state.Reason or None
        Why no upstream may get the request.
    deadline_ms : int
        Time on the monotonic clock at which the client gets a refusal.
    sent_at_ms : int
        Unix time at which the last attempt was sent.
    """

    names: list[str] = dataclasses.field(default_factory=list)
    uncounted: int = 0
    room_waits: int = 0
    room_wait_ms: int = 0
    may_have_run: bool = False
    is_sent: bool = False
    detail: str = "no upstream is available"
    limited_for_ms: int | None = None
    status: coordination.FingerprintStatus = Status.CLEAR

    software_version: str = ""
    refusal: state.Reason | None = None
    deadline_ms: int = 0
    sent_at_ms: int = 0

    @property
    def verdict(self) -> state.Verdict:
        """Return whether an upstream may have run the request."""
        if self.may_have_run:
            return state.Verdict.MAY_HAVE_RUN
        return state.Verdict.NOT_RUN

    @property
    def is_restricted(self) -> bool:
        """Whether the request is refused for what it may have crashed."""
        return self.status in (Status.QUARANTINED, Status.ON_HOLD)

    def left_ms(self, clock: state.Clock) -> int:
        """Return the time until the deadline."""
        return max(0, self.deadline_ms - clock.now_ms())

    def set_origin(self, software_version: str) -> None:
        """Set the version that began the stream, empty if unknown."""
        self.software_version = software_version
        if not software_version:
            self.refusal = state.Reason.STREAM_UNKNOWN
            self.detail = "no instance knows which version began the stream"

    def on_stopped(self) -> None:
        """Give the request up, since the process stops."""
        self.may_have_run |= self.is_sent
        self.refusal = state.Reason.STOPPING
        self.detail = "this instance stops before the request has ended"

    def on_exhausted(self, detail: str) -> None:
        """Give the request up, since no connection is free for it."""
        self.refusal = state.Reason.OVERLOADED
        self.detail = detail

    def reason(self, is_late: bool) -> state.Reason:
        """Return why the request gets no response of an upstream.

        Parameters
        ----------
        is_late : bool
            Whether there is no time left for another attempt.
        """
        if self.refusal is not None:
            return self.refusal
        if self.is_restricted:
            return state.Reason.QUARANTINED
        if self.limited_for_ms is not None and not self.may_have_run:
            return state.Reason.UPSTREAM_LIMITED
        if not self.names:
            return state.Reason.NO_UPSTREAM
        if is_late and self.may_have_run:
            return state.Reason.DEADLINE
        return state.Reason.UPSTREAM_FAILED

    def wait_for_room(self, wait_ms: int) -> None:
        """Let the request be sent again to upstreams that had no room."""
        if self.room_waits < MAX_ROOM_WAITS:
            self.room_waits += 1
            self.room_wait_ms = wait_ms

    def has_attempt_left(self, route: state.PathRoute) -> bool:
        """Return whether the route allows another attempt."""
        if self.refusal is not None:
            return False
        uncounted = min(self.uncounted, MAX_UNCOUNTED) + self.room_waits
        counted = len(self.names) - uncounted
        return counted < max(1, route.max_attempts)
