"""Connects the components of a daemon to gossip between daemons."""

import asyncio

from poplarloft import coordination
from poplarloft.daemon import configuration
from poplarloft.daemon import fleet
from poplarloft.daemon import tasks
from poplarloft.daemon import upstreams
from poplarloft.protocol import peers as messages
from poplarloft import state

__all__ = ["GossipBridge"]

REQUEST_RETRY_MS = 300
CLEANUP_INTERVAL_MS = 60_000
MS_PER_S = 1_000


class GossipBridge:
    """Connects configuration, upstreams and limits to gossip.

    Parameters
    ----------
    fleet_service : fleet.FleetService
        Sends and receives gossip updates and messages.
    configuration_service : configuration.ConfigurationService
        Receives revisions from peers and announces new ones.
    upstream_service : upstreams.UpstreamService
        Receives and sends leaving notices.
    guard : coordination.PoisonGuard
        Receives crash counts and quarantines; ends released quarantines.
    admission : coordination.AdmissionController
        Receives the owners' shares.
    limits : coordination.RateLimits
        Receives this instance's part of the owners' rates.
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
        self.applied_releases: set[state.Document] = set()
        self.wanted_revision = -1
        self.timer = tasks.WakeTimer(self._retry_request)
        fleet_service.update_listeners.append(self._on_update)
        fleet_service.member_listeners.append(self._on_members)
        fleet_service.handlers[state.HeadRequest] = self._on_head_request
        fleet_service.handlers[state.HeadAnswer] = self._on_head_answer
        configuration_service.listeners.append(self._on_head)
        upstream_service.notice_listeners.append(self._on_leaving_notice)

    async def run(self) -> None:
        """Drop expired updates periodically, until cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_MS / MS_PER_S)
            self.drop_expired()

    def drop_expired(self) -> None:
        """Drop gossip updates and load figures that no longer apply."""
        store = self.fleet.membership.store
        for key in self.guard.drop_expired():
            store.drop(key)
        known = self.upstreams.registry.known
        for update in list(store.iter_topic("leaving")):
            if update.key[1] not in known:
                store.drop(update.key)
        self.upstreams.load.keep_only(known)

    def _on_head(self, head: state.Configuration) -> None:
        self.fleet.publish(state.HeadUpdate(head.revision, self.fleet.name))
        self._set_limits()
        self._apply_releases(head)

    def _set_limits(self) -> None:
        """Set shares and rate limits from the configuration in force."""
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

    def _apply_releases(self, head: state.Configuration) -> None:
        """End the quarantines that new release documents name."""
        for document in head.of_kind(state.DocumentKind.RELEASE):
            if document in self.applied_releases:
                continue
            assert isinstance(document.body, state.ReleaseBody)
            self.applied_releases.add(document)
            self.fleet.publish(self.guard.release(document.body.fingerprint))

    def _on_leaving_notice(self, notice: coordination.LeavingNotice) -> None:
        self.fleet.publish(
            state.LeavingUpdate(notice.upstream, notice.incarnation)
        )

    def _on_update(self, update: state.GossipUpdate) -> None:
        match update:
            case state.LeavingUpdate(upstream, incarnation):
                self.upstreams.on_leaving(
                    upstream, incarnation, coordination.NoticeSource.PEER
                )
            case state.HeadUpdate(revision, holder):
                if revision > self.configuration.follower.revision:
                    self.wanted_revision = revision
                    self._request_head(holder)
            case (
                state.CrashUpdate()
                | state.ClearedUpdate()
                | state.QuarantineUpdate()
            ):
                self.guard.on_update(update)

    def _request_head(self, holder: str) -> None:
        known = self.configuration.follower.revision
        self.fleet.send(holder, state.HeadRequest(known))
        self.timer.set(REQUEST_RETRY_MS)

    def _retry_request(self) -> None:
        """Request the head from a random neighbour if it is overdue."""
        if self.configuration.follower.revision >= self.wanted_revision:
            return
        others = [
            name
            for name in self.fleet.live_neighbours()
            if name != self.fleet.name
        ]
        if others:
            self._request_head(self.fleet.membership.rng.choice(others))
        else:
            self.timer.set(REQUEST_RETRY_MS)

    def _on_members(self) -> None:
        """Let only relays watch the head document; recompute limits."""
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
            answer = state.HeadAnswer(
                revision, self.configuration.encoded_head()
            )
            self.fleet.send(sender, answer)

    def _on_head_answer(
        self, sender: str, message: messages.PeerMessage
    ) -> None:
        assert isinstance(message, state.HeadAnswer)
        self.configuration.offer_bytes(message.head)
