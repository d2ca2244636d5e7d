"""The outputs of an open lot."""

import dataclasses
import math

from poplarloft.coordination.serving.requests import service_shares
from poplarloft.coordination.serving.rollouts import outputs
from poplarloft import state

__all__ = ["LotPlan"]

DUE_MARGIN_MS = 1_500
UNROUTED_GRACE_MS = 3_000  # the route may be back in the next configuration


@dataclasses.dataclass(slots=True)
class LotPlan:
    """An open lot and the outputs of its items.

    Parameters
    ----------
    route : state.PathRoute
        The route of the lot, as last configured.
    unrouted_since_ms : int or None
        Since when the configuration has had no route for the lot.
    scheduled_at_ms : int
        Time at which the lot should have been submitted by the cadence of
        its trainer.
    """

    lot: state.Lot
    route: state.PathRoute
    accepted_at_ms: int
    groups: dict[str, list[outputs.ItemOutput]]
    is_ended: bool = False
    unrouted_since_ms: int | None = None
    scheduled_at_ms: int = dataclasses.field(init=False)
    ranked: dict[str, tuple[str, ...]] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.scheduled_at_ms = self.accepted_at_ms
        self._rank_services()

    @property
    def lag_ms(self) -> int:
        """How far the lot was behind the cadence of its trainer."""
        return self.accepted_at_ms - self.scheduled_at_ms

    @property
    def trainer(self) -> str:
        """Identifies the trainer, the same for all its lots."""
        return f"{self.lot.account}/{self.route.name}/{self.lot.model}"

    def update_route(
        self, configuration: state.ServingConfiguration, now_ms: int
    ) -> None:
        """Apply the newest configuration to what is started from now on."""
        route = configuration.find_lot_route(self.lot)
        if route is not None:
            self.route = route
            self.unrouted_since_ms = None
            self._rank_services()
        elif self.unrouted_since_ms is None:
            self.unrouted_since_ms = now_ms

    def services(self, output: outputs.ItemOutput) -> tuple[str, ...]:
        """Return the services that may generate an output, the best first.

        An output that has begun stays at its service. The others are
        shared by the weights of the route.
        """
        if self.unrouted_since_ms is not None:
            return ()
        ranked = self.ranked[output.item.id]
        if len(ranked) == 1 or not output.events:
            return ranked
        if output.service not in ranked:
            return ranked
        others = tuple(s for s in ranked if s != output.service)
        return (output.service, *others)

    def _rank_services(self) -> None:
        """Rank the services of the route for each item."""
        self.ranked = {
            item.id: service_shares.rank_services(
                self.route.targets,
                service_shares.spread_point(self.lot.id, position),
            )
            for position, item in enumerate(self.lot.items)
        }

    def unfinished_groups(self) -> list[list[outputs.ItemOutput]]:
        """Return the groups with items that have no result yet."""
        finished = (outputs.Stage.SCORED, outputs.Stage.FAILED)
        return [
            group
            for group in self.groups.values()
            if any(output.stage not in finished for output in group)
        ]

    def groups_by_remaining(self) -> list[list[outputs.ItemOutput]]:
        """Return the groups, those that can be complete soonest first."""
        return sorted(self.groups.values(), key=_remaining_events)

    def should_write_now(self, now_ms: int) -> bool:
        """Return whether finished results should be written at once.

        The trainer continues once the log has the results of enough groups.
        Until then, results are written in larger batches, unless the lot is
        due soon.
        """
        all_groups = {item.group for item in self.lot.items}
        complete = len(all_groups) - len(self.unfinished_groups())
        due_at_ms = self.accepted_at_ms + self.route.due_ms
        return (
            complete >= self.lot.groups_wanted
            or now_ms > due_at_ms - DUE_MARGIN_MS
        )

    def expired_outputs(self, now_ms: int) -> list[outputs.ItemOutput]:
        """Return the outputs that are given up.

        These are the ones without a result within their time to live, and
        the ones that can't be started as their route has been removed.
        """
        expired: tuple[outputs.Stage, ...] = ()
        if now_ms - self.accepted_at_ms >= self.route.item_ttl_ms:
            expired = (
                outputs.Stage.WAITING,
                outputs.Stage.RUNNING,
                outputs.Stage.COMPLETE,
            )
        elif self._is_unrouted(now_ms):
            expired = (outputs.Stage.WAITING,)
        return [
            output
            for group in self.groups.values()
            for output in group
            if output.stage in expired
        ]

    def _is_unrouted(self, now_ms: int) -> bool:
        since_ms = self.unrouted_since_ms
        return since_ms is not None and now_ms - since_ms >= UNROUTED_GRACE_MS


def _remaining_events(group: list[outputs.ItemOutput]) -> float:
    """Return the longest remaining output; a failed one is never complete."""
    if any(output.stage is outputs.Stage.FAILED for output in group):
        return math.inf
    return max(
        (
            output.remaining_events()
            for output in group
            if output.stage in (outputs.Stage.WAITING, outputs.Stage.RUNNING)
        ),
        default=0.0,
    )
