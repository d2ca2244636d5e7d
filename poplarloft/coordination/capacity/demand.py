"""The engine time that trainers need, learned from their steps."""

import collections
import dataclasses
import statistics

from poplarloft import state

__all__ = ["DemandMeter", "Step"]

KEPT_STEPS = 6
MIN_STEPS = 3  # two intervals, before a trainer's cadence is relied on
ACTIVE_INTERVALS = 3  # a trainer that is silent for longer has stopped


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One lot of a trainer.

    Parameters
    ----------
    trainer : str
        Identifies the trainer, the same for all its steps.
    service : str
        The service whose engines generate the lot.
    accepted_at_ms : int
        Time at which the lot was accepted.
    events : float
        Events that its items generate together, as expected.
    """

    trainer: str
    service: str
    accepted_at_ms: int
    events: float


class DemandMeter:
    """Learns how many slots the trainers of each service keep busy.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.steps: dict[str, collections.deque[Step]] = {}

    def on_step(self, step: Step) -> None:
        """Learn from a step that a trainer has asked for."""
        known = self.steps.setdefault(
            step.trainer, collections.deque(maxlen=KEPT_STEPS)
        )
        known.append(step)

    def is_known(self, service: str) -> bool:
        """Return whether the cadence of all trainers is known."""
        trainers = [
            steps
            for steps in self.steps.values()
            if steps[-1].service == service
        ]
        return bool(trainers) and all(
            len(steps) >= MIN_STEPS for steps in trainers
        )

    def busy_slots(self, service: str, event_interval_ms: float) -> float:
        """Return the slots that trainers keep busy on average.

        Parameters
        ----------
        service : str
            The service.
        event_interval_ms : float
            Measured time between two events of an output. It isn't kept
            with a step, since the first ones are asked for before any
            engine has been measured.
        """
        now_ms = self.clock.now_ms()
        total = 0.0
        for steps in self.steps.values():
            if steps[-1].service != service or len(steps) < MIN_STEPS:
                continue
            cadence_ms = _cadence_ms(steps)
            silent_ms = now_ms - steps[-1].accepted_at_ms
            if silent_ms > ACTIVE_INTERVALS * cadence_ms:
                continue
            events = statistics.fmean(step.events for step in steps)
            total += events * event_interval_ms / cadence_ms
        return total


def _cadence_ms(steps: collections.deque[Step]) -> float:
    """Return the mean time between two steps.

    A trainer that has fallen behind asks for some steps at once.
    """
    times_ms = [step.accepted_at_ms for step in steps]
    return max(1.0, (max(times_ms) - min(times_ms)) / (len(times_ms) - 1))
