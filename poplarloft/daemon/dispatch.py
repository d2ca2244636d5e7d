"""Sends one request to upstreams until one answers or none is left."""

import asyncio
from collections import abc
import dataclasses

from returns import result

from poplarloft import coordination
from poplarloft.daemon import calls
from poplarloft.daemon import flights
from poplarloft.daemon import resuming
from poplarloft.daemon import upstreams
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["Answer", "Dispatcher"]

SERVICE_UNAVAILABLE = 503
CRASH_CHECK_MS = 300
HEAD_START_MS = 20
PLACE_WAIT_MS = 100
MS_PER_S = 1_000
RESET_KINDS = frozenset(
    {
        coordination.FailureKind.RESET_AFTER_SEND,
        coordination.FailureKind.TRUNCATED_RESPONSE,
    }
)

Answer = result.Result[http.HttpResponse, state.Refusal]
Attempt = result.Result[http.HttpResponse, coordination.Failure]
RumourSink = abc.Callable[[state.GossipUpdate], None]


class Dispatcher:
    """Attempts at upstreams: choice, health, crashes, retries.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    upstream_service : upstreams.UpstreamService
        Eligible upstreams and their load.
    client : http_client.HttpClient
        Connections to upstreams.
    policy : coordination.RoutingPolicy
        Chooses among candidates.
    guard : coordination.PoisonGuard
        Suspects and quarantines.
    spread : callable
        Puts strikes and quarantines into the gossip.
    meter : coordination.UsageMeter
        Books upstream time to owners.
    """

    def __init__(
        self,
        clock: state.Clock,
        upstream_service: upstreams.UpstreamService,
        client: http_client.HttpClient,
        policy: coordination.RoutingPolicy,
        guard: coordination.PoisonGuard,
        spread: RumourSink,
        meter: coordination.UsageMeter,
    ) -> None:
        self.clock = clock
        self.upstreams = upstream_service
        self.client = client
        self.policy = policy
        self.guard = guard
        self.spread = spread
        self.meter = meter
        self.health = coordination.HealthTracker(clock)
        self.resumer = resuming.StreamResumer(self._send_rest)
        self.budgets: dict[tuple[str, str], coordination.RetryBudget] = {}

    async def dispatch(self, call: calls.RelayCall) -> Answer:
        """Try upstreams until one answers or the plan gives up."""
        plan = coordination.AttemptPlan(
            self.clock,
            self._budget(call),
            call.repeatable,
            call.deadline_ms,
            call.route.max_attempts,
        )
        excluded: frozenset[str] = frozenset()
        while True:
            standing = self.guard.status_of(call.fingerprint)
            if standing is coordination.FingerprintStatus.QUARANTINED:
                return result.Failure(flights.quarantined(plan))
            candidates = self._candidates(call, standing, excluded)
            if not candidates and self._may_wait(call, standing):
                # Another suspect's run or a restart ends soon.
                await asyncio.sleep(PLACE_WAIT_MS / MS_PER_S)
                continue
            if not candidates:
                give_up = plan.on_no_upstream(call.route.service)
                return result.Failure(give_up.refusal)
            match await self._attempt(call, candidates):
                case result.Success(response):
                    plan.budget.on_success()
                    self._absolve(call, response)
                    return result.Success(response)
                case result.Failure(failure):
                    decision = plan.on_failure(failure)
            match decision:
                case coordination.GiveUp(refusal):
                    return result.Failure(refusal)
                case coordination.Retry(tried):
                    excluded = tried

    def _may_wait(
        self, call: calls.RelayCall, standing: coordination.FingerprintStatus
    ) -> bool:
        """Tell whether a suspect has time to wait for a place."""
        now_ms = self.clock.now_ms()
        return (
            standing is coordination.FingerprintStatus.SUSPECT
            and now_ms + PLACE_WAIT_MS < call.deadline_ms
        )

    def _candidates(
        self,
        call: calls.RelayCall,
        standing: coordination.FingerprintStatus,
        excluded: frozenset[str],
    ) -> list[coordination.Candidate]:
        """Return healthy candidates; one without suspects for a suspect.

        A suspect's place is chosen among all upstreams, since all
        instances must agree on it.
        """
        clear = standing is coordination.FingerprintStatus.CLEAR
        candidates = self.upstreams.candidates(
            call.route.service,
            excluded,
            call.route_request if clear else None,
        )
        usable = set(self.health.usable([c.name for c in candidates]))
        candidates = [c for c in candidates if c.name in usable]
        if clear or not candidates:
            return candidates
        by_name = {c.name: c for c in candidates}
        place = self.guard.placement(call.fingerprint, by_name)
        return [by_name[place]] if place is not None else []

    async def _attempt(
        self, call: calls.RelayCall, candidates: list[coordination.Candidate]
    ) -> Attempt:
        route_request = call.route_request
        name = self.policy.choose(route_request, candidates).name
        upstream = self.upstreams.find(name)
        self.health.on_chosen(name)
        finish = self._note_dispatch(call, upstream, route_request)
        outcome = await self._send(call, upstream)
        match outcome:
            case result.Success(http.HttpResponse(body=body) as response):
                finish.purpose = flights.PURPOSE_ANSWERED
                self.health.on_success(name)
                if not isinstance(body, bytes):
                    watched = self._watch_stream(body, upstream, finish)
                    if self.resumer.applies(call, upstream):
                        watched = self.resumer.relay(call, upstream, watched)
                    return result.Success(
                        dataclasses.replace(response, body=watched)
                    )
            case result.Failure(failure):
                await self._on_failure(upstream, failure.kind)
        finish()
        return outcome

    async def _send_rest(
        self,
        call: calls.RelayCall,
        excluded: frozenset[str],
        weight_version: int | None,
    ) -> Attempt:
        """Send a broken stream's rest to an engine of its version."""
        standing = self.guard.status_of(call.fingerprint)
        candidates = [
            candidate
            for candidate in self._candidates(call, standing, excluded)
            if self._serves(candidate.name, weight_version)
        ]
        quarantined = standing is coordination.FingerprintStatus.QUARANTINED
        if quarantined or not candidates:
            return result.Failure(
                coordination.Failure(
                    "",
                    coordination.FailureKind.TRUNCATED_RESPONSE,
                    "no engine",
                )
            )
        name = self.policy.choose(call.route_request, candidates).name
        upstream = self.upstreams.find(name)
        finish = self._note_dispatch(call, upstream, call.route_request)
        outcome = await self._send(call, upstream)
        match outcome:
            case result.Success(http.HttpResponse(body=body) as response):
                if not isinstance(body, bytes):
                    finish.purpose = flights.PURPOSE_ANSWERED
                    rest = self._watch_stream(body, upstream, finish)
                    return result.Success(
                        dataclasses.replace(response, body=rest)
                    )
        finish()
        return outcome

    def _serves(self, name: str, weight_version: int | None) -> bool:
        """Tell whether an engine last reported a weight version."""
        report = self.upstreams.load.reports.get(name)
        if weight_version is None:
            return True
        return report is not None and report.weight_version == weight_version

    def _absolve(
        self, call: calls.RelayCall, response: http.HttpResponse
    ) -> None:
        if isinstance(response.body, bytes):
            for rumour in self.guard.on_completed(call.fingerprint):
                self.spread(rumour)

    def _note_dispatch(
        self,
        call: calls.RelayCall,
        upstream: state.Upstream,
        route_request: coordination.RouteRequest,
    ) -> flights.Flight:
        """Count a request in flight; the result ends the count."""
        name, incarnation = upstream.name, upstream.incarnation
        return flights.Flight(
            self,
            call,
            upstream,
            self.upstreams.load.on_dispatch(name, route_request),
            self.guard.on_dispatch(name, incarnation, call.fingerprint),
            self.clock.now_ms(),
        )

    async def _watch_stream(
        self,
        body: abc.AsyncIterator[bytes],
        upstream: state.Upstream,
        finish: flights.Flight,
    ) -> abc.AsyncIterator[bytes]:
        """Yield a streamed body; take its break for a possible crash."""
        try:
            async for piece in body:
                yield piece
        except http_client.AnswerCut:
            kind = coordination.FailureKind.TRUNCATED_RESPONSE
            await self._on_failure(upstream, kind)
            raise
        finally:
            finish()
            await body.aclose()  # type: ignore[attr-defined]

    async def _on_failure(
        self, upstream: state.Upstream, kind: coordination.FailureKind
    ) -> None:
        is_down = kind is coordination.FailureKind.CONNECT_REFUSED
        if kind is not coordination.FailureKind.REFUSED_WITH_PROOF:
            self.health.on_failure(upstream.name, is_down)
        if kind in RESET_KINDS:
            await self._check_crash(upstream)

    async def _check_crash(self, upstream: state.Upstream) -> None:
        """Tell a crash from a lost connection: does it still listen?"""
        name, incarnation = upstream.name, upstream.incarnation
        self.guard.on_reset(name, incarnation)
        sent = await self.client.send(
            upstream.address,
            "GET",
            "/healthz",
            timeout_ms=CRASH_CHECK_MS,
            fresh=True,
        )
        match sent:
            case result.Success(answer):
                answer.close()
                self.guard.on_reset_without_crash(name, incarnation)
            case _:
                self.health.on_failure(name, is_down=True)
                rumours = self.guard.on_crash(name, incarnation)
                for rumour in rumours:
                    self.spread(rumour)
                    flights.log_quarantine(rumour)
                # Strikes must reach the neighbours before a resend does.
                await asyncio.sleep(HEAD_START_MS / MS_PER_S)

    async def _send(
        self, call: calls.RelayCall, upstream: state.Upstream
    ) -> Attempt:
        sent = await self.client.send(
            upstream.address,
            call.request.method,
            call.target,
            calls.forwarded_headers(call.request.headers),
            call.request.body,
            max(1, call.deadline_ms - self.clock.now_ms()),
            fresh=not call.repeatable,
        )
        match sent:
            case result.Success(answer):
                return await self._take_answer(call, upstream, answer)
            case result.Failure(failure):
                return result.Failure(
                    coordination.Failure(
                        upstream.name, failure.kind, failure.detail
                    )
                )
        raise AssertionError(sent)

    async def _take_answer(
        self,
        call: calls.RelayCall,
        upstream: state.Upstream,
        answer: http_client.UpstreamAnswer,
    ) -> Attempt:
        """Return the upstream's answer, or the failure that it means."""
        if answer.status == SERVICE_UNAVAILABLE:
            return self._take_refusal(upstream, answer)
        headers = calls.returned_headers(answer.headers)
        if call.route.streamed:
            return result.Success(
                http.HttpResponse(answer.status, headers, answer.chunks())
            )
        try:
            body = await answer.read()
        except http_client.AnswerCut as error:
            return result.Failure(
                coordination.Failure(
                    upstream.name,
                    coordination.FailureKind.TRUNCATED_RESPONSE,
                    str(error),
                )
            )
        return result.Success(http.HttpResponse(answer.status, headers, body))

    def _take_refusal(
        self, upstream: state.Upstream, answer: http_client.UpstreamAnswer
    ) -> Attempt:
        """Tell a refusal with the upstream's proof from one without."""
        proven = answer.headers.get(http.NOT_EXECUTED_HEADER) == "true"
        if answer.headers.get(http.LEAVING_HEADER) == "true":
            self.upstreams.on_leaving(
                upstream.name,
                upstream.incarnation,
                coordination.NoticeSource.REFUSAL,
            )
        answer.close()
        kind = coordination.FailureKind.REFUSED_WITHOUT_PROOF
        if proven:
            kind = coordination.FailureKind.REFUSED_WITH_PROOF
        return result.Failure(coordination.Failure(upstream.name, kind))

    def _budget(self, call: calls.RelayCall) -> coordination.RetryBudget:
        budget = self.budgets.get(call.flow_key)
        if budget is None:
            budget = coordination.RetryBudget(self.clock)
            self.budgets[call.flow_key] = budget
        return budget
