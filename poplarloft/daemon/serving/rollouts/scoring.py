"""The tasks that score complete outputs, at most one per item."""

import asyncio
from collections import abc

from poplarloft.coordination import serving
from poplarloft.daemon.serving.rollouts import rewards
from poplarloft.daemon import tasks

__all__ = ["ScoringTasks"]


class ScoringTasks:
    """Scores outputs, each in a task of its own.

    Parameters
    ----------
    rewards : rewards.RewardCaller
        Calls the reward services.
    task_set : tasks.TaskSet
        Runs the tasks.
    on_result : callable
        Called with an output that has been scored or has failed.
    """

    def __init__(
        self,
        rewards: rewards.RewardCaller,
        task_set: tasks.TaskSet,
        on_result: abc.Callable[[serving.ItemOutput], None],
    ) -> None:
        self.rewards = rewards
        self.task_set = task_set
        self.on_result = on_result
        self.running: dict[str, asyncio.Task[None]] = {}

    def start(self, output: serving.ItemOutput) -> None:
        """Score an output, unless one of its item is being scored."""
        item_id = output.item.id
        if item_id in self.running:
            return
        task = self.task_set.spawn(self._score(output))
        self.running[item_id] = task
        task.add_done_callback(lambda _: self._on_ended(item_id, task))

    def cancel(self, item_id: str) -> None:
        """Cancel the task of an item, if there is one."""
        task = self.running.pop(item_id, None)
        if task is not None:
            task.cancel()

    async def _score(self, output: serving.ItemOutput) -> None:
        await self.rewards.score(output)
        self.on_result(output)

    def _on_ended(self, item_id: str, task: asyncio.Task[None]) -> None:
        if self.running.get(item_id) is task:
            del self.running[item_id]
