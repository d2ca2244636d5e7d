"""Beats and copies of texts between a runner and its standbys."""

import asyncio
from collections import abc
import dataclasses

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
MIN_EVENTS = 6  # shorter texts are generated again as fast
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """What the heir has of a text."""

    text: serving.ItemText
    events: int
    score: str


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
    inheritance : serving.Inheritance
        Takes copies of texts.
    """

    def __init__(
        self,
        clock: state.Clock,
        name: str,
        succession: serving.Succession,
        inheritance: serving.Inheritance,
    ) -> None:
        self.clock = clock
        self.name = name
        self.succession = succession
        self.inheritance = inheritance
        self.sockets = peers.PeerSockets(self._on_message)
        self.address = state.Address("", 0)
        self.subscribers: dict[str, tuple[state.Address, int]] = {}
        self.sent: dict[str, _Sent] = {}
        self.sent_to = ""

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

    async def beat(
        self,
        fence: abc.Callable[[], int],
        texts: abc.Callable[[], abc.Iterable[serving.ItemText]],
    ) -> None:
        """Send beats, and the texts to the heir, until cancelled."""
        self.subscribers.clear()
        self.sent.clear()
        while True:
            self.send_beats(fence(), texts())
            await asyncio.sleep(BEAT_MS / MS_PER_S)

    def send_beats(
        self, fence: int, texts: abc.Iterable[serving.ItemText]
    ) -> None:
        """Send one beat to each standby."""
        self._forget_subscribers()
        heir = min(self.subscribers, default="")
        if heir != self.sent_to:
            self.sent_to = heir
            self.sent.clear()
        held = tuple(self._new_texts(texts)) if heir else ()
        for name, (address, _) in self.subscribers.items():
            carried = held if name == heir else ()
            self._send(address, state.Beat(fence, heir, carried))

    def _new_texts(
        self, texts: abc.Iterable[serving.ItemText]
    ) -> abc.Iterator[state.HeldText]:
        """Yield what the heir lacks, and remember it as sent."""
        present = set()
        for text in texts:
            item_id = text.item.id
            present.add(item_id)
            count = len(text.events)
            is_whole = text.stage in (
                serving.Stage.WHOLE,
                serving.Stage.SCORED,
            )
            before = self.sent.get(item_id)
            sent = 0
            if before is not None and before.text is text:
                sent = before.events if before.events <= count else 0
                if sent == count and before.score == text.score:
                    continue
            if count < MIN_EVENTS:
                continue
            self.sent[item_id] = _Sent(text, count, text.score)
            yield state.HeldText(
                item_id,
                sent + 1,
                tuple(text.events[sent:]),
                tuple(text.versions),
                is_whole,
                text.score,
            )
        for item_id in self.sent.keys() - present:
            del self.sent[item_id]

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
                for held in message.texts:
                    self.inheritance.take(held)
                self.inheritance.forget_old()
