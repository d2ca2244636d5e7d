"""When the steps of trainers should have been asked for.

Load: trainers that share engines, each with a step at its own cadence, and
engine time for less than all of them at times. A step that ends late makes
the next one late; ranked by the time at which they were accepted, the steps
of a trainer that has been delayed once stay behind those of the others.
"""

import statistics

__all__ = ["StepSchedule"]

KEPT_STEPS = 16
MIN_STEPS = 4  # two intervals over two steps
MAX_LAG_INTERVALS = 2.0  # of one trainer, so that others aren't starved


class StepSchedule:
    """Learns the cadence of trainers, and how far each is behind it.

    Attributes
    ----------
    steps : dict of str to dict of int to int
        By trainer and number of a step, the time at which it was accepted.
    """

    def __init__(self) -> None:
        self.steps: dict[str, dict[int, int]] = {}

    def on_step(self, trainer: str, number: int, accepted_at_ms: int) -> int:
        """Return the time at which a step should have been asked for.

        Parameters
        ----------
        trainer : str
            Identifies the trainer, the same for all its steps.
        number : int
            The trainer's number for the step. Steps may become known in any
            order; one that is accepted after a step with a higher number is
            the first of a trainer that has started anew.
        accepted_at_ms : int
            Time at which the step was accepted.
        """
        known = self.steps.setdefault(trainer, {})
        if any(
            other > number and other_at_ms < accepted_at_ms
            for other, other_at_ms in known.items()
        ):
            known.clear()
        known[number] = accepted_at_ms
        if len(known) > KEPT_STEPS:
            del known[min(known)]
        return accepted_at_ms - _lag_ms(known, number)


def _lag_ms(known: dict[int, int], number: int) -> int:
    """Return how far a step is behind the most punctual one."""
    if len(known) < MIN_STEPS or number not in known:
        return 0
    interval_ms = _interval_ms(known)
    starts_ms = {
        other: accepted_at_ms - other * interval_ms
        for other, accepted_at_ms in known.items()
    }
    lag_ms = starts_ms[number] - min(starts_ms.values())
    return round(min(lag_ms, MAX_LAG_INTERVALS * interval_ms))


def _interval_ms(known: dict[int, int]) -> float:
    """Return the usual time between two steps.

    It is the median over two steps: a trainer that has two steps under way
    asks for them in pairs while it is behind.
    """
    numbers = sorted(known)
    return statistics.median_low(
        (known[after] - known[before]) / (after - before)
        for before, after in zip(numbers, numbers[2:], strict=False)
    )
