"""What the client of requests and a client's session tell each other."""

import contextvars
import typing

from poplarloft import state

__all__ = ["ChannelHolder", "holder"]


class ChannelHolder(typing.Protocol):
    """The session whose request is being served."""

    @property
    def is_ordinary(self) -> bool:
        """Whether its client has sent nothing beyond this request."""

    @property
    def has_sent_ahead(self) -> bool:
        """Whether its client has sent more after this request."""

    def on_channel(self, upstream: state.Address) -> None:
        """Note that the request has a channel to an upstream."""


# Set while a request is served, in the context of its task.
holder: contextvars.ContextVar[ChannelHolder | None] = contextvars.ContextVar(
    "holder", default=None
)
