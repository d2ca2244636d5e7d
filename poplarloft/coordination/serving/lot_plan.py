"""The outputs of an open lot."""

import dataclasses

from poplarloft.coordination.serving import outputs
from poplarloft import state

__all__ = ["LotPlan"]

DUE_MARGIN_MS = 1_500


@dataclasses.dataclass(slots=True)
class LotPlan:
    """An open lot and the outputs of its items."""

    lot: state.Lot
    route: state.PathRoute
    accepted_at_ms: int
    groups: dict[str, list[outputs.ItemOutput]]
    is_ended: bool = False

    def unfinished_groups(self) -> list[list[outputs.ItemOutput]]:
        """Return the groups with items that have no result yet."""
        finished = (outputs.Stage.SCORED, outputs.Stage.FAILED)
        return [
            group
            for group in self.groups.values()
            if any(output.stage not in finished for output in group)
        ]

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
        """Return the outputs not generated within their time to live."""
        if now_ms - self.accepted_at_ms < self.route.item_ttl_ms:
            return []
        unfinished = (outputs.Stage.WAITING, outputs.Stage.RUNNING)
        return [
            output
            for group in self.groups.values()
            for output in group
            if output.stage in unfinished
        ]
