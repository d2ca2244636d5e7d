"""Gossip and messages between this instance and its peers."""

import asyncio
from collections import abc

import eliot
import msgspec

from poplarloft import coordination
from poplarloft.daemon import tasks
from poplarloft.protocol import errors
from poplarloft.protocol import peers as messages
from poplarloft import state
from poplarloft.transport import peers

__all__ = ["FleetService"]

JOIN_RETRY_MS = 1_000
MS_PER_S = 1_000

UpdateListener = abc.Callable[[state.GossipUpdate], None]
MessageHandler = abc.Callable[[str, messages.PeerMessage], None]


class FleetService:
    """Runs the membership protocol over peer sockets.

    Parameters
    ----------
    membership : coordination.Membership
        State of the membership protocol; decides what to send.
    sockets : peers.PeerSockets
        Sockets, already bound.
    seeds : sequence of state.Address
        Peer addresses of daemons to join.
    task_set : tasks.TaskSet
        Runs background tasks.
    """

    def __init__(
        self,
        membership: coordination.Membership,
        sockets: peers.PeerSockets,
        seeds: abc.Sequence[state.Address],
        task_set: tasks.TaskSet,
    ) -> None:
        self.membership = membership
        self.sockets = sockets
        self.seeds = list(seeds)
        self.task_set = task_set
        self.update_listeners: list[UpdateListener] = []
        self.member_listeners: list[abc.Callable[[], None]] = []
        self.handlers: dict[type, MessageHandler] = {}
        self.timer = tasks.WakeTimer(self._on_wake)
        self.stopped = False
        self.reported_change_count = 0

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.membership.own_record.name

    def start(self) -> None:
        """Start to receive messages, probe members and join the fleet."""
        self.sockets.start()
        self.task_set.spawn(self._join())
        self._on_wake()

    def stop(self) -> None:
        """Stop sending and receiving."""
        self.stopped = True
        self.timer.set(None)
        self.sockets.close()

    def leave(self) -> None:
        """Announce to some members that this instance is leaving."""
        self._perform(self.membership.leave())

    def publish(self, update: state.GossipUpdate) -> None:
        """Start to gossip an update that originates here."""
        if self.membership.on_update(update):
            self._report_update(update)

    def broadcast(self, update: state.GossipUpdate) -> None:
        """Gossip an update and send it to each neighbour directly.

        For rare and urgent updates.
        """
        self.publish(update)
        for name in self.live_neighbours():
            if name != self.name:
                self.send(name, coordination.SendUpdates(name, (update,)))

    def live_neighbours(self) -> list[str]:
        """Return the live instances of this data centre, this one included."""
        location = self.membership.own_record.location
        return self.membership.live_in(location.data_centre)

    def send(self, name: str, message: messages.PeerMessage) -> bool:
        """Send a message to a member.

        Returns False, without sending, if the member is unknown.
        """
        record = self.membership.members.get(name)
        if record is None:
            return False
        self._send_to(record.peer_address, message, name)
        return True

    async def _join(self) -> None:
        """Contact the seeds until another live member is known."""
        while len(self.membership.live()) < 2 and self.seeds:
            own_update = coordination.SendUpdates(
                "", (self.membership.own_record,)
            )
            digest = coordination.SendDigest(
                "", self.membership.store.digest()
            )
            for seed in self.seeds:
                self._send_to(seed, own_update)
                self._send_to(seed, digest)
            await asyncio.sleep(JOIN_RETRY_MS / MS_PER_S)

    def _on_wake(self) -> None:
        self._perform(self.membership.tick())
        self._report_member_changes()
        wake_ms = self.membership.next_wake_ms()
        self.timer.set(wake_ms - self.membership.clock.now_ms())

    def on_bytes(self, data: bytes) -> None:
        """Decode and handle a message from a peer; log a malformed one."""
        try:
            envelope = messages.decode_peer_message(data)
        except (msgspec.MsgspecError, errors.ProtocolError) as error:
            eliot.log_message("peer-message-unreadable", error=str(error))
            return
        self._dispatch(envelope.sender, envelope.message)
        self._report_member_changes()

    def _report_member_changes(self) -> None:
        """Notify listeners of membership changes, received or detected."""
        if self.membership.change_count == self.reported_change_count:
            return
        self.reported_change_count = self.membership.change_count
        for listener in self.member_listeners:
            listener()

    def _dispatch(self, sender: str, message: messages.PeerMessage) -> None:
        membership = self.membership
        match message:
            case coordination.SendPing(_, sequence, behalf, updates):
                self._apply_updates(updates)
                self._perform(membership.on_ping(sender, sequence, behalf))
            case coordination.SendAck(_, sequence, behalf, target, updates):
                self._apply_updates(updates)
                self._perform(membership.on_ack(sequence, behalf, target))
            case coordination.SendPingRequest(_, target, sequence, updates):
                self._apply_updates(updates)
                self._perform(
                    membership.on_ping_request(sender, target, sequence)
                )
            case coordination.SendDigest(_, digest, is_answer):
                self._perform(membership.on_digest(sender, digest, is_answer))
            case coordination.SendUpdates(_, updates):
                self._apply_updates(updates)
            case _:
                handler = self.handlers.get(type(message))
                if handler is not None:
                    handler(sender, message)

    def _apply_updates(self, updates: tuple[state.GossipUpdate, ...]) -> None:
        for update in updates:
            if self.membership.on_update(update):
                self._report_update(update)

    def _report_update(self, update: state.GossipUpdate) -> None:
        if isinstance(update, state.MemberRecord):
            eliot.log_message(
                "member",
                member=update.name,
                incarnation=update.incarnation,
                status=update.status.name.lower(),
            )
        for listener in self.update_listeners:
            listener(update)

    def _perform(self, actions: list[coordination.MembershipAction]) -> None:
        for action in actions:
            self.send(action.to, action)

    def _send_to(
        self,
        address: state.Address,
        message: messages.PeerMessage,
        name: str = "",
    ) -> None:
        if self.stopped:
            return
        keys = self.sockets.keys
        server_key = None
        if keys is not None:
            server_key = keys.server_keys.get(name or str(address))
            if server_key is None:
                return
        data = messages.encode_peer_message(self.name, message)
        self.sockets.send(address, data, server_key)
