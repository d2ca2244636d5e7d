"""Bounds the connections that a ZeroMQ socket accepts."""

import asyncio
import contextlib
import socket

import eliot
import zmq
import zmq.utils.monitor

__all__ = ["PeerConnections"]

EVENTS = zmq.EVENT_ACCEPTED | zmq.EVENT_DISCONNECTED


class PeerConnections:
    """Ends connections beyond a bound as soon as they are accepted.

    ZeroMQ accepts whatever connects. It reports the descriptor of each
    connection, and notices itself that a connection has been shut down.

    Parameters
    ----------
    receiver : zmq.Socket
        The listening socket.
    port : int
        Port that it listens on.
    max_connections : int
        Number of connections that may be open.
    """

    def __init__(
        self,
        receiver: "zmq.Socket[bytes]",
        port: int,
        max_connections: int,
    ) -> None:
        self.port = port
        self.max_connections = max_connections
        self.open: set[int] = set()
        self.receiver = receiver
        self.is_followed = False
        self.monitor = receiver.get_monitor_socket(EVENTS)

    def start(self) -> None:
        """Follow the connections on the running event loop."""
        self.is_followed = True
        loop = asyncio.get_running_loop()
        loop.add_reader(self.monitor.fileno(), self._on_readable)
        loop.call_soon(self._on_readable)

    def close(self) -> None:
        """Stop following the connections."""
        if self.is_followed:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.monitor.fileno())
        self.receiver.disable_monitor()
        self.monitor.close(linger=0)

    def _on_readable(self) -> None:
        """Take all events, as only the first is reported to the loop."""
        while not self.monitor.closed and self.monitor.poll(0):
            event = zmq.utils.monitor.recv_monitor_message(self.monitor)
            descriptor = event["value"]
            if event["event"] != zmq.EVENT_ACCEPTED:
                self.open.discard(descriptor)
            elif len(self.open) < self.max_connections:
                self.open.add(descriptor)
            else:
                self._end(descriptor)

    def _end(self, descriptor: int) -> None:
        eliot.log_message("peer-refused", open=len(self.open))
        # It may be closed already, and its number in use elsewhere.
        with contextlib.suppress(OSError):
            accepted = socket.socket(fileno=descriptor)
            try:
                if accepted.getsockname()[1] == self.port:
                    accepted.shutdown(socket.SHUT_RDWR)
            finally:
                accepted.detach()
