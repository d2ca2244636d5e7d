"""What the parts of one daemon learn from, and tell, other daemons."""

import asyncio

from poplarloft import coordination
from poplarloft.daemon import configuration
from poplarloft.daemon import fleet
from poplarloft.daemon import tasks
from poplarloft.daemon import upstreams
from poplarloft.protocol import peers as messages
from poplarloft import state

__all__ = ["Exchange"]

ASK_AGAIN_MS = 300
FORGET_EVERY_MS = 60_000
MS_PER_S = 1_000


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
    guard : coordination.PoisonGuard
        Gets strikes and quarantines; obeys orders of release.
    admission : coordination.AdmissionController
        Gets the owners' shares.
    limits : coordination.RateLimits
        Gets this instance's part of the owners' rates.
    """

    def __init__(
        self,
        fleet_service: fleet.FleetService,
        configuration_service: configuration.ConfigurationService,
        upstream_service: upstreams.UpstreamService,
        guard: coordination.PoisonGuard,
        admission: coordination.AdmissionController,
        limits: coordination.RateLimits,
    ) -> None:
        self.fleet = fleet_service
        self.configuration = configuration_service
        self.upstreams = upstream_service
        self.guard = guard
        self.admission = admission
        self.limits = limits
        self.obeyed: set[state.Document] = set()
        self.wanted_revision = -1
        self.timer = tasks.WakeTimer(self._ask_again)
        fleet_service.rumour_listeners.append(self._on_rumour)
        fleet_service.member_listeners.append(self._on_members)
        fleet_service.handlers[state.HeadRequest] = self._on_head_request
        fleet_service.handlers[state.HeadAnswer] = self._on_head_answer
        configuration_service.listeners.append(self._on_head)
        upstream_service.sign_listeners.append(self._on_sign)

    async def run(self) -> None:
        """Forget now and then what no longer matters, until cancelled."""
        while True:
            await asyncio.sleep(FORGET_EVERY_MS / MS_PER_S)
            self.forget_old()

    def forget_old(self) -> None:
        """Drop rumours and figures whose matter has ended."""
        store = self.fleet.membership.store
        for key in self.guard.drop_expired():
            store.drop(key)
        known = self.upstreams.registry.known
        for rumour in list(store.iter_topic("leaving")):
            if rumour.key[1] not in known:
                store.drop(rumour.key)
        self.upstreams.load.keep_only(known)

    def _on_head(self, head: state.Configuration) -> None:
        self.fleet.spread(state.HeadUpdate(head.revision, self.fleet.name))
        self._set_limits()
        self._obey_releases(head)

    def _set_limits(self) -> None:
        """Take shares and rates from the configuration in force."""
        members = self.fleet.membership.members.values()
        shares = {}
        head = self.configuration.current
        for document in head.of_kind(state.DocumentKind.OWNER):
            assert isinstance(document.body, state.OwnerBody)
            shares[document.name] = document.body.share
            rate_per_s = coordination.per_instance_limit(
                document.body.rate_per_s, members
            )
            self.limits.set_rate(document.name, rate_per_s)
        self.admission.set_shares(shares)

    def _obey_releases(self, head: state.Configuration) -> None:
        """End each quarantine that a new document releases."""
        for document in head.of_kind(state.DocumentKind.RELEASE):
            if document in self.obeyed:
                continue
            assert isinstance(document.body, state.ReleaseBody)
            self.obeyed.add(document)
            self.fleet.spread(self.guard.release(document.body.fingerprint))

    def _on_sign(self, sign: coordination.LeavingNotice) -> None:
        self.fleet.spread(state.LeavingUpdate(sign.upstream, sign.incarnation))

    def _on_rumour(self, rumour: state.GossipUpdate) -> None:
        match rumour:
            case state.LeavingUpdate(upstream, incarnation):
                self.upstreams.on_leaving(
                    upstream, incarnation, coordination.NoticeSource.PEER
                )
            case state.HeadUpdate(revision, holder):
                if revision > self.configuration.follower.revision:
                    self.wanted_revision = revision
                    self._ask_for_head(holder)
            case (
                state.CrashCountUpdate()
                | state.ClearedUpdate()
                | state.QuarantineUpdate()
            ):
                self.guard.on_update(rumour)

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
        """Let only relays watch the platform; split limits anew."""
        self._set_limits()
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
