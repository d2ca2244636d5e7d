"""The views of the store that a daemon with the role `bulk` follows."""

from collections import abc
import dataclasses

from poplarloft.daemon.serving.fleet import feed_link
from poplarloft.daemon.serving.store import lots_view
from poplarloft.daemon.serving.store import view
from poplarloft.daemon import tasks
from poplarloft.platform import names
from poplarloft import state

__all__ = ["StoreViews"]

SAMPLER_PAUSE_MS = 300


@dataclasses.dataclass(slots=True)
class StoreViews:
    """Views of the operator's keys, the upstreams and the open lots."""

    operator: view.OperatorView
    samplers: view.SamplerView
    lots: lots_view.LotsView

    @classmethod
    def make(
        cls, clock: state.Clock, last_use_ms: int, lot_bytes: int
    ) -> "StoreViews":
        """Return views that are empty until they are started.

        The last upstreams of a service that leave are used for
        `last_use_ms`. Lots are held in up to `lot_bytes` of memory.
        """
        return cls(
            view.OperatorView(clock, names.OPERATOR_PREFIX),
            view.SamplerView(clock, SAMPLER_PAUSE_MS, last_use_ms),
            lots_view.LotsView(clock, lot_bytes),
        )

    def start(
        self,
        store: state.RevisionStore,
        task_set: tasks.TaskSet,
        feed: feed_link.FeedLink,
    ) -> None:
        """Start following the store."""
        self.operator.start(store, task_set, feed)
        self.samplers.start(store, task_set, feed)
        self.lots.start(store, task_set, feed)

    def listeners(self) -> tuple[list[abc.Callable[[], None]], ...]:
        """Return those who are told of changes that concern planning."""
        return self.operator.listeners, self.samplers.listeners

    def engines(self) -> list[state.Sampler]:
        """Return the announced engines of all services."""
        configuration = self.operator.configuration
        if configuration is None:
            return []
        return [
            sampler
            for service in configuration.services.values()
            if service.is_engine
            for sampler in self.samplers.registry.of_service(service.name)
        ]
