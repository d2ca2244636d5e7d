"""The role `bulk`: schedules lots, orders weights, confirms retirements."""

import asyncio

import eliot

from poplarloft.coordination import clients
from poplarloft.coordination import metering
from poplarloft.coordination import serving
from poplarloft.daemon.serving import base
from poplarloft.daemon.serving.capacity import engine_provisioner
from poplarloft.daemon.serving.fleet import feed_link
from poplarloft.daemon.serving.leadership import cell_leader
from poplarloft.daemon.serving.leadership import leader_election
from poplarloft.daemon.serving.leadership import standby
from poplarloft.daemon.serving.metering import usage_reporter
from poplarloft.daemon.serving.rollouts import lot_scheduler
from poplarloft.daemon.serving.store import store_views
from poplarloft.platform import documents
from poplarloft.platform import infrastructure
from poplarloft.platform import names
from poplarloft.protocol import addresses
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft.protocol import serving_settings
from poplarloft import state

__all__ = ["BulkDaemon"]

MAX_CHANGE_DELAY_MS = 12_000  # a standby only needs to know the open lots
ANNOUNCE_INTERVAL_MS = 1_000
RECALL_RETRY_MS = 500
MS_PER_S = 1_000


class BulkDaemon(base.ServingBase):
    """A daemon that schedules a cell's lots while it is the leader.

    It stores nothing on local disk.

    Parameters
    ----------
    settings : serving_settings.ServingSettings
        Validated settings.
    """

    issues_permits = True

    def __init__(self, settings: serving_settings.ServingSettings) -> None:
        super().__init__(settings)
        self.standby_link = standby.StandbyLink(
            self.clock,
            settings.name,
            settings.region,
            serving.FailoverDetector(self.clock, settings.name),
            self.peers,
            lambda: self.membership.members,
        )
        self.feed = feed_link.FeedLink(
            self.clock, settings.name, MAX_CHANGE_DELAY_MS, self.peers
        )
        self.views = store_views.StoreViews.make(
            self.clock, self.last_use_ms, self.shares.open_lot_bytes
        )
        self.sampler_client = self.make_sampler_client(self.views.samplers)
        self.views.operator.listeners.append(self._confirm_retirements)
        self.views.samplers.listeners.append(
            lambda: self.limits.follow(self.views.samplers.registry)
        )
        self.origins.follow(self.views.samplers)
        self.peers.on(state.LotAccepted, self._on_lot_accepted)
        self.peers.on(state.LotEnded, self._on_lot_ended)
        self.orders = serving.OrderLock(
            state.BootClock(),
            settings.name,
            serving.OrderRules(
                settings.engines_check_fence, settings.order_turn_ms
            ),
        )
        self.election: leader_election.LeaderElection | None = None
        self.reporter: usage_reporter.UsageReporter | None = None
        self.peers.on(state.UsageNotice, self._on_usage)
        self.confirmed_retirements: set[str] = set()
        self.membership.is_retiring = lambda: (
            settings.name in self.views.operator.retiring
        )

    async def start(self) -> None:
        """Start following the store and take part in the leader election."""
        if self.settings.peer_listen is None:
            raise errors.FieldError(
                "--peer-listen", "required with --duty=bulk"
            )
        self.peers.start(addresses.parse_address(self.settings.peer_listen))
        own_record = state.LeaderRecord(
            self.settings.name, self.wall_clock.now_ms(), self.peers.address
        )
        self.election = leader_election.LeaderElection(
            self.clock,
            self.store,
            own_record,
            self.standby_link,
            self._make_leader,
            self.feed.set_single_source,
            self.orders,
        )
        self.feed.start(self.task_set)
        self.views.start(self.store, self.task_set, self.feed)
        self.streams.start(self.task_set)
        self.origins.start(self.task_set)
        self.task_set.supervise(self._recall_streams)
        self.task_set.supervise(self._announce_leader)
        await self.start_relay()
        self.task_set.supervise(self.election.run)

    async def stop(self) -> None:
        """Leave the list of members, resign leadership and shut down."""
        leaving = self.task_set.spawn(self.membership.leave())
        if self.election is not None:
            scheduler = self.election.scheduler
            if scheduler is not None:
                await scheduler.stop()
            await self.election.resign()
        await asyncio.wait({leaving})
        await self.task_set.cancel_all()
        await self.relay.stop()
        self.peers.close()
        self.close_clients()
        eliot.log_message("stopped", store_calls=self.store.calls)

    def _make_leader(self, fence: int) -> cell_leader.CellLeader:
        lots = self._make_scheduler(fence)
        leader_tasks: list[cell_leader.LeaderTask] = []
        self.reporter = None
        address = self.settings.infrastructure
        if address is not None:
            client = infrastructure.InfrastructureClient(
                self.client,
                addresses.parse_address(address),
                self.settings.name,
            )
            provisioner = engine_provisioner.EngineProvisioner(
                self.clock, self.views, lots.planner, client, lots
            )
            lots.on_planned = provisioner.on_planned
            leader_tasks.append(provisioner)
            self.reporter = self._make_reporter(client, lots)
        if self.reporter is not None:
            leader_tasks.append(self.reporter)
        return cell_leader.CellLeader(lots, leader_tasks)

    def _make_reporter(
        self,
        client: infrastructure.InfrastructureClient,
        leadership: usage_reporter.Leadership,
    ) -> usage_reporter.UsageReporter | None:
        """Return what reports usage, None if that is not asked for."""
        rules = self.settings.metering_rules()
        if rules is None:
            return None
        clock = state.SteadyWallClock(self.wall_clock, state.BootClock())
        ledger = metering.WindowLedger(clock, rules)
        return usage_reporter.UsageReporter(
            self.store, client, ledger, leadership
        )

    def _make_scheduler(self, fence: int) -> lot_scheduler.LotScheduler:
        asyncio.get_running_loop().call_soon(self._confirm_retirements)
        checkpoints = None
        if self.standby_link.is_synced:
            checkpoints = self.standby_link.checkpoints
        return lot_scheduler.LotScheduler(
            self.clock,
            self.wall_clock,
            self.store,
            self.sampler_client,
            self.settings.name,
            fence,
            self.make_balancer(),
            self.is_near,
            int(self.settings.lot_kept_s * MS_PER_S),
            self.views,
            self.orders,
            self.limits,
            checkpoints,
        )

    def uses(self) -> list[clients.ResourceUse]:
        """Return what clients and other instances take at the moment."""
        backlog = self.views.lots.backlog
        return [
            *super().uses(),
            clients.ResourceUse(
                "lot-bytes", backlog.held_bytes, backlog.max_bytes
            ),
            clients.ResourceUse(
                "waiting-lot-bytes", backlog.deferred_bytes, backlog.max_bytes
            ),
        ]

    async def _recall_streams(self) -> None:
        """Ask for the streams that this daemon kept before it started."""
        members = await self.membership.read()
        while members is None:
            await asyncio.sleep(RECALL_RETRY_MS / MS_PER_S)
            members = await self.membership.read()
        self.streams.recall(members)

    async def _announce_leader(self) -> None:
        """Announce this daemon's address to all members while it leads."""
        while True:
            scheduler = (
                None if self.election is None else self.election.scheduler
            )
            if scheduler is not None and scheduler.fence:
                message = state.LeaderAnnouncement(
                    scheduler.fence,
                    self.peers.address,
                    self.views.lots.backlog.is_full,
                )
                for member in self.membership.members.values():
                    if member.feed is not None:
                        self.peers.send(member.feed, message)
            await asyncio.sleep(ANNOUNCE_INTERVAL_MS / MS_PER_S)

    def _on_usage(self, notice: state.UsageNotice) -> None:
        """Take what an entry daemon has counted, as the leader."""
        if self.reporter is None or not self._is_leader():
            return
        if self.reporter.on_notice(notice):
            receipt = state.UsageReceipt(
                notice.ticket, self.reporter.leadership.fence
            )
            self.peers.send_reliably(notice.address, receipt)

    def _is_leader(self) -> bool:
        return self.election is not None and (
            self.election.scheduler is not None
        )

    def _on_lot_accepted(self, hint: state.LotAccepted) -> None:
        if self._is_leader():
            self.views.lots.on_accepted(hint)

    def _on_lot_ended(self, hint: state.LotEnded) -> None:
        if self._is_leader():
            self.views.lots.on_ended(hint)

    def _confirm_retirements(self) -> None:
        """Confirm requested retirements of all instances, as the leader.

        This needs no check, because no instance stores anything locally.
        """
        if not self._is_leader():
            return
        for name in self.views.operator.retiring - self.confirmed_retirements:
            self.confirmed_retirements.add(name)
            self.task_set.spawn(self._confirm_retirement(name))

    async def _confirm_retirement(self, name: str) -> None:
        """Write to the store that an instance holds no data to preserve.

        It is taken away then, so the first confirmation takes it off the
        list of members as well.
        """
        key = names.RETIRE_STATUS_PREFIX + name
        puts = [state.Put(key, documents.encode_retirement(True))]
        expected = [state.Expectation(key)]
        deletes = [lot_records.member_key(name)]
        while True:
            answer = await self.store.write(expected, puts, deletes)
            eliot.log_message(
                "instance-emptied", instance=name, outcome=answer.status.value
            )
            if answer.status is state.WriteStatus.APPLIED:
                return
            if answer.status is state.WriteStatus.CONFLICT:
                # It was confirmed before; a machine that has come under
                # the same name since stays listed.
                expected, deletes = [], []
                continue
            await asyncio.sleep(1)
