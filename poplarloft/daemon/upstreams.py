"""Keeps up with the platform's instance list and the engines' reports."""

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
SAME_REGION_PRICE_MS = 4.0
OTHER_REGION_PRICE_MS = 250.0

ReportListener = abc.Callable[[state.Upstream, engine.EngineState], None]
SignListener = abc.Callable[[coordination.LeavingNotice], None]


class UpstreamService:
    """What this instance knows of the upstreams.

    Parameters
    ----------
    client : http_client.HttpClient
        Connections.
    registry : coordination.UpstreamRegistry
        Which upstreams may get new work.
    load : coordination.LoadView
        What is believed of their load.
    location : state.Location
        Where this instance runs.
    instance_list : state.Address
        The platform's list.
    poll_interval_ms : int
        Time between two polls.
    rng : random.Random
        Draws candidates where there are many.
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
        self.sign_listeners: list[SignListener] = []
        self.shortlist = coordination.Shortlist(rng)
        self.polled_by_me: abc.Callable[[str], bool] = lambda name: True
        self.cache_sequences: dict[str, int] = {}

    async def run(self) -> None:
        """Poll the list and the engines until cancelled."""
        while True:
            await self.poll_list()
            await self.poll_engines()
            await asyncio.sleep(self.poll_interval_ms / MS_PER_S)

    async def poll_list(self) -> None:
        """Fetch the platform's list once."""
        sent = await self.client.send(
            self.instance_list,
            "GET",
            "/v1/instances",
            timeout_ms=POLL_TIMEOUT_MS,
        )
        match sent:
            case result.Success(answer):
                await self._take_list(answer)

    async def poll_engines(self) -> None:
        """Ask each engine that this instance polls for its state."""
        engines = [
            u
            for u in self.registry.of_kind(state.UpstreamKind.ENGINE)
            if self.polled_by_me(u.name)
        ]
        await asyncio.gather(*(self._poll_engine(u) for u in engines))

    def on_leaving(
        self, name: str, incarnation: int, source: coordination.NoticeSource
    ) -> None:
        """Take a sign from a refusal, an upstream or a peer."""
        self._tell(self.registry.on_leaving(name, incarnation, source))

    def on_engine_state(
        self, upstream: state.Upstream, answer: engine.EngineState
    ) -> None:
        """Take an engine's report, polled here or by a peer."""
        now_ms = self.load.clock.now_ms()
        self.load.on_report(engine.load_report(upstream.name, answer, now_ms))
        self._note_cache_gap(upstream.name, answer.cache_sequence)
        if answer.leaving:
            self.on_leaving(
                upstream.name,
                upstream.incarnation,
                coordination.NoticeSource.UPSTREAM,
            )
        for listener in self.report_listeners:
            listener(upstream, answer)

    def candidates(
        self,
        service: str,
        excluded: frozenset[str],
        request: coordination.RouteRequest | None = None,
    ) -> list[coordination.Candidate]:
        """Return eligible upstreams of a service with their load.

        Of many upstreams only those that are worth scoring for
        `request`, near ones if there are any.
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
            self.load.candidate(name, self._price_ms(eligible[name]))
            for name in names
        ]

    def _nearest(self, eligible: dict[str, state.Upstream]) -> tuple[str, ...]:
        """Return the names of this data centre's upstreams."""
        return tuple(
            name
            for name, upstream in eligible.items()
            if upstream.location.data_centre == self.location.data_centre
        )

    def find(self, name: str) -> state.Upstream:
        """Return a known upstream by name."""
        return self.registry.known[name]

    def _price_ms(self, upstream: state.Upstream) -> float:
        if upstream.location.data_centre == self.location.data_centre:
            return 0.0
        if upstream.location.region == self.location.region:
            return SAME_REGION_PRICE_MS
        return OTHER_REGION_PRICE_MS

    async def _take_list(self, answer: http_client.UpstreamAnswer) -> None:
        try:
            body = await answer.read()
            if answer.status != OK:
                return
            upstreams = platform.decode_instances(body)
        except (OSError, msgspec.MsgspecError, errors.ProtocolError) as error:
            eliot.log_message("instance-list-unreadable", error=str(error))
            return
        self._tell(self.registry.on_list(upstreams))

    async def _poll_engine(self, upstream: state.Upstream) -> None:
        sent = await self.client.send(
            upstream.address, "GET", "/v1/state", timeout_ms=POLL_TIMEOUT_MS
        )
        match sent:
            case result.Success(answer):
                try:
                    body = await answer.read()
                    report = engine.decode_engine_state(body)
                except (OSError, msgspec.MsgspecError):
                    return
                self.on_engine_state(upstream, report)

    def _note_cache_gap(self, name: str, sequence: int) -> None:
        known = self.cache_sequences.get(name, sequence)
        if sequence < known:
            self.load.on_cache_gap(name)
        self.cache_sequences[name] = sequence

    def _tell(self, signs: list[coordination.LeavingNotice]) -> None:
        for sign in signs:
            eliot.log_message(
                "upstream-leaving",
                upstream=sign.upstream,
                incarnation=sign.incarnation,
            )
            for listener in self.sign_listeners:
                listener(sign)
