"""A standalone daemon: its components, wired on one event loop."""

import asyncio
import pathlib
import random
import ssl

import eliot

from poplarloft import coordination
from poplarloft.daemon import claims
from poplarloft.daemon import configuration
from poplarloft.daemon import dispatch
from poplarloft.daemon import fleet
from poplarloft.daemon import frontend
from poplarloft.daemon import generation
from poplarloft.daemon import gossip_bridge
from poplarloft.daemon import listening
from poplarloft.daemon import machine
from poplarloft.daemon import operators
from poplarloft.daemon import relay
from poplarloft.daemon import rollouts
from poplarloft.daemon import snapshots
from poplarloft.daemon import status
from poplarloft.daemon import tasks
from poplarloft.daemon import upstreams
from poplarloft.daemon import usage
from poplarloft.daemon import weights
from poplarloft.protocol import addresses
from poplarloft.protocol import keys
from poplarloft.protocol import settings as settings_module
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import http_server
from poplarloft.transport import key_value
from poplarloft.transport import metrics
from poplarloft.transport import peers

__all__ = ["Node"]

MS_PER_S = 1_000


class Node:
    """The components of a daemon and their startup and shutdown.

    Parameters
    ----------
    settings : settings_module.DaemonSettings
        Validated settings.
    rng : random.Random or None
        Random generator for all decisions; by default a new one.
    """

    def __init__(
        self,
        settings: settings_module.DaemonSettings,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.rng = rng or random.Random()
        self.clock = state.MonotonicClock()
        self.wall_clock = state.WallClock()
        self.incarnation = state.Incarnation(
            settings.name, self.wall_clock.now_ms()
        )
        self.location = state.Location(settings.region, settings.data_centre)
        self.task_set = tasks.TaskSet()
        self.shares = machine.machine_shares(settings)
        self.client = http_client.HttpClient(settings.connect_timeout_ms)
        # Calls to the store do not wait for those to upstreams.
        self.upstream_client = http_client.HttpClient(
            settings.connect_timeout_ms,
            max_connections=self.shares.max_channels,
            notes_channels=True,
        )
        self.store = key_value.HttpKeyValueStore(
            self.client, addresses.parse_address(settings.key_value)
        )
        self.histograms = coordination.HistogramSet()
        self.shutdown = coordination.ShutdownPlan(
            self.clock, settings.drain_notice_ms, settings.drain_timeout_ms
        )
        self.configuration = configuration.ConfigurationService(
            self.store, str(self.incarnation), self.wall_clock, self.task_set
        )
        self.meter = coordination.UsageMeter(self.incarnation)
        self.usage = usage.UsageService(
            self.store,
            self.meter,
            self.wall_clock,
            settings.data_centre,
            settings.usage_flush_ms,
        )
        self.upstreams = self._make_upstreams()
        self.claims = self._make_claims()
        self.policy = coordination.ROUTING_POLICIES[settings.routing_policy](
            self.rng
        )
        self.relay = self._make_relay()
        self.weights = weights.WeightService(
            self.clock,
            self.store,
            str(self.incarnation),
            self.location,
            self.client,
            self.upstreams,
            self.task_set,
        )
        self.rollouts = self._make_rollouts()
        self.snapshots = self._make_snapshots()
        self.update_store = coordination.UpdateStore()
        self.sockets = peers.PeerSockets(
            self._on_peer_bytes,
            self._curve_keys(),
            self.shares.max_peers,
            self.shares.peer_receive_bytes,
        )
        self.fleet: fleet.FleetService | None = None
        self.stop_requested = asyncio.Event()
        self.frontend = self._make_frontend()
        self.tls = listening.tls_context(settings)
        self.server = http_server.HttpServer(
            self.frontend.handle,
            listening.server_limits(settings, self.shares),
            self.relay.max_body_bytes,
            self.tls,
        )
        self.upstream_client.on_exhausted = self.server.buffers.free_channel
        self.address: state.Address | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests here."""
        return self.frontend.report.is_ready

    async def start(self) -> state.Address:
        """Start all components; return the bound HTTP address."""
        if self.snapshots is not None:
            self.snapshots.restore()
        listen = addresses.parse_address(self.settings.listen)
        self.address = await self.server.start(listen)
        self.fleet = self._join_fleet(self.address)
        await self.upstreams.poll_list()
        await self.upstreams.poll_engines()
        await self.configuration.read_once()
        self.task_set.spawn(self.configuration.watch())
        self.task_set.spawn(self.upstreams.run())
        self.task_set.spawn(self.weights.run())
        self.task_set.spawn(self.usage.run())
        self.task_set.spawn(self.gossip_bridge.run())
        eliot.log_message(
            "started",
            incarnation=str(self.incarnation),
            address=str(self.address),
            peer_address=str(self.fleet.membership.own_record.peer_address),
        )
        return self.address

    async def stop(self) -> None:
        """Shut down gracefully.

        Requests in flight are aborted only if they outlast the drain timeout.
        """
        self.shutdown.begin()
        eliot.log_message("shutdown-begun")
        await asyncio.sleep(self.shutdown.notice_left_ms() / MS_PER_S)
        self.rollouts.stop()
        if self.fleet is not None:
            self.fleet.leave()
        aborted = await self.server.drain(self.settings.drain_timeout_ms)
        self.usage.publish()
        await self.usage.flush()
        if self.snapshots is not None:
            self.snapshots.write()
        await self.task_set.cancel_all()
        if self.fleet is not None:
            self.fleet.stop()
        self._close_clients()
        eliot.log_message("stopped", cut=aborted)

    async def kill(self) -> None:
        """Stop at once, as in a crash; for tests and the demo."""
        await self.server.drain(0)
        await self.task_set.cancel_all()
        if self.fleet is not None:
            self.fleet.stop()
        self._close_clients()

    def _close_clients(self) -> None:
        self.client.close()
        self.upstream_client.close()

    def _join_fleet(self, address: state.Address) -> fleet.FleetService:
        settings = self.settings
        bound = self.sockets.bind(
            addresses.parse_address(settings.peer_listen)
        )
        if settings.peer_advertise is not None:
            bound = addresses.parse_address(settings.peer_advertise)
        own_record = state.MemberRecord(
            settings.name,
            self.incarnation.number,
            0,
            state.MemberStatus.ALIVE,
            bound,
            address,
            self.location,
        )
        membership = coordination.Membership(
            self.clock,
            self.rng,
            own_record,
            self.update_store,
            coordination.MembershipSettings(
                interval_ms=settings.gossip_interval_ms
            ),
        )
        seeds = [addresses.parse_address(seed) for seed in settings.seeds]
        fleet_service = fleet.FleetService(
            membership, self.sockets, seeds, self.task_set
        )
        self.gossip_bridge = gossip_bridge.GossipBridge(
            fleet_service,
            self.configuration,
            self.upstreams,
            self.guard,
            self.admission,
            self.limits,
        )
        self.claims.join(fleet_service)
        self.usage.join(fleet_service)
        # a relay of the membership forwards gossip to other data centres
        self.weights.may_send_orders = membership.is_relay
        self.weights.is_first_relay = membership.is_first_relay
        fleet_service.start()
        return fleet_service

    def _on_peer_bytes(self, data: bytes) -> None:
        if self.fleet is not None:
            self.fleet.on_bytes(data)

    def _make_frontend(self) -> frontend.Frontend:
        report = status.InstanceReport(
            self.incarnation,
            self.location,
            self.shutdown,
            self.histograms,
            self.configuration,
            self.store,
            self.upstreams,
            self.rollouts,
        )
        return frontend.Frontend(
            self.relay,
            self.rollouts,
            self.usage,
            report,
            operators.OperatorApi(self.configuration, self.wall_clock),
            self.stop_requested,
            self.settings.tls_certificate is not None,
        )

    def _make_upstreams(self) -> upstreams.UpstreamService:
        settings = self.settings
        return upstreams.UpstreamService(
            self.client,
            coordination.UpstreamRegistry(self.clock),
            coordination.LoadView(self.clock),
            self.location,
            addresses.parse_address(settings.instance_list),
            settings.poll_interval_ms,
            self.rng,
        )

    def _make_claims(self) -> claims.ClaimService:
        settings = coordination.ClaimSettings(
            shards=self.settings.claim_shards,
            horizon_ms=self.settings.claim_horizon_ms,
        )
        claim_table = coordination.ClaimTable(
            self.clock, self.wall_clock, settings
        )
        return claims.ClaimService(
            self.store,
            claim_table,
            str(self.incarnation),
            self.rng,
            self.task_set,
        )

    def _make_relay(self) -> relay.Relay:
        self.guard = coordination.PoisonGuard(self.clock, self.wall_clock)
        self.dispatcher = dispatch.Dispatcher(
            self.clock,
            self.upstreams,
            self.upstream_client,
            self.policy,
            self.guard,
            self._broadcast,
            self.meter,
        )
        self.admission = coordination.AdmissionController(
            self.clock,
            coordination.AdmissionSettings(
                max_concurrent=self.settings.max_concurrent
            ),
        )
        self.limits = coordination.RateLimits(self.clock)
        return relay.Relay(
            self.clock,
            self.configuration,
            self.claims,
            self.dispatcher,
            self.admission,
            self.limits,
            self.histograms,
            self._make_metrics(),
        )

    def _broadcast(self, update: state.GossipUpdate) -> None:
        if self.fleet is not None:
            self.fleet.broadcast(update)

    def _make_rollouts(self) -> rollouts.RolloutService:
        producer = generation.SampleProducer(
            self.upstream_client, self.upstreams, self.policy, self.meter
        )
        return rollouts.RolloutService(
            self.clock,
            self.store,
            str(self.incarnation),
            self.configuration,
            self.upstreams,
            producer,
            self.weights,
            self.task_set,
        )

    def _make_snapshots(self) -> snapshots.SnapshotService | None:
        if self.settings.data_dir is None:
            return None
        return snapshots.SnapshotService(
            pathlib.Path(self.settings.data_dir),
            self.configuration,
            self.guard,
            self.usage,
        )

    def _curve_keys(self) -> peers.CurveKeys | None:
        """Return the keys of the peer sockets, None if not configured."""
        settings = self.settings
        if settings.curve_secret is None or settings.curve_allow is None:
            return None
        pair = keys.parse_key_pair(
            pathlib.Path(settings.curve_secret).read_text()
        )
        allowed = keys.parse_allow_list(
            pathlib.Path(settings.curve_allow).read_text()
        )
        by_address = {p.address: p.public for p in allowed if p.address}
        by_name = {p.name: p.public for p in allowed}
        return peers.CurveKeys(
            pair.public,
            pair.secret,
            frozenset(p.public for p in allowed),
            {**by_address, **by_name},
        )

    def reload_keys(self) -> None:
        """Reload the TLS certificate and key, for new connections."""
        if self.tls is None or self.settings.tls_certificate is None:
            return
        try:
            self.tls.load_cert_chain(
                self.settings.tls_certificate, self.settings.tls_key
            )
        except (OSError, ssl.SSLError) as error:
            eliot.log_message("tls-reload-failed", error=str(error))
            return
        eliot.log_message("tls-reloaded")

    def _make_metrics(self) -> state.Metrics:
        if self.settings.statsd is None:
            return metrics.NoMetrics()
        return metrics.StatsdMetrics(
            addresses.parse_address(self.settings.statsd)
        )
