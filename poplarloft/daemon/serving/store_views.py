"""The views of the store that a daemon with the role `bulk` follows."""

import dataclasses

from poplarloft.daemon.serving import feed_link
from poplarloft.daemon.serving import lots_view
from poplarloft.daemon.serving import view
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
    def make(cls, clock: state.Clock) -> "StoreViews":
        """Return views that are empty until they are started."""
        return cls(
            view.OperatorView(clock, names.OPERATOR_PREFIX),
            view.SamplerView(clock, SAMPLER_PAUSE_MS),
            lots_view.LotsView(clock),
        )

    def start(
        self,
        store: state.RevisionStore,
        to: tasks.TaskSet,
        link: feed_link.FeedLink,
    ) -> None:
        """Start to follow the store."""
        self.operator.start(store, to, link)
        self.samplers.start(store, to, link)
        self.lots.start(store, to, link)
