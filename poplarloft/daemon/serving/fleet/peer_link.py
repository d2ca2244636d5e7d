"""Messages between serving daemons, dispatched by type to handlers."""

import asyncio
from collections import abc
import typing

import eliot

from poplarloft.protocol import errors
from poplarloft.protocol import serving_messages
from poplarloft import state
from poplarloft.transport import peers

__all__ = ["PeerLink"]

CONNECT_RETRY_MS = 20
CONNECT_RETRIES = 20
MS_PER_S = 1_000
M = typing.TypeVar("M", bound=state.ServingMessage)


class PeerLink:
    """One daemon's sockets for messages from and to its peers.

    Parameters
    ----------
    max_connections : int
        Number of connections of peers that may be open.
    receive_bytes : int or None
        Receive buffer of each connection; None for the kernel's own choice.
    """

    def __init__(
        self,
        max_connections: int = peers.MAX_CONNECTIONS,
        receive_bytes: int | None = None,
    ) -> None:
        self.sockets = peers.PeerSockets(
            self._on_message,
            max_connections=max_connections,
            receive_bytes=receive_bytes,
        )
        self.handlers: dict[
            type[object], abc.Callable[[typing.Any], None]
        ] = {}
        self.address = state.Address("", 0)

    def start(self, listen: state.Address) -> None:
        """Start listening for peers."""
        self.address = self.sockets.bind(listen)
        self.sockets.start()

    def close(self) -> None:
        """Close all sockets."""
        self.sockets.close()

    def on(self, kind: type[M], handler: abc.Callable[[M], None]) -> None:
        """Register the handler for messages of a type."""
        self.handlers[kind] = handler

    def send(
        self,
        address: state.Address,
        message: state.ServingMessage,
        is_bulk: bool = False,
    ) -> bool:
        """Queue a message; it is dropped if the peer can't be reached.

        A bulk message does not hold up others to the same peer. Returns
        whether the message was queued.
        """
        data = serving_messages.encode_message(message)
        return self.sockets.send(address, data, is_bulk=is_bulk)

    def send_reliably(
        self,
        address: state.Address,
        message: state.ServingMessage,
        retries: int = CONNECT_RETRIES,
    ) -> None:
        """Send a message, which may have to wait for a connection.

        A message is not queued before the connection to its receiver exists.
        """
        if self.send(address, message) or not retries:
            return
        asyncio.get_running_loop().call_later(
            CONNECT_RETRY_MS / MS_PER_S,
            self.send_reliably,
            address,
            message,
            retries - 1,
        )

    def disconnect(self, address: state.Address) -> None:
        """Close the connection to a peer."""
        self.sockets.disconnect(address)

    def _on_message(self, data: bytes) -> None:
        try:
            message = serving_messages.decode_message(data)
        except errors.FieldError as error:
            eliot.log_message("peer-message-unreadable", error=str(error))
            return
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(message)
