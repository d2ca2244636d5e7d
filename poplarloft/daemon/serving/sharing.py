"""One watch at the store for all daemons of a data centre that ask it."""

import asyncio
import dataclasses

from returns import result

from poplarloft.daemon import tasks
from poplarloft.platform import store as platform_store
from poplarloft import state

__all__ = ["SharedWatches"]

STORE_WAIT_MS = 1_000  # bounds how long a dead watch keeps peers waiting
KEEP_MS = 500  # an answer kept longer would hide what came after it
MS_PER_S = 1_000
Answer = result.Result[state.Changes, state.StoreFailure]


@dataclasses.dataclass(slots=True)
class _Flight:
    """A watch at the store, and when its answer came."""

    task: asyncio.Task[Answer]
    answered_at_ms: int | None = None


class SharedWatches:
    """Asks the store once for what several daemons watch.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    store : platform_store.PlatformStore
        The store, reached directly.
    """

    def __init__(
        self, clock: state.Clock, store: platform_store.PlatformStore
    ) -> None:
        self.clock = clock
        self.store = store
        self.task_set = tasks.TaskSet()
        self.flights: dict[tuple[str, int], _Flight] = {}

    async def ask(self, question: platform_store.WatchQuestion) -> Answer:
        """Return the changes, or none if there are none in the wait.

        That there are none is only told while a watch at the store is
        younger than its own short wait.
        """
        self._forget_old()
        key = (question.prefix, question.after_revision)
        flight = self.flights.get(key)
        if flight is None:
            flight = self.flights[key] = self._begin(question)
        await asyncio.wait({flight.task}, timeout=question.wait_ms / MS_PER_S)
        if flight.task.done():
            return flight.task.result()
        return result.Success(state.Changes((), question.after_revision))

    async def stop(self) -> None:
        """End all watches."""
        await self.task_set.cancel_all()

    def _begin(self, question: platform_store.WatchQuestion) -> _Flight:
        task = self.task_set.spawn(
            self.store.watch(
                question.prefix, question.after_revision, STORE_WAIT_MS
            )
        )
        flight = _Flight(task)
        key = (question.prefix, question.after_revision)
        task.add_done_callback(lambda ended: self._on_done(key, flight))
        return flight

    def _on_done(self, key: tuple[str, int], flight: _Flight) -> None:
        """Keep an answer with changes for those that ask a little later."""
        flight.answered_at_ms = self.clock.now_ms()
        if not flight.task.cancelled():
            match flight.task.result():
                case result.Success(state.Changes(changes=found)) if found:
                    return
        if self.flights.get(key) is flight:
            del self.flights[key]

    def _forget_old(self) -> None:
        oldest_ms = self.clock.now_ms() - KEEP_MS
        for key, flight in list(self.flights.items()):
            at_ms = flight.answered_at_ms
            if at_ms is not None and at_ms < oldest_ms:
                del self.flights[key]
