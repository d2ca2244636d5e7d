"""The role `entry`: serves clients and trainers."""

import asyncio
import dataclasses

import eliot
from returns import result

from poplarloft import coordination
from poplarloft.coordination import accounts
from poplarloft.coordination import clients
from poplarloft.coordination import serving
from poplarloft.daemon.serving.accounts import account_gate
from poplarloft.daemon.serving import base
from poplarloft.daemon.serving.fleet import feed_link
from poplarloft.daemon.serving.leadership import leader_witness
from poplarloft.daemon.serving.metering import usage_link
from poplarloft.daemon.serving.requests import crash_guard
from poplarloft.daemon.serving.requests import crash_news
from poplarloft.daemon.serving.requests import forwarding
from poplarloft.daemon.serving.requests import upstream_choice
from poplarloft.daemon.serving.requests import upstream_room
from poplarloft.daemon.serving.rollouts import lot_intake
from poplarloft.daemon.serving.rollouts import lot_requests
from poplarloft.daemon.serving.rollouts import lot_service
from poplarloft.daemon.serving.store import view
from poplarloft.platform import ingress
from poplarloft.platform import samplers
from poplarloft.protocol import addresses
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.protocol import serving_settings
from poplarloft import state
from poplarloft.transport import http_server

__all__ = ["EntryDaemon"]

MS_PER_S = 1_000
EXIT_MARGIN_MS = 500
RESPONSE_MARGIN_MS = 300  # for the last responses to be written
START_RETRY_MS = 100  # about the duration of the first listing of the store
# Pause between two watches, as a fraction of the time allowed to notice that
# an upstream is leaving.
WATCH_PAUSE_SHARE = 0.4


class EntryDaemon(base.ServingBase):
    """A daemon that serves clients.

    Parameters
    ----------
    settings : serving_settings.ServingSettings
        Validated settings.
    """

    def __init__(self, settings: serving_settings.ServingSettings) -> None:
        super().__init__(settings)
        self.operator = view.OperatorView(self.clock)
        self.samplers = view.SamplerView(
            self.clock,
            int(WATCH_PAUSE_SHARE * settings.leaving_bound_ms),
            self.last_use_ms,
        )
        client = self.make_sampler_client(self.samplers)
        self.guard = self._make_guard(client)
        balancer = self.make_balancer()
        chooser = upstream_choice.UpstreamChooser(
            self.samplers.registry,
            client,
            balancer,
            self.rng,
            self.limits,
            self.guard,
        )
        self.leader_location = serving.LeaderLocation(self.clock)
        self.witness = leader_witness.LeaderWitness(
            self.clock, settings.name, self.peers
        )
        self.usage = usage_link.UsageLink(
            state.SteadyWallClock(self.wall_clock, state.BootClock()),
            settings.name,
            settings.metering_rules(),
            self.peers,
            self.leader_location,
        )
        self.client_limits = http_server.share_limits(self.shares.requests)
        self.request_server = self._make_server(
            self.handle, self.client_limits
        )
        self.room = upstream_room.UpstreamRoom(
            self.clock,
            client,
            self.samplers.registry,
            self.task_set,
            self.request_server.buffers,
        )
        self.forwarder = forwarding.Forwarder(
            self.clock,
            client,
            balancer,
            chooser,
            self.guard,
            self.streams,
            self.origins,
            self.usage,
            self.room,
        )
        self.lot_service = lot_service.LotService(
            self.clock,
            self.wall_clock,
            self.store,
            int(settings.lot_kept_s * MS_PER_S),
            self.notify_leader,
            self.shares.lot_bytes,
        )
        self.lot_requests = lot_requests.LotRequests(
            self.lot_service,
            lot_intake.LotIntake(
                self.lot_service,
                self.shares.lot_bytes,
                lambda: self.leader_location.is_full,
            ),
        )
        self.gate = account_gate.AccountGate(
            self.clock,
            self.operator,
            self.store,
            accounts.RevocationRules(
                settings.revocation_bound_ms, settings.revokes_strictly
            ),
        )
        self.feed: feed_link.FeedLink | None = None
        self.is_stopping = False
        self.readiness_server = self._make_server(
            self.answer_readiness,
            http_server.share_limits(self.shares.control),
        )
        self.upstream_client.on_exhausted = (
            self.request_server.buffers.free_channel
        )
        self.request_server.buffers.on_stalled = self.room.on_stalled
        self.operator.listeners.append(self._apply_limits)
        self.samplers.listeners.append(
            lambda: self.limits.follow(self.samplers.registry)
        )
        self.samplers.listeners.append(self.guard.on_announcements)
        self.origins.follow(self.samplers)
        self.membership.listeners.append(self.guard.news.on_peers)

    def _make_guard(
        self, client: samplers.SamplerClient
    ) -> crash_guard.CrashGuard:
        guard = coordination.PoisonGuard(
            self.clock,
            self.wall_clock,
            coordination.PLATFORM_POISON_SETTINGS,
        )
        news = crash_news.CrashNews(
            self.clock,
            self.wall_clock,
            self.settings.name,
            guard,
            self.store,
            self.peers,
            lambda: self.membership.members,
        )
        return crash_guard.CrashGuard(
            self.clock,
            guard,
            news,
            self.samplers.registry,
            client,
            self.task_set,
        )

    async def start(self) -> None:
        """Start following the store and open the listeners."""
        settings = self.settings
        if settings.listen is None:
            raise errors.FieldError("--listen", "required with --duty=entry")
        if settings.ready_listen is None:
            raise errors.FieldError(
                "--ready-listen", "required with --duty=entry"
            )
        self.start_feed()
        await self.start_relay()
        self.operator.start(self.store, self.task_set, self.feed)
        self.samplers.start(self.store, self.task_set, self.feed)
        self.guard.news.start(self.task_set, self.feed)
        self.task_set.supervise(self.usage.run)
        self.streams.start(self.task_set)
        self.origins.start(self.task_set)
        await self.readiness_server.start(
            addresses.parse_address(settings.ready_listen)
        )
        await self.request_server.start(
            addresses.parse_address(settings.listen)
        )

    def start_feed(self) -> None:
        """Exchange store updates with peers if `peer_listen` is set."""
        settings = self.settings
        if settings.peer_listen is None:
            return
        max_change_delay_ms = min(
            settings.leaving_bound_ms, settings.configuration_bound_ms
        )
        self.peers.start(addresses.parse_address(settings.peer_listen))
        self.feed = feed_link.FeedLink(
            self.clock, settings.name, max_change_delay_ms, self.peers
        )
        self.feed.start(self.task_set)
        self.peers.on(state.LeaderAnnouncement, self.leader_location.on_leader)

    def _feed_address(self) -> state.Address | None:
        return None if self.feed is None else self.feed.reader.address

    def _on_members(self) -> None:
        if self.feed is not None:
            self.feed.update_members(self.membership.members)
        super()._on_members()

    def notify_leader(self, message: state.ServingMessage) -> None:
        """Send a hint to the leader if its address is known."""
        address = self.leader_location.address()
        if address is not None:
            self.peers.send(address, message)

    async def stop(self) -> None:
        """Drain requests in flight within `grace_s`, then shut down."""
        self.is_stopping = True
        self.task_set.spawn(self.membership.leave())
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self.settings.grace_s
        margin_ms = EXIT_MARGIN_MS + RESPONSE_MARGIN_MS
        self.forwarder.stopping.set(
            max(0, self.settings.grace_s * MS_PER_S - margin_ms)
        )
        await asyncio.sleep(self.settings.drain_notice_ms / MS_PER_S)
        remaining_ms = (end_s - loop.time()) * MS_PER_S - EXIT_MARGIN_MS
        cut = await self.request_server.drain(max(0, int(remaining_ms)))
        self.usage.tell()
        await self.readiness_server.drain(0)
        await self.relay.stop()
        await self.lot_service.stop()
        await self.task_set.cancel_all()
        self.peers.close()
        self.close_clients()
        eliot.log_message("stopped", cut=cut, store_calls=self.store.calls)

    def uses(self) -> list[clients.ResourceUse]:
        """Return what clients and other instances take at the moment."""
        requests = self.request_server.buffers.uses("request")
        return [*super().uses(), *requests, self.lot_requests.intake.use()]

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should route clients to this daemon."""
        return (
            not self.is_stopping
            and self.operator.configuration is not None
            and self.samplers.is_listed.is_set()
            and self.guard.news.is_read.is_set()
        )

    async def answer_readiness(
        self, request: http.HttpRequest
    ) -> http.HttpResponse:
        """Answer a readiness probe of the load balancer."""
        if not ingress.is_readiness_probe(request):
            return ingress.plain_response(404)
        return ingress.plain_response(200 if self.is_ready else 503)

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Answer a request of a client or trainer."""
        try:
            return await self._handle(request)
        except errors.ProtocolError as error:
            eliot.log_message(
                "request-malformed",
                request=ingress.request_id(request),
                path=request.path[:200],
                error=str(error)[:200],
            )
            return ingress.refusal_response(
                state.Refusal(
                    state.Reason.BAD_REQUEST,
                    state.Verdict.NOT_RUN,
                    str(error),
                )
            )

    async def _handle(self, request: http.HttpRequest) -> http.HttpResponse:
        lot_call = ingress.parse_lot_call(request)
        if lot_call is not None:
            match await self.gate.admit(request, is_public=False):
                case result.Success(caller):
                    return await self.lot_requests.answer(lot_call, caller)
                case result.Failure(refusal):
                    return ingress.refusal_response(refusal)
        configuration = self.operator.configuration
        if configuration is None:
            return self._refuse(
                request, state.Reason.NOT_READY, "no configuration loaded yet"
            )
        host = ingress.request_host(request)
        route = configuration.find_route(host, request.path)
        if route is None:
            return self._refuse(
                request,
                state.Reason.UNKNOWN_ROUTE,
                f"no route for {host}{request.path[:100]} in configuration "
                f"{configuration.version}",
            )
        match await self.gate.admit(request, route.is_public):
            case result.Success(caller):
                return await self._serve(request, route, caller)
            case result.Failure(refusal):
                return ingress.refusal_response(refusal)
        raise AssertionError(route)

    async def _serve(
        self,
        request: http.HttpRequest,
        route: state.PathRoute,
        caller: state.Caller | None,
    ) -> http.HttpResponse:
        """Answer a request of an admitted caller to a route."""
        if route.kind is state.RouteKind.LOTS:
            return await self.lot_requests.accept(request, caller)
        if not self.guard.news.is_read.is_set():
            return self._refuse(
                request, state.Reason.NOT_READY, "crash news not read yet"
            )
        configuration = self.operator.configuration
        if caller is not None and configuration is not None:
            route = configuration.route_for(caller.account, route)
        call = ingress.forwarded_call(request, caller)
        return await self.forwarder.handle(call, route)

    def _refuse(
        self, request: http.HttpRequest, reason: state.Reason, detail: str
    ) -> http.HttpResponse:
        eliot.log_message(
            "request-refused",
            request=ingress.request_id(request),
            reason=reason.value,
            verdict=state.Verdict.NOT_RUN.value,
            detail=detail,
        )
        retry_ms = None
        if reason is state.Reason.NOT_READY:
            retry_ms = START_RETRY_MS
        refusal = state.Refusal(
            reason, state.Verdict.NOT_RUN, detail, retry_ms
        )
        return ingress.refusal_response(refusal)

    def _make_server(
        self, handler: http_server.Handler, limits: http_server.ServerLimits
    ) -> http_server.HttpServer:
        return http_server.HttpServer(
            handler,
            limits,
            self._max_body_bytes,
            cancel_on_disconnect=True,
            may_stream=self._may_stream,
        )

    def _max_body_bytes(self, path: str) -> int:
        configuration = self.operator.configuration
        limits = configuration.limits if configuration else None
        return (limits or state.ServingLimits()).max_body_bytes

    def _may_stream(self, path: str) -> bool:
        """Return whether request bodies to a path may be streamed.

        Bodies of lots are read completely, as they are decoded here.
        """
        configuration = self.operator.configuration
        return configuration is not None and not any(
            path.startswith(route.prefix)
            for route in configuration.routes
            if route.kind is state.RouteKind.LOTS
        )

    def _apply_limits(self) -> None:
        configuration = self.operator.configuration
        if configuration is None:
            return
        limits = configuration.limits
        self.request_server.limits = dataclasses.replace(
            self.client_limits,
            max_head_bytes=limits.max_head_bytes,
            head_timeout_ms=limits.head_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        )
        self.request_server.allow_bodies_of(limits.max_body_bytes)
