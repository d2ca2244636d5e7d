"""Tells a client's session that its request has a channel upstream."""

from collections import abc
import contextvars

__all__ = ["on_channel"]


def _nobody() -> None:
    """Take the note where no client's request is served."""


# Called by whoever opens a connection, in the context of the request.
on_channel: contextvars.ContextVar[abc.Callable[[], None]] = (
    contextvars.ContextVar("on_channel", default=_nobody)
)
