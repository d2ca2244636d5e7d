"""Polls the platform's instance list and the state of engines."""

import asyncio
from collections import abc
import random

import eliot
import msgspec
from returns import result

from poplarloft import coordination
from poplarloft.protocol import engine
from poplarloft.protocol import errors
from poplarloft.protocol import platform
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["UpstreamService"]

MS_PER_S = 1_000
POLL_TIMEOUT_MS = 1_000
OK = 200
MAX_LIST_BYTES = 16_777_216
MAX_STATE_BYTES = 4_194_304
SAME_REGION_COST_MS = 4.0
OTHER_REGION_COST_MS = 250.0

ReportListener = abc.Callable[[state.Upstream, engine.EngineState], None]
NoticeListener = abc.Callable[[coordination.LeavingNotice], None]


class UpstreamService:
    """The upstreams as known to this instance.

    Parameters
    ----------
    client : http_client.HttpClient
        Connections to the platform and to engines.
    registry : coordination.UpstreamRegistry
        Known upstreams and which of them may get new work.
    load : coordination.LoadView
        Estimated load of the upstreams.
    location : state.Location
        Where this instance runs.
    instance_list : state.Address
        Address of the platform's instance list.
    poll_interval_ms : int
        Interval between polls.
    rng : random.Random
        Draws candidates when there are too many to score all.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        registry: coordination.UpstreamRegistry,
        load: coordination.LoadView,
        location: state.Location,
        instance_list: state.Address,
        poll_interval_ms: int,
        rng: random.Random,
    ) -> None:
        self.client = client
        self.registry = registry
        self.load = load
        self.location = location
        self.instance_list = instance_list
        self.poll_interval_ms = poll_interval_ms
        self.report_listeners: list[ReportListener] = []
        self.notice_listeners: list[NoticeListener] = []
        self.shortlist = coordination.Shortlist(rng)
        self.is_polled_here: abc.Callable[[str], bool] = lambda name: True
        self.cache_sequences: dict[str, int] = {}

    async def run(self) -> None:
        """Poll the instance list and the engines until cancelled."""
        while True:
            await self.poll_list()
            await self.poll_engines()
            await asyncio.sleep(self.poll_interval_ms / MS_PER_S)

    async def poll_list(self) -> None:
        """Fetch the instance list once."""
        sent = await self.client.send(
            self.instance_list,
            "GET",
            "/v1/instances",
            timeout_ms=POLL_TIMEOUT_MS,
        )
        match sent:
            case result.Success(response):
                await self._apply_list(response)

    async def poll_engines(self) -> None:
        """Fetch the state of each engine that this instance polls."""
        engines = [
            u
            for u in self.registry.of_kind(state.UpstreamKind.ENGINE)
            if self.is_polled_here(u.name)
        ]
        await asyncio.gather(*(self._poll_engine(u) for u in engines))

    def on_leaving(
        self, name: str, incarnation: int, source: coordination.NoticeSource
    ) -> None:
        """Record that an incarnation of an upstream is leaving.

        `source` says who reported it. Listeners are notified if it is new.
        """
        self._report_leaving(
            self.registry.on_leaving(name, incarnation, source)
        )

    def on_engine_state(
        self, upstream: state.Upstream, report: engine.EngineState
    ) -> None:
        """Apply an engine's report, polled here or by a peer."""
        now_ms = self.load.clock.now_ms()
        self.load.on_report(engine.load_report(upstream.name, report, now_ms))
        self._check_cache_sequence(upstream.name, report.cache_sequence)
        if report.leaving:
            self.on_leaving(
                upstream.name,
                upstream.incarnation,
                coordination.NoticeSource.UPSTREAM,
            )
        for listener in self.report_listeners:
            listener(upstream, report)

    def candidates(
        self,
        service: str,
        excluded: frozenset[str],
        request: coordination.RouteRequest | None = None,
    ) -> list[coordination.Candidate]:
        """Return the eligible upstreams of a service with their load.

        If there are more than the shortlist takes, return only those that
        are worth scoring for `request`, chosen from this data centre's
        upstreams if it has any.
        """
        eligible = {
            u.name: u
            for u in self.registry.eligible(service)
            if u.name not in excluded
        }
        names = tuple(eligible)
        if request is not None and len(names) > self.shortlist.length:
            names = self._nearest(eligible) or names
            names = tuple(self.shortlist.choose(request, names))
        return [
            self.load.candidate(name, self._distance_cost_ms(eligible[name]))
            for name in names
        ]

    def _nearest(self, eligible: dict[str, state.Upstream]) -> tuple[str, ...]:
        """Return the names of the upstreams in this data centre."""
        return tuple(
            name
            for name, upstream in eligible.items()
            if upstream.location.data_centre == self.location.data_centre
        )

    def find(self, name: str) -> state.Upstream:
        """Return a known upstream; raises `KeyError` for another name."""
        return self.registry.known[name]

    def _distance_cost_ms(self, upstream: state.Upstream) -> float:
        if upstream.location.data_centre == self.location.data_centre:
            return 0.0
        if upstream.location.region == self.location.region:
            return SAME_REGION_COST_MS
        return OTHER_REGION_COST_MS

    async def _apply_list(
        self, response: http_client.UpstreamResponse
    ) -> None:
        try:
            body = await response.read(MAX_LIST_BYTES)
            if response.status != OK:
                return
            upstreams = platform.decode_instances(body)
        except (OSError, msgspec.MsgspecError, errors.ProtocolError) as error:
            eliot.log_message("instance-list-unreadable", error=str(error))
            return
        self._report_leaving(self.registry.on_list(upstreams))

    async def _poll_engine(self, upstream: state.Upstream) -> None:
        sent = await self.client.send(
            upstream.address, "GET", "/v1/state", timeout_ms=POLL_TIMEOUT_MS
        )
        match sent:
            case result.Success(response):
                try:
                    body = await response.read(MAX_STATE_BYTES)
                    report = engine.decode_engine_state(body)
                except (OSError, msgspec.MsgspecError):
                    return
                self.on_engine_state(upstream, report)

    def _check_cache_sequence(self, name: str, sequence: int) -> None:
        known = self.cache_sequences.get(name, sequence)
        if sequence < known:
            self.load.on_cache_gap(name)
        self.cache_sequences[name] = sequence

    def _report_leaving(
        self, notices: list[coordination.LeavingNotice]
    ) -> None:
        for notice in notices:
            eliot.log_message(
                "upstream-leaving",
                upstream=notice.upstream,
                incarnation=notice.incarnation,
            )
            for listener in self.notice_listeners:
                listener(notice)
