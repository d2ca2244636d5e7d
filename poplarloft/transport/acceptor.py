"""Accepts connections, as many in a turn as there are places for."""

import asyncio
from collections import abc
import contextlib
import socket

import eliot

from poplarloft import state
from poplarloft.transport import client_buffers

__all__ = ["ACCEPTS_PER_TURN", "Acceptor"]

# Also the number of connections that may be open above the bound, for a
# moment: those that make room are closed in the next turn.
ACCEPTS_PER_TURN = 64
CLOSING_S = 0.005  # until those that make room are closed
RETRY_S = 0.1  # after the process could not open another descriptor
KERNEL_FACTOR = 2  # by which the kernel makes a buffer larger than asked
# What is queued in the kernel for a client that does not read.
UNSENT_BYTES = 16_384


class Acceptor:
    """Listens at an address.

    Parameters
    ----------
    address : state.Address
        Address to listen on.
    backlog : int
        Number of connections that may wait to be accepted.
    receive_buffer_bytes : int
        What the kernel holds at most of what a client has sent.
    buffers : client_buffers.ClientBuffers
        The connections that are open, which may have to make room.
    on_accepted : callable
        Called with the socket of a connection that has a place.
    """

    def __init__(
        self,
        address: state.Address,
        backlog: int,
        receive_buffer_bytes: int,
        buffers: client_buffers.ClientBuffers,
        on_accepted: abc.Callable[[socket.socket], None],
    ) -> None:
        self.buffers = buffers
        self.on_accepted = on_accepted
        self.listener = _listening_socket(
            address, backlog, receive_buffer_bytes
        )
        host, port = self.listener.getsockname()[:2]
        self.address = state.Address(host, port)
        self._resume()

    def stop(self) -> None:
        """Accept all connections that wait, and close the listener."""
        self._pause()
        while self._accept_one():
            pass
        self.listener.close()

    def _resume(self) -> None:
        if self.listener.fileno() >= 0:
            asyncio.get_running_loop().add_reader(
                self.listener.fileno(), self._on_readable
            )

    def _pause(self) -> None:
        asyncio.get_running_loop().remove_reader(self.listener.fileno())

    def _pause_for(self, pause_s: float) -> None:
        self._pause()
        asyncio.get_running_loop().call_later(pause_s, self._resume)

    def _on_readable(self) -> None:
        """Accept what one turn of the event loop may take."""
        places = self.buffers.table.max_connections
        at_once = max(1, min(ACCEPTS_PER_TURN, places // 2))
        for _ in range(at_once):
            if self.buffers.open_count >= places + at_once:
                self._pause_for(CLOSING_S)
                return
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept a connection; return whether another may be waiting."""
        try:
            accepted, _ = self.listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            eliot.log_message("accept-failed", error=str(error))
            self._pause_for(RETRY_S)
            return False
        accepted.setblocking(False)
        if self.buffers.make_room():
            self.on_accepted(accepted)
        else:
            accepted.close()
        return True


def _listening_socket(
    address: state.Address, backlog: int, receive_buffer_bytes: int
) -> socket.socket:
    is_ipv6 = ":" in address.host
    listener = socket.create_server(
        (address.host, address.port),
        family=socket.AF_INET6 if is_ipv6 else socket.AF_INET,
        backlog=backlog,
    )
    listener.setblocking(False)
    # Accepted connections have the options of the listener.
    with contextlib.suppress(OSError):
        listener.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            receive_buffer_bytes // KERNEL_FACTOR,
        )
        listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES
        )
    return listener
