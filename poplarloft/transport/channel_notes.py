"""What the client of requests and a client's session tell each other."""

import contextvars
import typing

__all__ = ["ChannelHolder", "holder"]


class ChannelHolder(typing.Protocol):
    """The session whose request is being served."""

    @property
    def is_ordinary(self) -> bool:
        """Whether its client has sent nothing beyond this request."""

    def on_channel(self) -> None:
        """Note that the request has a channel to an upstream."""


# Set while a request is served, in the context of its task.
holder: contextvars.ContextVar[ChannelHolder | None] = contextvars.ContextVar(
    "holder", default=None
)
