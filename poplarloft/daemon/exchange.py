"""What the parts of one daemon learn from, and tell, other daemons."""

from poplarloft import coordination
from poplarloft.daemon import configuration
from poplarloft.daemon import fleet
from poplarloft.daemon import tasks
from poplarloft.daemon import upstreams
from poplarloft.protocol import peers as messages
from poplarloft import state

__all__ = ["Exchange"]

ASK_AGAIN_MS = 300


class Exchange:
    """Connects configuration and upstreams to the gossip.

    Parameters
    ----------
    fleet_service : fleet.FleetService
        The gossip.
    configuration_service : configuration.ConfigurationService
        Gets revisions from peers; tells of new ones.
    upstream_service : upstreams.UpstreamService
        Gets and tells signs of leaving.
    """

    def __init__(
        self,
        fleet_service: fleet.FleetService,
        configuration_service: configuration.ConfigurationService,
        upstream_service: upstreams.UpstreamService,
    ) -> None:
        self.fleet = fleet_service
        self.configuration = configuration_service
        self.upstreams = upstream_service
        self.wanted_revision = -1
        self.timer = tasks.WakeTimer(self._ask_again)
        fleet_service.rumour_listeners.append(self._on_rumour)
        fleet_service.member_listeners.append(self._on_members)
        fleet_service.handlers[state.HeadRequest] = self._on_head_request
        fleet_service.handlers[state.HeadAnswer] = self._on_head_answer
        configuration_service.listeners.append(self._on_head)
        upstream_service.sign_listeners.append(self._on_sign)

    def _on_head(self, head: state.Configuration) -> None:
        self.fleet.spread(state.HeadRumour(head.revision, self.fleet.name))

    def _on_sign(self, sign: coordination.LeavingSign) -> None:
        self.fleet.spread(state.LeavingRumour(sign.upstream, sign.incarnation))

    def _on_rumour(self, rumour: state.Rumour) -> None:
        match rumour:
            case state.LeavingRumour(upstream, incarnation):
                self.upstreams.on_leaving(
                    upstream, incarnation, coordination.SignSource.PEER
                )
            case state.HeadRumour(revision, holder):
                if revision > self.configuration.follower.revision:
                    self.wanted_revision = revision
                    self._ask_for_head(holder)

    def _ask_for_head(self, holder: str) -> None:
        known = self.configuration.follower.revision
        self.fleet.send(holder, state.HeadRequest(known))
        self.timer.set(ASK_AGAIN_MS)

    def _ask_again(self) -> None:
        """Ask some neighbour if the head has not arrived."""
        if self.configuration.follower.revision >= self.wanted_revision:
            return
        others = [
            name
            for name in self.fleet.live_neighbours()
            if name != self.fleet.name
        ]
        if others:
            self._ask_for_head(self.fleet.membership.rng.choice(others))
        else:
            self.timer.set(ASK_AGAIN_MS)

    def _on_members(self) -> None:
        """Let only the data centre's relays watch the platform."""
        if self.fleet.membership.is_relay():
            self.configuration.may_watch.set()
        else:
            self.configuration.may_watch.clear()

    def _on_head_request(
        self, sender: str, message: messages.PeerMessage
    ) -> None:
        assert isinstance(message, state.HeadRequest)
        revision = self.configuration.follower.revision
        if revision > message.above_revision:
            answer = state.HeadAnswer(revision, self.configuration.encoded())
            self.fleet.send(sender, answer)

    def _on_head_answer(
        self, sender: str, message: messages.PeerMessage
    ) -> None:
        assert isinstance(message, state.HeadAnswer)
        self.configuration.offer_bytes(message.head)
