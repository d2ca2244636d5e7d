"""Concurrent tasks and timers on the event loop."""

import asyncio
from collections import abc
import typing

import eliot

__all__ = ["TaskSet", "WakeTimer", "log_unhandled_errors", "run_first"]

MS_PER_S = 1_000
FIRST_RESTART_MS = 250
MAX_RESTART_MS = 16_000
STABLE_MS = 60_000  # after that long, a failure counts as the first one
Coroutine = abc.Coroutine[typing.Any, typing.Any, typing.Any]


def log_unhandled_errors() -> None:
    """Log errors that no task handles, instead of printing them."""
    asyncio.get_running_loop().set_exception_handler(_log_unhandled)


def _log_unhandled(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    eliot.log_message(
        "unhandled-error",
        detail=context["message"],
        error=repr(context.get("exception")),
    )


async def run_first(*coroutines: Coroutine) -> None:
    """Run coroutines until the first one ends, then cancel the others.

    An error of any of them is logged.
    """
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                eliot.log_message("task-failed", error=repr(outcome))


class TaskSet:
    """Holds references to running tasks and logs those that fail.

    Attributes
    ----------
    restarts : int
        Number of times that supervised tasks were started again.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        self.restarts = 0

    def supervise(
        self, run: abc.Callable[[], Coroutine]
    ) -> asyncio.Task[typing.Any]:
        """Start a task that is started again whenever it fails.

        The pause before a restart doubles from `FIRST_RESTART_MS` up to
        `MAX_RESTART_MS`.

        Parameters
        ----------
        run : callable
            Returns the coroutine to run.
        """
        return self.spawn(self._supervise(run))

    async def _supervise(self, run: abc.Callable[[], Coroutine]) -> None:
        loop = asyncio.get_running_loop()
        pause_ms = FIRST_RESTART_MS
        while True:
            started_s = loop.time()
            try:
                await run()
                return
            except Exception as error:
                if loop.time() - started_s > STABLE_MS / MS_PER_S:
                    pause_ms = FIRST_RESTART_MS
                self.restarts += 1
                eliot.log_message(
                    "task-restarted",
                    task=getattr(run, "__qualname__", repr(run)),
                    error=repr(error),
                    pause_ms=pause_ms,
                )
            await asyncio.sleep(pause_ms / MS_PER_S)
            pause_ms = min(MAX_RESTART_MS, 2 * pause_ms)

    def spawn(self, coroutine: Coroutine) -> asyncio.Task[typing.Any]:
        """Start a task and hold a reference to it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def cancel_all(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[typing.Any]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            eliot.log_message(
                "task-failed", task=task.get_name(), error=repr(error)
            )


class WakeTimer:
    """One-shot timer that can be rescheduled.

    Parameters
    ----------
    callback : callable
        Called without arguments on the event loop.
    """

    def __init__(self, callback: abc.Callable[[], None]) -> None:
        self.callback = callback
        self.handle: asyncio.TimerHandle | None = None

    def set(self, delay_ms: int | None) -> None:
        """Replace the scheduled call; None cancels it without a new one."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        if delay_ms is None:
            return
        loop = asyncio.get_running_loop()
        delay_s = max(0, delay_ms) / MS_PER_S
        self.handle = loop.call_later(delay_s, self.callback)
