"""Sockets between daemons, on ZeroMQ, with CURVE where keys are set.

Sending never waits: what can't be queued is dropped, as gossip and
requests with timeouts allow.
"""

import asyncio
from collections import abc
import dataclasses

import zmq
import zmq.auth.asyncio

from poplarloft import state

__all__ = ["CurveKeys", "PeerSockets"]

QUEUE_LIMIT = 1_000
DEAD_LINK_MS = 3_000
MAX_MESSAGE_BYTES = 2_000_000


@dataclasses.dataclass(frozen=True)
class CurveKeys:
    """This instance's keys and the public keys that may connect.

    Keys are Z85 text. All daemons of `allowed` use keys of their own;
    a client is let in if its public key is listed.
    """

    public: bytes
    secret: bytes
    allowed: frozenset[bytes]
    server_keys: dict[str, bytes] = dataclasses.field(default_factory=dict)


class PeerSockets:
    """One socket to receive, and one to send for each peer address.

    Parameters
    ----------
    on_message : callable
        Called with the bytes of each message.
    keys : CurveKeys or None
        Set for CURVE.
    """

    def __init__(
        self,
        on_message: abc.Callable[[bytes], None],
        keys: CurveKeys | None = None,
    ) -> None:
        self.on_message = on_message
        self.keys = keys
        self.context = zmq.Context()
        self.receiver: zmq.Socket[bytes] | None = None
        self.senders: dict[state.Address, zmq.Socket[bytes]] = {}
        self.authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None
        self.sent_bytes = 0
        self.sent_messages = 0
        self.dropped_messages = 0

    def bind(self, address: state.Address) -> state.Address:
        """Listen on `address`; return it with the port that was bound."""
        receiver: zmq.Socket[bytes] = self.context.socket(zmq.PULL)
        receiver.setsockopt(zmq.LINGER, 0)
        receiver.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._secure_receiver(receiver)
        endpoint = f"tcp://{address.host}:{address.port or '*'}"
        receiver.bind(endpoint)
        bound = receiver.getsockopt(zmq.LAST_ENDPOINT)
        assert isinstance(bound, bytes)
        port = int(bound.decode().rstrip("\0").rpartition(":")[2])
        self.receiver = receiver
        return state.Address(address.host, port)

    def start(self) -> None:
        """Begin to receive on the running loop."""
        assert self.receiver is not None
        loop = asyncio.get_running_loop()
        loop.add_reader(self.receiver.fileno(), self._on_readable)
        loop.call_soon(self._on_readable)

    def _on_readable(self) -> None:
        """Take all that has arrived.

        The descriptor tells of changes only, so nothing may be left.
        """
        if self.receiver is None:
            return
        while True:
            try:
                data = self.receiver.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.on_message(data)

    def send(
        self,
        address: state.Address,
        data: bytes,
        server_key: bytes | None = None,
    ) -> None:
        """Queue a message for `address`, or drop it."""
        sender = self.senders.get(address)
        if sender is None:
            sender = self._connect(address, server_key)
            self.senders[address] = sender
        try:
            sender.send(data, zmq.NOBLOCK)
            self.sent_messages += 1
            self.sent_bytes += len(data)
        except zmq.Again:
            self.dropped_messages += 1

    def disconnect(self, address: state.Address) -> None:
        """Close the connection to a peer that is gone."""
        sender = self.senders.pop(address, None)
        if sender is not None:
            sender.close(linger=0)

    def close(self) -> None:
        """Close all sockets."""
        for address in list(self.senders):
            self.disconnect(address)
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
        sender.setsockopt(zmq.SNDHWM, QUEUE_LIMIT)
        # Nothing is queued for a peer that can't be reached.
        sender.setsockopt(zmq.IMMEDIATE, 1)
        sender.setsockopt(zmq.TCP_MAXRT, DEAD_LINK_MS)
        if self.keys is not None and server_key is not None:
            sender.setsockopt(zmq.CURVE_PUBLICKEY, self.keys.public)
            sender.setsockopt(zmq.CURVE_SECRETKEY, self.keys.secret)
            sender.setsockopt(zmq.CURVE_SERVERKEY, server_key)
        sender.connect(f"tcp://{address.host}:{address.port}")
        return sender

    def _secure_receiver(self, receiver: "zmq.Socket[bytes]") -> None:
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
    """Lets in the clients whose public keys are listed."""

    def __init__(self, allowed: frozenset[bytes]) -> None:
        self.allowed = allowed

    def callback(self, domain: str, key: bytes) -> bool:
        """Tell whether a client with the public `key` may connect."""
        return key in self.allowed
