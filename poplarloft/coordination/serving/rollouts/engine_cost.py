"""The expected cost of generating an output on an engine."""

from collections import abc

from poplarloft.coordination.serving.rollouts import engine_view
from poplarloft.coordination.serving.rollouts import outputs
from poplarloft.coordination.serving.rollouts import prefixes
from poplarloft import state

__all__ = ["EngineCost"]

OTHER_REGION_COST_MS = 60.0
FULL_SLOWDOWN = 0.2  # of an engine whose slots are all taken


class EngineCost:
    """Estimates when an output would end, and what that would cost others.

    What an engine saves as it holds the beginning of a prompt is weighed
    against its pace, its load and the way to it.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    is_near : callable
        Return whether a data centre is in this instance's region.
    """

    def __init__(
        self, clock: state.Clock, is_near: abc.Callable[[str], bool]
    ) -> None:
        self.clock = clock
        self.is_near = is_near
        self.prefixes = prefixes.PrefixMemory(clock)

    def cost_ms(
        self,
        view: engine_view.EngineView,
        output: outputs.ItemOutput,
        model: str,
    ) -> float:
        """Return the time until the output's end, with penalties."""
        now_ms = self.clock.now_ms()
        cost_ms = output.remaining_events() * view.event_interval_ms
        share = len(view.running) / max(1, view.sampler.slots)
        cost_ms *= 1 + FULL_SLOWDOWN * share
        cost_ms += view.permit_wait_ms()
        cost_ms += self.prefixes.reading_ms(view.sampler, model, output.item)
        if not self.is_near(view.sampler.data_centre):
            cost_ms += OTHER_REGION_COST_MS
        if now_ms - view.failed_at_ms < engine_view.FAILED_ENGINE_MS:
            cost_ms += engine_view.FAILED_ENGINE_MS
        if view.sampler.name == output.avoided_engine:
            cost_ms += engine_view.FAILED_ENGINE_MS
        return cost_ms
