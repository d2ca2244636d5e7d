"""Notices that clients have left from whom nothing is read."""

import asyncio
from collections import abc
import select

__all__ = ["DepartureWatch"]


class DepartureWatch:
    """Watches sockets for the other side's end, not for data.

    The event loop reports the end of a connection only to who reads from
    it. Here, a client that has sent much ahead and then leaves is noticed
    although what it has sent stays unread.
    """

    def __init__(self) -> None:
        self.poller: select.epoll | None = None
        self.listeners: dict[int, abc.Callable[[], None]] = {}

    def watch(self, descriptor: int, on_left: abc.Callable[[], None]) -> None:
        """Call `on_left` once the other side of a socket has ended."""
        if self.poller is None:
            try:
                self.poller = select.epoll()
            except OSError:
                return  # no descriptor is free
            loop = asyncio.get_running_loop()
            loop.add_reader(self.poller.fileno(), self._on_events)
        self.listeners[descriptor] = on_left
        self.poller.register(descriptor, select.EPOLLRDHUP)

    def forget(self, descriptor: int) -> None:
        """Stop watching a socket, before it is closed."""
        if self.listeners.pop(descriptor, None) is None:
            return
        assert self.poller is not None
        self.poller.unregister(descriptor)

    def close(self) -> None:
        """Stop watching all sockets."""
        poller, self.poller = self.poller, None
        self.listeners.clear()
        if poller is not None:
            asyncio.get_running_loop().remove_reader(poller.fileno())
            poller.close()

    def _on_events(self) -> None:
        assert self.poller is not None
        for descriptor, _ in self.poller.poll(0):
            on_left = self.listeners.get(descriptor)
            self.forget(descriptor)
            if on_left is not None:
                on_left()
