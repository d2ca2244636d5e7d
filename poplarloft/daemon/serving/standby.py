"""Beats between a runner of lots and its standbys."""

import asyncio
from collections import abc

import eliot

from poplarloft.coordination import serving
from poplarloft.protocol import errors
from poplarloft.protocol import standby as messages
from poplarloft import state
from poplarloft.transport import peers

__all__ = ["StandbyLink"]

BEAT_MS = 200
SUBSCRIBE_MS = 500
SUBSCRIPTION_MS = 2_000
MS_PER_S = 1_000


class StandbyLink:
    """Messages of one daemon with the others of its cell.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    name : str
        This daemon.
    succession : serving.Succession
        Told of beats.
    """

    def __init__(
        self,
        clock: state.Clock,
        name: str,
        succession: serving.Succession,
    ) -> None:
        self.clock = clock
        self.name = name
        self.succession = succession
        self.sockets = peers.PeerSockets(self._on_message)
        self.address = state.Address("", 0)
        self.subscribers: dict[str, tuple[state.Address, int]] = {}

    def start(self, address: state.Address) -> None:
        """Listen for the other daemons."""
        self.address = self.sockets.bind(address)
        self.sockets.start()

    def close(self) -> None:
        """Close all sockets."""
        self.sockets.close()

    async def subscribe(self, runner: state.RunnerRecord) -> None:
        """Ask a runner for beats until cancelled."""
        message = state.Subscribe(self.name, self.address)
        try:
            while True:
                self._send(runner.address, message)
                await asyncio.sleep(SUBSCRIBE_MS / MS_PER_S)
        finally:
            self.sockets.forget(runner.address)

    async def beat(self, fence: abc.Callable[[], int]) -> None:
        """Send beats to all standbys until cancelled."""
        self.subscribers.clear()
        while True:
            self._forget_subscribers()
            message = state.Beat(fence(), min(self.subscribers, default=""))
            for address, _ in self.subscribers.values():
                self._send(address, message)
            await asyncio.sleep(BEAT_MS / MS_PER_S)

    def _forget_subscribers(self) -> None:
        oldest_ms = self.clock.now_ms() - SUBSCRIPTION_MS
        for name, (address, seen_ms) in list(self.subscribers.items()):
            if seen_ms < oldest_ms:
                del self.subscribers[name]
                self.sockets.forget(address)

    def _send(
        self, address: state.Address, message: state.StandbyMessage
    ) -> None:
        self.sockets.send(address, messages.encode_standby(message))

    def _on_message(self, data: bytes) -> None:
        try:
            message = messages.decode_standby(data)
        except errors.FieldError as error:
            eliot.log_message("peer-message-unreadable", error=str(error))
            return
        match message:
            case state.Subscribe(name, address):
                self.subscribers[name] = (address, self.clock.now_ms())
            case state.Beat():
                self.succession.on_beat(message)
