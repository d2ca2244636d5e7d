"""This instance's part in the fleet: gossip and requests to peers."""

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

RumourListener = abc.Callable[[state.GossipUpdate], None]
MessageHandler = abc.Callable[[str, messages.PeerMessage], None]


class FleetService:
    """Drives the membership over peer sockets.

    Parameters
    ----------
    membership : coordination.Membership
        Decides.
    sockets : peers.PeerSockets
        Bound sockets.
    seeds : sequence of state.Address
        Daemons to join, by peer address.
    task_set : tasks.TaskSet
        Runs the receiver.
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
        self.rumour_listeners: list[RumourListener] = []
        self.member_listeners: list[abc.Callable[[], None]] = []
        self.handlers: dict[type, MessageHandler] = {}
        self.timer = tasks.WakeTimer(self._on_wake)
        self.stopped = False
        self.noticed_changes = 0

    @property
    def name(self) -> str:
        """Return this instance's name."""
        return self.membership.own_record.name

    def start(self) -> None:
        """Begin to receive, probe and join."""
        self.sockets.start()
        self.task_set.spawn(self._join())
        self._on_wake()

    def stop(self) -> None:
        """Send and receive nothing more."""
        self.stopped = True
        self.timer.set(None)
        self.sockets.close()

    def leave(self) -> None:
        """Tell some members that this instance goes."""
        self._perform(self.membership.leave())

    def spread(self, rumour: state.GossipUpdate) -> None:
        """Put a rumour of this instance's own into the gossip."""
        if self.membership.on_update(rumour):
            self._tell(rumour)

    def spread_at_once(self, rumour: state.GossipUpdate) -> None:
        """Send a rare and urgent rumour to each neighbour directly."""
        self.spread(rumour)
        for name in self.live_neighbours():
            if name != self.name:
                self.send(name, coordination.SendUpdates(name, (rumour,)))

    def live_neighbours(self) -> list[str]:
        """Return the live instances of this data centre, with this one."""
        location = self.membership.own_record.location
        return self.membership.live_in(location.data_centre)

    def send(self, name: str, message: messages.PeerMessage) -> bool:
        """Send a message to a member; tell whether its address is known."""
        record = self.membership.members.get(name)
        if record is None:
            return False
        self._send_to(record.peer_address, message, name)
        return True

    async def _join(self) -> None:
        """Contact the seeds until some other member is known."""
        while len(self.membership.live()) < 2 and self.seeds:
            introduction = coordination.SendUpdates(
                "", (self.membership.own_record,)
            )
            digest = coordination.SendDigest(
                "", self.membership.store.digest()
            )
            for seed in self.seeds:
                self._send_to(seed, introduction)
                self._send_to(seed, digest)
            await asyncio.sleep(JOIN_RETRY_MS / MS_PER_S)

    def _on_wake(self) -> None:
        self._perform(self.membership.tick())
        self._notice_members()
        wake_ms = self.membership.next_wake_ms()
        self.timer.set(wake_ms - self.membership.clock.now_ms())

    def on_bytes(self, data: bytes) -> None:
        """Take one message from a peer."""
        try:
            envelope = messages.decode_peer(data)
        except (msgspec.MsgspecError, errors.ProtocolError) as error:
            eliot.log_message("peer-message-unreadable", error=str(error))
            return
        self._take(envelope.sender, envelope.message)
        self._notice_members()

    def _notice_members(self) -> None:
        """Tell listeners of any change, learnt or found out here."""
        if self.membership.change_count == self.noticed_changes:
            return
        self.noticed_changes = self.membership.change_count
        for listener in self.member_listeners:
            listener()

    def _take(self, sender: str, message: messages.PeerMessage) -> None:
        membership = self.membership
        match message:
            case coordination.SendPing(_, sequence, behalf, rumours):
                self._take_rumours(rumours)
                self._perform(membership.on_ping(sender, sequence, behalf))
            case coordination.SendAck(_, sequence, behalf, target, rumours):
                self._take_rumours(rumours)
                self._perform(membership.on_ack(sequence, behalf, target))
            case coordination.SendPingRequest(_, target, sequence, rumours):
                self._take_rumours(rumours)
                self._perform(
                    membership.on_ping_request(sender, target, sequence)
                )
            case coordination.SendDigest(_, digest, is_answer):
                self._perform(membership.on_digest(sender, digest, is_answer))
            case coordination.SendUpdates(_, rumours):
                self._take_rumours(rumours)
            case _:
                handler = self.handlers.get(type(message))
                if handler is not None:
                    handler(sender, message)

    def _take_rumours(self, rumours: tuple[state.GossipUpdate, ...]) -> None:
        for rumour in rumours:
            if self.membership.on_update(rumour):
                self._tell(rumour)

    def _tell(self, rumour: state.GossipUpdate) -> None:
        if isinstance(rumour, state.MemberRecord):
            eliot.log_message(
                "member",
                member=rumour.name,
                incarnation=rumour.incarnation,
                status=rumour.status.name.lower(),
            )
        for listener in self.rumour_listeners:
            listener(rumour)

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
        data = messages.encode_peer(self.name, message)
        self.sockets.send(address, data, server_key)
