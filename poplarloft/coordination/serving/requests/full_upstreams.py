"""Which requests wait while upstreams have no room."""

from collections import abc

from poplarloft.coordination.serving.rollouts import engine_view
from poplarloft import state

__all__ = ["FullUpstreams"]

# An upstream that had no room is left for so long to requests whose clients
# wait for nothing else.
HOLD_BACK_MS = 250


class FullUpstreams:
    """Remembers which upstreams have refused a request for lack of room.

    Clients that send requests ahead would take each place that becomes free
    before a request is repeated that has just been refused.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        # Those that have refused least recently come first.
        self.refused_ms: dict[engine_view.EngineId, int] = {}

    def on_refused(self, upstream: engine_view.EngineId) -> None:
        """Note that an upstream had no room."""
        now_ms = self.clock.now_ms()
        self.refused_ms.pop(upstream, None)
        self.refused_ms[upstream] = now_ms
        for known in list(self.refused_ms):
            if now_ms - self.refused_ms[known] < HOLD_BACK_MS:
                break
            del self.refused_ms[known]

    def hold_back_ms(
        self, upstreams: abc.Iterable[engine_view.EngineId]
    ) -> int:
        """Return how long a request that was sent ahead waits.

        Parameters
        ----------
        upstreams : iterable of engine_view.EngineId
            Those at which it may run; it waits while none of them may
            have room.
        """
        refused_ms: list[int] = []
        for upstream in upstreams:
            if upstream not in self.refused_ms:
                return 0
            refused_ms.append(self.refused_ms[upstream])
        if not refused_ms:
            return 0
        return max(0, min(refused_ms) + HOLD_BACK_MS - self.clock.now_ms())
