"""All that the leader of a cell does while it leads."""

from collections import abc
import typing

from poplarloft.coordination import serving
from poplarloft.daemon import tasks

__all__ = ["CellLeader", "LeaderTask", "LotRunner"]


class LotRunner(typing.Protocol):
    """The scheduler of lots, which has the right to send orders."""

    fence: int
    may_send_orders: bool

    async def start(self) -> None:
        """Start to run the open lots."""

    async def stop(self) -> None:
        """Stop all tasks and wait for their end."""

    def order_time_ms(self) -> int:
        """Return for how long orders may still arrive, 0 if not."""

    def outputs_for_standbys(self) -> abc.Iterable[serving.ItemOutput]:
        """Return the outputs of which standbys need checkpoints."""


class LeaderTask(typing.Protocol):
    """Something else that only the leader does."""

    async def run(self) -> None:
        """Work until cancelled."""


class CellLeader:
    """The scheduler of lots and the other tasks of a leader.

    Parameters
    ----------
    lots : LotRunner
        Runs the lots. Its right to send orders holds for all tasks.
    leader_tasks : sequence of LeaderTask
        The other tasks.
    """

    def __init__(
        self, lots: LotRunner, leader_tasks: abc.Sequence[LeaderTask]
    ) -> None:
        self.lots = lots
        self.leader_tasks = leader_tasks
        self.task_set = tasks.TaskSet()
        self.is_stopped = False

    @property
    def fence(self) -> int:
        """Fencing token, 0 while this daemon leads provisionally."""
        return self.lots.fence

    @fence.setter
    def fence(self, fence: int) -> None:
        self.lots.fence = fence

    @property
    def may_send_orders(self) -> bool:
        """Whether orders may be sent."""
        return self.lots.may_send_orders

    @may_send_orders.setter
    def may_send_orders(self, may_send: bool) -> None:
        self.lots.may_send_orders = may_send

    async def start(self) -> None:
        """Start all tasks."""
        if self.is_stopped:
            return
        for task in self.leader_tasks:
            self.task_set.supervise(task.run)
        await self.lots.start()

    async def stop(self) -> None:
        """Stop all tasks and wait for their end."""
        self.is_stopped = True
        await self.task_set.cancel_all()
        await self.lots.stop()

    def outputs_for_standbys(self) -> abc.Iterable[serving.ItemOutput]:
        """Return the outputs of which standbys need checkpoints."""
        return self.lots.outputs_for_standbys()
