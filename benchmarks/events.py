"""A queue of timed events on a manual clock."""

from collections import abc
import heapq
import itertools

from poplarloft import state

__all__ = ["EventQueue"]


class EventQueue:
    """Runs callbacks in order of time; ties in order of arrival."""

    def __init__(self) -> None:
        self.clock = state.ManualClock(1_000_000)
        self.heap: list[tuple[int, int, abc.Callable[[], None]]] = []
        self.numbers = itertools.count()

    def after(self, delay_ms: int, callback: abc.Callable[[], None]) -> None:
        """Run `callback` after `delay_ms` milliseconds."""
        due_ms = self.clock.now_ms() + max(0, delay_ms)
        heapq.heappush(self.heap, (due_ms, next(self.numbers), callback))

    def run_for(self, duration_ms: int) -> None:
        """Run all events of the next `duration_ms` milliseconds."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.heap and self.heap[0][0] <= end_ms:
            due_ms, _, callback = heapq.heappop(self.heap)
            self.clock.advance(due_ms - self.clock.now_ms())
            callback()
        self.clock.advance(end_ms - self.clock.now_ms())

    def run_until(
        self, condition: abc.Callable[[], bool], limit_ms: int, step_ms: int
    ) -> int:
        """Run until `condition` holds, looking every `step_ms`.

        Returns
        -------
        int
            The time that it took, or -1 if it did not hold in time.
        """
        begun_ms = self.clock.now_ms()
        while self.clock.now_ms() - begun_ms < limit_ms:
            if condition():
                return self.clock.now_ms() - begun_ms
            self.run_for(step_ms)
        return -1
