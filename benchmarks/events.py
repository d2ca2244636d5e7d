"""Event queue of the discrete-event simulations, on a manual clock."""

from collections import abc
import heapq
import itertools

from poplarloft import state

__all__ = ["EventQueue"]


class EventQueue:
    """Run callbacks in order of due time, and of scheduling on ties."""

    def __init__(self) -> None:
        self.clock = state.ManualClock(1_000_000)
        self.heap: list[tuple[int, int, abc.Callable[[], None]]] = []
        self.sequence = itertools.count()

    def after(self, delay_ms: int, callback: abc.Callable[[], None]) -> None:
        """Schedule `callback` to run after `delay_ms` milliseconds."""
        due_ms = self.clock.now_ms() + max(0, delay_ms)
        heapq.heappush(self.heap, (due_ms, next(self.sequence), callback))

    def run_for(self, duration_ms: int) -> None:
        """Advance the clock by `duration_ms`; run the events due by then."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.heap and self.heap[0][0] <= end_ms:
            due_ms, _, callback = heapq.heappop(self.heap)
            self.clock.advance(due_ms - self.clock.now_ms())
            callback()
        self.clock.advance(end_ms - self.clock.now_ms())

    def run_until(
        self, condition: abc.Callable[[], bool], limit_ms: int, step_ms: int
    ) -> int:
        """Run until `condition` holds, evaluated every `step_ms`.

        Returns
        -------
        int
            Elapsed simulated milliseconds, or -1 if `condition` did not hold
            within `limit_ms`.
        """
        started_ms = self.clock.now_ms()
        while self.clock.now_ms() - started_ms < limit_ms:
            if condition():
                return self.clock.now_ms() - started_ms
            self.run_for(step_ms)
        return -1
