"""Which items go first while not all can run.

Items with the least slack go first: those whose predicted end is furthest
past the time at which their step should end. A step that was asked for late
should end as if it had been in time. Items of groups beyond those that a
trainer waits for go later.
"""

from collections import abc

from poplarloft.coordination.serving.rollouts import engine_view
from poplarloft.coordination.serving.rollouts import lot_plan
from poplarloft.coordination.serving.rollouts import outputs

__all__ = ["waiting_outputs"]

STEP_TARGET_MS = 4_000
SURPLUS_DELAY_MS = 4_000


def waiting_outputs(
    lots: abc.Iterable[lot_plan.LotPlan], now_ms: int, is_any_free: bool
) -> list[tuple[lot_plan.LotPlan, outputs.ItemOutput]]:
    """Return the outputs that could start, most urgent first.

    Parameters
    ----------
    lots : iterable of lot_plan.LotPlan
        The open lots.
    now_ms : int
        The time; outputs that start only later are left out.
    is_any_free : bool
        Whether any engine is free. If none is, only the outputs that have
        begun are of interest: they may start to wait for their version.
    """
    waiting = [
        (_slack_ms(plan, output) + delay_ms, plan, output)
        for plan in lots
        for delay_ms, group in _ranked_groups(plan)
        for output in group
        if output.stage is outputs.Stage.WAITING
        and output.not_before_ms <= now_ms
        and (is_any_free or output.events)
    ]
    waiting.sort(key=lambda row: row[0])
    return [(plan, output) for _, plan, output in waiting]


def _ranked_groups(
    plan: lot_plan.LotPlan,
) -> abc.Iterator[tuple[int, list[outputs.ItemOutput]]]:
    """Return the groups of a lot, each with the delay of its items."""
    needed = plan.lot.groups_wanted
    groups = list(plan.groups.values())
    if needed < len(groups):
        groups = plan.groups_by_remaining()
    for position, group in enumerate(groups):
        yield (0 if position < needed else SURPLUS_DELAY_MS), group


def _slack_ms(plan: lot_plan.LotPlan, output: outputs.ItemOutput) -> float:
    """Return the time to spare until an output should be started."""
    work_ms = output.remaining_events() * engine_view.INITIAL_EVENT_INTERVAL_MS
    return plan.scheduled_at_ms + STEP_TARGET_MS - work_ms
