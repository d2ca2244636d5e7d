"""The duty `bulk`: runs lots, orders weights, answers retirements."""

import asyncio

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving import base
from poplarloft.daemon.serving import feed_link
from poplarloft.daemon.serving import leader_election
from poplarloft.daemon.serving import lot_scheduler
from poplarloft.daemon.serving import standby
from poplarloft.daemon.serving import store_views
from poplarloft.platform import documents
from poplarloft.platform import names
from poplarloft.protocol import addresses
from poplarloft.protocol import errors
from poplarloft.protocol import serving_settings
from poplarloft import state

__all__ = ["BulkDaemon"]

NEWS_BOUND_MS = 12_000  # a standby must only know what is open
TELL_MS = 1_000
MS_PER_S = 1_000


class BulkDaemon(base.ServingBase):
    """One daemon that runs lots when it holds the duty.

    It keeps nothing on its disk.

    Parameters
    ----------
    settings : serving_settings.ServingSettings
        Validated settings.
    """

    def __init__(self, settings: serving_settings.ServingSettings) -> None:
        super().__init__(settings)
        self.standby_link = standby.StandbyLink(
            self.clock,
            settings.name,
            settings.region,
            serving.FailoverDetector(self.clock, settings.name),
            self.peers,
        )
        self.feed = feed_link.FeedLink(
            self.clock, settings.name, NEWS_BOUND_MS, self.peers
        )
        self.views = store_views.StoreViews.make(self.clock)
        self.views.operator.listeners.append(self._answer_retirements)
        self.peers.on(state.LotAccepted, self._on_lot_accepted)
        self.peers.on(state.LotEnded, self._on_lot_ended)
        self.election: leader_election.LeaderElection | None = None
        self.retired: set[str] = set()

    async def start(self) -> None:
        """Begin to contend for the duty."""
        if self.settings.peer_listen is None:
            raise errors.FieldError("--peer-listen", "expected with bulk")
        self.peers.start(addresses.parse_address(self.settings.peer_listen))
        me = state.LeaderRecord(
            self.settings.name, self.wall_clock.now_ms(), self.peers.address
        )
        self.election = leader_election.LeaderElection(
            self.clock,
            self.store,
            me,
            self.standby_link,
            self._make_runner,
            self.feed.set_single_source,
        )
        self.feed.start(self.task_set)
        self.views.start(self.store, self.task_set, self.feed)
        self.task_set.spawn(self._tell_where())
        await self.start_relay()
        self.task_set.spawn(self.election.run())

    async def stop(self) -> None:
        """Hand the duty on and end."""
        if self.election is not None:
            duty = self.election.scheduler
            if duty is not None:
                await duty.stop()
            await self.election.resign()
        await self.task_set.cancel_all()
        await self.relay.stop()
        self.peers.close()
        self.client.close()
        eliot.log_message("stopped", store_calls=self.store.calls)

    def _make_runner(self, fence: int) -> lot_scheduler.LotScheduler:
        asyncio.get_running_loop().call_soon(self._answer_retirements)
        inheritance = None
        if self.standby_link.is_synced:
            inheritance = self.standby_link.checkpoints
        return lot_scheduler.LotScheduler(
            self.clock,
            self.wall_clock,
            self.store,
            self.client,
            self.settings.name,
            fence,
            self.make_balancer(),
            self.is_near,
            int(self.settings.lot_kept_s * MS_PER_S),
            self.views,
            inheritance,
        )

    async def _tell_where(self) -> None:
        """Tell all daemons where this one is while it runs the lots."""
        while True:
            duty = None if self.election is None else self.election.scheduler
            if duty is not None and duty.fence:
                message = state.LeaderAnnouncement(
                    duty.fence, self.peers.address
                )
                for member in self.relay.members.values():
                    if member.feed is not None:
                        self.peers.send(member.feed, message)
            await asyncio.sleep(TELL_MS / MS_PER_S)

    def _on_lot_accepted(self, hint: state.LotAccepted) -> None:
        if self.election is not None and self.election.scheduler is not None:
            self.views.lots.on_accepted(hint)

    def _on_lot_ended(self, hint: state.LotEnded) -> None:
        if self.election is not None and self.election.scheduler is not None:
            self.views.lots.on_ended(hint)

    def _answer_retirements(self) -> None:
        """Answer for all instances, as the runner: none keeps anything."""
        if self.election is None or self.election.scheduler is None:
            return
        for name in self.views.operator.retiring - self.retired:
            self.retired.add(name)
            self.task_set.spawn(self._retire(name))

    async def _retire(self, name: str) -> None:
        """Tell that an instance holds nothing that must last."""
        key = names.RETIRE_STATUS_PREFIX + name
        put = state.Put(key, documents.encode_retirement(True))
        while True:
            answer = await self.store.write([], [put])
            eliot.log_message(
                "instance-emptied", instance=name, outcome=answer.status.value
            )
            if answer.status is state.WriteStatus.APPLIED:
                return
            await asyncio.sleep(1)
