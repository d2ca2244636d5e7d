"""The views of the store that a daemon with the role `bulk` follows."""

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
    def make(cls, clock: state.Clock, last_use_ms: int) -> "StoreViews":
        """Return views that are empty until they are started.

        The last upstreams of a service that leave are used for
        `last_use_ms`.
        """
        return cls(
            view.OperatorView(clock, names.OPERATOR_PREFIX),
            view.SamplerView(clock, SAMPLER_PAUSE_MS, last_use_ms),
            lots_view.LotsView(clock),
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
