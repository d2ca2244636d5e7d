"""Tasks that fail, and are started again."""

import asyncio

from poplarloft.daemon import tasks


async def test_failed_task_is_started_again_and_counted(monkeypatch):
    monkeypatch.setattr(tasks, "FIRST_RESTART_MS", 1)
    starts = []
    third_start = asyncio.Event()

    async def run():
        starts.append(1)
        if len(starts) < 3:
            raise ValueError("unexpected")
        third_start.set()

    task_set = tasks.TaskSet()
    task = task_set.supervise(run)
    async with asyncio.timeout(5):
        await third_start.wait()
        await task
    await asyncio.sleep(0)  # the task set's callback runs
    assert task_set.restarts == 2
    assert not task_set.tasks


async def test_supervised_task_ends_when_cancelled():
    task_set = tasks.TaskSet()
    task = task_set.supervise(lambda: asyncio.sleep(60))
    await asyncio.sleep(0)
    await task_set.cancel_all()
    assert task.cancelled()


async def test_first_task_that_ends_cancels_the_others():
    ended = []

    async def wait_for_cancellation():
        try:
            await asyncio.sleep(60)
        finally:
            ended.append("cancelled")

    async def fail():
        raise ValueError("unexpected")

    async with asyncio.timeout(5):
        await tasks.run_first(wait_for_cancellation(), fail())
    assert ended == ["cancelled"]
