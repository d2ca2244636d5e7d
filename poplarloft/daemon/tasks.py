"""Concurrent tasks and timers on the event loop."""

import asyncio
from collections import abc
import typing

import eliot

__all__ = ["TaskSet", "WakeTimer", "log_unhandled_errors"]

MS_PER_S = 1_000


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


class TaskSet:
    """Holds references to running tasks and logs those that fail."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    def spawn(
        self, coroutine: abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> asyncio.Task[typing.Any]:
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
