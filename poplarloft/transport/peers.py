"""ZeroMQ sockets between daemons, encrypted by CURVE where keys are set.

Sending never blocks: a message that cannot be queued is dropped. Gossip
and requests with a timeout tolerate such losses.
"""

import asyncio
from collections import abc
import dataclasses
import errno

import zmq
import zmq.auth.asyncio

from poplarloft import state
from poplarloft.transport import peer_connections

__all__ = ["CurveKeys", "PeerSockets"]

SEND_QUEUE_LIMIT = 1_000  # messages per peer
# Value of TCP_MAXRT: the maximum time for which unacknowledged data is
# retransmitted.
RETRANSMIT_TIMEOUT_MS = 3_000
MAX_MESSAGES_PER_TURN = 100  # then other tasks of the event loop run
MAX_MESSAGE_BYTES = 2_000_000
# Of one connection, where the memory of the machine is known; then the
# connection's sender waits.
MAX_QUEUED_MESSAGES = 16
HANDSHAKE_TIMEOUT_MS = 2_000  # then a connection that says nothing ends
MAX_CONNECTIONS = 2_000


@dataclasses.dataclass(frozen=True)
class CurveKeys:
    """CURVE keys of this instance and the public keys that may connect.

    All keys are encoded as Z85. Each daemon has a key pair of its own.

    Parameters
    ----------
    public, secret : bytes
        Key pair of this instance.
    allowed : frozenset of bytes
        Public keys of the clients that may connect.
    server_keys : dict of str to bytes
        Public key of each daemon, under its name and, if configured, under
        its address.
    """

    public: bytes
    secret: bytes
    allowed: frozenset[bytes]
    server_keys: dict[str, bytes] = dataclasses.field(default_factory=dict)


class PeerSockets:
    """One receiving socket, and up to two sending sockets per peer address.

    Bulk messages have a connection of their own, so that others do not
    wait behind them.

    Parameters
    ----------
    on_message : callable
        Called with the bytes of each message. An error that it raises is
        passed to the event loop's exception handler.
    keys : CurveKeys or None
        Keys for CURVE; None for unencrypted sockets.
    max_connections : int
        Number of connections of peers that may be open.
    receive_bytes : int or None
        Receive buffer of each connection; None for the kernel's own choice.
    """

    def __init__(
        self,
        on_message: abc.Callable[[bytes], None],
        keys: CurveKeys | None = None,
        max_connections: int = MAX_CONNECTIONS,
        receive_bytes: int | None = None,
    ) -> None:
        self.receive_bytes = receive_bytes
        self.max_connections = max_connections
        self.connections: peer_connections.PeerConnections | None = None
        self.on_message = on_message
        self.keys = keys
        self.context = zmq.Context()
        self.receiver: zmq.Socket[bytes] | None = None
        self.senders: dict[tuple[state.Address, bool], zmq.Socket[bytes]] = {}
        self.authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None
        self.sent_bytes = 0
        self.sent_messages = 0
        self.dropped_messages = 0

    def bind(self, address: state.Address) -> state.Address:
        """Listen on `address`; return it with the port that was bound."""
        receiver: zmq.Socket[bytes] = self.context.socket(zmq.PULL)
        receiver.setsockopt(zmq.LINGER, 0)
        receiver.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        receiver.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        if self.receive_bytes is not None:
            receiver.setsockopt(zmq.RCVBUF, self.receive_bytes)
            receiver.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
        self._enable_curve(receiver)
        endpoint = f"tcp://{address.host}:{address.port or '*'}"
        receiver.bind(endpoint)
        bound = receiver.getsockopt(zmq.LAST_ENDPOINT)
        assert isinstance(bound, bytes)
        port = int(bound.decode().rstrip("\0").rpartition(":")[2])
        self.receiver = receiver
        self.connections = peer_connections.PeerConnections(
            receiver, port, self.max_connections
        )
        return state.Address(address.host, port)

    def start(self) -> None:
        """Start to receive messages on the running event loop."""
        assert self.receiver is not None
        loop = asyncio.get_running_loop()
        loop.add_reader(self.receiver.fileno(), self._on_readable)
        loop.call_soon(self._on_readable)
        if self.connections is not None:
            self.connections.start()

    def _on_readable(self) -> None:
        """Receive the messages that have arrived, a bounded number a turn.

        The descriptor of a ZeroMQ socket is edge-triggered, so that a
        message left in the queue would not be reported again.
        """
        for _ in range(MAX_MESSAGES_PER_TURN):
            if self.receiver is None:
                return
            try:
                data = self.receiver.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._deliver(data)
        asyncio.get_running_loop().call_soon(self._on_readable)

    def _deliver(self, data: bytes) -> None:
        try:
            self.on_message(data)
        except Exception as error:
            asyncio.get_running_loop().call_exception_handler(
                {
                    "message": "a message of a peer was not handled",
                    "exception": error,
                }
            )

    def send(
        self,
        address: state.Address,
        data: bytes,
        server_key: bytes | None = None,
        is_bulk: bool = False,
    ) -> bool:
        """Queue a message for `address`; drop it if that is not possible.

        Returns whether it was queued.
        """
        if self.context.closed:
            return False
        sender = self._sender(address, server_key, is_bulk)
        if sender is None:
            self.dropped_messages += 1
            return False
        try:
            sender.send(data, zmq.NOBLOCK)
            self.sent_messages += 1
            self.sent_bytes += len(data)
        except zmq.Again:
            self.dropped_messages += 1
            return False
        return True

    def _sender(
        self,
        address: state.Address,
        server_key: bytes | None,
        is_bulk: bool,
    ) -> "zmq.Socket[bytes] | None":
        """Return the socket for an address, None if no descriptor is free."""
        sender = self.senders.get((address, is_bulk))
        if sender is None:
            try:
                sender = self._connect(address, server_key)
            except zmq.ZMQError as error:
                if error.errno != errno.EMFILE:
                    raise
                return None
            self.senders[address, is_bulk] = sender
        return sender

    def disconnect(self, address: state.Address) -> None:
        """Close the sockets that send to a peer."""
        for is_bulk in (False, True):
            sender = self.senders.pop((address, is_bulk), None)
            if sender is not None:
                sender.close(linger=0)

    def close(self) -> None:
        """Close all sockets and stop the authentication of clients."""
        for address, _ in list(self.senders):
            self.disconnect(address)
        followed, self.connections = self.connections, None
        if followed is not None:
            followed.close()
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            asyncio.get_running_loop().remove_reader(receiver.fileno())
            receiver.close(linger=0)
        if self.authenticator is not None:
            self.authenticator.stop()
        self.context.term()

    def _connect(
        self, address: state.Address, server_key: bytes | None
    ) -> "zmq.Socket[bytes]":
        sender: zmq.Socket[bytes] = self.context.socket(zmq.PUSH)
        sender.setsockopt(zmq.LINGER, 0)
        sender.setsockopt(zmq.SNDHWM, SEND_QUEUE_LIMIT)
        # Queue messages only for peers whose connection is established.
        sender.setsockopt(zmq.IMMEDIATE, 1)
        sender.setsockopt(zmq.TCP_MAXRT, RETRANSMIT_TIMEOUT_MS)
        if self.keys is not None and server_key is not None:
            sender.setsockopt(zmq.CURVE_PUBLICKEY, self.keys.public)
            sender.setsockopt(zmq.CURVE_SECRETKEY, self.keys.secret)
            sender.setsockopt(zmq.CURVE_SERVERKEY, server_key)
        sender.connect(f"tcp://{address.host}:{address.port}")
        return sender

    def _enable_curve(self, receiver: "zmq.Socket[bytes]") -> None:
        if self.keys is None:
            return
        self.authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            self.context
        )
        self.authenticator.start()
        self.authenticator.configure_curve_callback(
            credentials_provider=_AllowList(self.keys.allowed)
        )
        receiver.setsockopt(zmq.CURVE_PUBLICKEY, self.keys.public)
        receiver.setsockopt(zmq.CURVE_SECRETKEY, self.keys.secret)
        receiver.setsockopt(zmq.CURVE_SERVER, True)


class _AllowList:
    """Credentials provider that accepts a fixed set of public keys."""

    def __init__(self, allowed: frozenset[bytes]) -> None:
        self.allowed = allowed

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client with the public `key` may connect."""
        return key in self.allowed
