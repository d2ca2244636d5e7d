"""What the leader of a cell knows of an engine."""

import dataclasses

from poplarloft import state

__all__ = [
    "EngineId",
    "EngineView",
    "FAILED_ENGINE_MS",
    "INITIAL_EVENT_INTERVAL_MS",
]

INITIAL_EVENT_INTERVAL_MS = 50.0
INTERVAL_SMOOTHING = 0.1
FAILED_ENGINE_MS = 2_000
INITIAL_BACKOFF_MS = 500
MAX_BACKOFF_MS = 4_000
LOSS_GROUPING_MS = 300
PERMIT_QUEUE_S = 0.25  # permits of that time are asked for at once
MAX_PERMIT_WAIT_S = 10
MS_PER_S = 1_000
EngineId = tuple[str, int]


@dataclasses.dataclass(slots=True)
class EngineView:
    """What the leader knows of one incarnation of an engine.

    Parameters
    ----------
    sampler : state.Sampler
        Its newest announcement.
    versions : dict of str to int
        Weight version of each model, as last reported.
    loading : set of str
        Models whose weights it is loading; none of their items start here.
    running : set of int
        Ids of the runs on it.
    event_interval_ms : float
        Smoothed time between two events of an output.
    has_interval : bool
        Whether that time has been measured.
    failed_at_ms : int
        Time at which it last failed a run.
    losses : int
        Number of lost connections since it last sent events.
    last_loss_at_ms : int
        Time of the last one counted.
    backoff_until_ms : int
        Time before which no item is started here.
    limit_per_s : float or None
        Requests per second that it takes from all instances, if it has
        named a limit.
    awaiting_permit : set of int
        Ids of the runs that wait for a permit.
    limited_until_ms : int
        Time before which no permit can be had.
    """

    sampler: state.Sampler
    versions: dict[str, int]
    loading: set[str] = dataclasses.field(default_factory=set)
    running: set[int] = dataclasses.field(default_factory=set)
    event_interval_ms: float = INITIAL_EVENT_INTERVAL_MS
    has_interval: bool = False
    failed_at_ms: int = -FAILED_ENGINE_MS
    losses: int = 0
    last_loss_at_ms: int = -LOSS_GROUPING_MS
    backoff_until_ms: int = 0
    limit_per_s: float | None = None
    awaiting_permit: set[int] = dataclasses.field(default_factory=set)
    limited_until_ms: int = 0

    def has_free_slot(self) -> bool:
        """Return whether a slot is free."""
        return len(self.running) < self.sampler.slots

    def may_start(self, now_ms: int) -> bool:
        """Return whether an item may be started here.

        After a lost connection only one item at a time is started until an
        event arrives. Each further loss also starts a backoff, which
        doubles up to `MAX_BACKOFF_MS`.
        """
        if now_ms < self.backoff_until_ms:
            return False
        if self.losses and self.running:
            return False
        return self.has_free_slot() and not self.is_at_limit(now_ms)

    def is_at_limit(self, now_ms: int) -> bool:
        """Return whether no further item should wait for a permit here."""
        if self.limit_per_s is None:
            return False
        most = max(1, int(self.limit_per_s * PERMIT_QUEUE_S))
        return (
            now_ms < self.limited_until_ms or len(self.awaiting_permit) >= most
        )

    def permit_wait_ms(self) -> float:
        """Return the time that one more item may wait for a permit."""
        if self.limit_per_s is None:
            return 0.0
        rate_per_s = max(self.limit_per_s, 1 / MAX_PERMIT_WAIT_S)
        return MS_PER_S * (len(self.awaiting_permit) + 1) / rate_per_s

    def on_connection_lost(self, now_ms: int) -> None:
        """Record a run whose connection failed or was lost.

        Losses within `LOSS_GROUPING_MS` of each other count as one.
        """
        if now_ms - self.last_loss_at_ms < LOSS_GROUPING_MS:
            return
        self.last_loss_at_ms = now_ms
        if self.losses:
            backoff_ms = INITIAL_BACKOFF_MS * 2 ** (self.losses - 1)
            self.backoff_until_ms = now_ms + min(MAX_BACKOFF_MS, backoff_ms)
        self.losses += 1

    def end_backoff(self) -> None:
        """Reset losses and backoff, since the engine sends events."""
        self.losses = 0
        self.backoff_until_ms = 0

    def on_event(self, gap_ms: float) -> None:
        """Update the average with the time between two events."""
        if not self.has_interval:
            self.event_interval_ms, self.has_interval = gap_ms, True
        self.event_interval_ms += INTERVAL_SMOOTHING * (
            gap_ms - self.event_interval_ms
        )
