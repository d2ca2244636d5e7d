"""Dispatch of a request to upstreams, with retries and crash detection."""

import asyncio
from collections import abc
import dataclasses

from returns import result

from poplarloft import coordination
from poplarloft.daemon import attempts
from poplarloft.daemon import calls
from poplarloft.daemon import quarantines
from poplarloft.daemon import resuming
from poplarloft.daemon import upstreams
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["Dispatcher", "Outcome"]

OK = 200
SERVICE_UNAVAILABLE = 503
MAX_RESPONSE_BYTES = 33_554_432  # a streamed response has no limit
CRASH_CHECK_TIMEOUT_MS = 300
# Crash counts get this much time to reach the neighbours before the request
# is sent again.
GOSSIP_HEAD_START_MS = 20
# Interval at which a suspect without an upstream looks for one again.
SUSPECT_WAIT_MS = 100
MS_PER_S = 1_000
NO_TROUBLE_KINDS = frozenset(
    {
        coordination.FailureKind.REFUSED_WITH_PROOF,
        coordination.FailureKind.NO_CONNECTION_FREE,
    }
)
RESET_KINDS = frozenset(
    {
        coordination.FailureKind.RESET_AFTER_SEND,
        coordination.FailureKind.TRUNCATED_RESPONSE,
    }
)

Outcome = result.Result[http.HttpResponse, state.Refusal]
AttemptOutcome = result.Result[http.HttpResponse, coordination.Failure]
UpdateSink = abc.Callable[[state.GossipUpdate], None]


class Dispatcher:
    """Chooses upstreams, tracks their health and crashes, and retries.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    upstream_service : upstreams.UpstreamService
        Eligible upstreams and their load.
    client : http_client.HttpClient
        Sends requests to upstreams.
    policy : coordination.RoutingPolicy
        Chooses among candidates.
    guard : coordination.PoisonGuard
        Which fingerprints are suspect or quarantined.
    publish : callable
        Publishes crash counts and quarantines by gossip.
    meter : coordination.UsageMeter
        Meters upstream time for owners.
    """

    def __init__(
        self,
        clock: state.Clock,
        upstream_service: upstreams.UpstreamService,
        client: http_client.HttpClient,
        policy: coordination.RoutingPolicy,
        guard: coordination.PoisonGuard,
        publish: UpdateSink,
        meter: coordination.UsageMeter,
    ) -> None:
        self.clock = clock
        self.upstreams = upstream_service
        self.client = client
        self.policy = policy
        self.guard = guard
        self.publish = publish
        self.meter = meter
        self.health = coordination.HealthTracker(clock)
        self.resumer = resuming.StreamResumer(self._resume)
        self.budgets: dict[tuple[str, str], coordination.RetryBudget] = {}

    async def dispatch(self, call: calls.RelayCall) -> Outcome:
        """Try upstreams until one responds or the attempt plan gives up."""
        plan = coordination.AttemptPlan(
            self.clock,
            self._budget(call),
            call.repeatable,
            call.deadline_ms,
            call.route.max_attempts,
        )
        excluded: frozenset[str] = frozenset()
        while True:
            status = self.guard.status_of(call.fingerprint)
            if status is coordination.FingerprintStatus.QUARANTINED:
                return result.Failure(
                    quarantines.quarantined_refusal(plan.verdict)
                )
            candidates = self._candidates(call, status, excluded)
            if not candidates and self._should_wait(call, status):
                # An upstream is available again soon, when another
                # suspect's request or a restart ends.
                await asyncio.sleep(SUSPECT_WAIT_MS / MS_PER_S)
                continue
            if not candidates:
                give_up = plan.on_no_upstream(call.route.service)
                return result.Failure(give_up.refusal)
            match await self._attempt(call, candidates):
                case result.Success(response):
                    plan.budget.on_success()
                    self._clear_suspicion(call, response)
                    return result.Success(response)
                case result.Failure(failure):
                    decision = plan.on_failure(failure)
            match decision:
                case coordination.GiveUp(refusal):
                    return result.Failure(refusal)
                case coordination.Retry(tried):
                    excluded = tried

    def _should_wait(
        self, call: calls.RelayCall, status: coordination.FingerprintStatus
    ) -> bool:
        """Return whether a suspect has time to wait for an upstream."""
        now_ms = self.clock.now_ms()
        return (
            status is not coordination.FingerprintStatus.CLEAR
            and now_ms + SUSPECT_WAIT_MS < call.deadline_ms
        )

    def _candidates(
        self,
        call: calls.RelayCall,
        status: coordination.FingerprintStatus,
        excluded: frozenset[str],
    ) -> list[coordination.Candidate]:
        """Return healthy candidates; for a suspect, at most one.

        That one runs no other active suspect. It is chosen among all
        upstreams, not by the request's routing, since all instances must
        agree on it. A request on hold has none.
        """
        if status is coordination.FingerprintStatus.ON_HOLD:
            return []
        is_clear = status is coordination.FingerprintStatus.CLEAR
        candidates = self.upstreams.candidates(
            call.route.service,
            excluded,
            call.route_request if is_clear else None,
        )
        usable = set(self.health.usable([c.name for c in candidates]))
        candidates = [c for c in candidates if c.name in usable]
        if is_clear or not candidates:
            return candidates
        by_name = {c.name: c for c in candidates}
        chosen = self.guard.placement(call.fingerprint, by_name)
        return [by_name[chosen]] if chosen is not None else []

    async def _attempt(
        self, call: calls.RelayCall, candidates: list[coordination.Candidate]
    ) -> AttemptOutcome:
        route_request = call.route_request
        name = self.policy.choose(route_request, candidates).name
        upstream = self.upstreams.find(name)
        self.health.on_chosen(name)
        finish = self._begin_attempt(call, upstream, route_request)
        outcome = await self._send(call, upstream)
        match outcome:
            case result.Success(http.HttpResponse(body=body) as response):
                finish.purpose = attempts.PURPOSE_ANSWERED
                self.health.on_success(name)
                if not isinstance(body, bytes):
                    watched = self._watch_stream(body, upstream, finish)
                    is_ok = response.status == OK
                    if is_ok and self.resumer.can_resume(call, upstream):
                        watched = self.resumer.relay_stream(
                            call, upstream, watched
                        )
                    return result.Success(
                        dataclasses.replace(response, body=watched)
                    )
            case result.Failure(failure):
                await self._on_failure(upstream, failure.kind)
        finish()
        return outcome

    async def _resume(
        self,
        call: calls.RelayCall,
        excluded: frozenset[str],
        weight_version: int | None,
    ) -> resuming.ResumeOutcome:
        """Request the rest of an interrupted stream from another engine.

        Only engines that report `weight_version` are tried.
        """
        status = self.guard.status_of(call.fingerprint)
        candidates = [
            candidate
            for candidate in self._candidates(call, status, excluded)
            if self._serves_version(candidate.name, weight_version)
        ]
        quarantined = status is coordination.FingerprintStatus.QUARANTINED
        if quarantined or not candidates:
            return result.Failure(
                coordination.Failure(
                    "",
                    coordination.FailureKind.TRUNCATED_RESPONSE,
                    "no engine can resume the stream",
                )
            )
        name = self.policy.choose(call.route_request, candidates).name
        upstream = self.upstreams.find(name)
        finish = self._begin_attempt(call, upstream, call.route_request)
        outcome = await self._send(call, upstream)
        match outcome:
            case result.Success(http.HttpResponse(status=200, body=body)):
                if not isinstance(body, bytes):
                    finish.purpose = attempts.PURPOSE_ANSWERED
                    rest = self._watch_stream(body, upstream, finish)
                    return result.Success(resuming.ResumedStream(name, rest))
        finish()
        match outcome:
            case result.Success(response):
                await calls.discard(response)
                kind = coordination.FailureKind.REFUSED_WITHOUT_PROOF
                detail = f"status {response.status}"
                return result.Failure(coordination.Failure(name, kind, detail))
            case result.Failure(failure):
                return result.Failure(failure)
        raise AssertionError(outcome)

    def _serves_version(self, name: str, weight_version: int | None) -> bool:
        """Return whether an engine last reported a weight version."""
        report = self.upstreams.load.reports.get(name)
        if weight_version is None:
            return True
        return report is not None and report.weight_version == weight_version

    def _clear_suspicion(
        self, call: calls.RelayCall, response: http.HttpResponse
    ) -> None:
        if isinstance(response.body, bytes):
            for update in self.guard.on_completed(call.fingerprint):
                self.publish(update)

    def _begin_attempt(
        self,
        call: calls.RelayCall,
        upstream: state.Upstream,
        route_request: coordination.RouteRequest,
    ) -> attempts.AttemptInFlight:
        """Count a request in flight; call the result when it has ended."""
        name, incarnation = upstream.name, upstream.incarnation
        return attempts.AttemptInFlight(
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
        finish: attempts.AttemptInFlight,
    ) -> abc.AsyncIterator[bytes]:
        """Yield a streamed body; if truncated, check for a crash."""
        try:
            async for piece in body:
                yield piece
        except http_client.TruncatedResponseError:
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
        if kind not in NO_TROUBLE_KINDS:
            self.health.on_failure(upstream.name, is_down)
        if kind in RESET_KINDS:
            await self._check_crash(upstream)

    async def _check_crash(self, upstream: state.Upstream) -> None:
        """Treat a reset as a crash if the upstream no longer listens."""
        name, incarnation = upstream.name, upstream.incarnation
        self.guard.on_reset(name, incarnation)
        sent = await self.client.send(
            upstream.address,
            "GET",
            "/healthz",
            timeout_ms=CRASH_CHECK_TIMEOUT_MS,
            new_connection=True,
        )
        match sent:
            case result.Success(answer):
                answer.close()
                self.guard.on_reset_without_crash(name, incarnation)
            case _:
                self.health.on_failure(name, is_down=True)
                updates = self.guard.on_crash(name, incarnation)
                for update in updates:
                    self.publish(update)
                    quarantines.log_quarantine(update)
                # The crash counts must reach the neighbours before the
                # request is sent again.
                await asyncio.sleep(GOSSIP_HEAD_START_MS / MS_PER_S)

    async def _send(
        self, call: calls.RelayCall, upstream: state.Upstream
    ) -> AttemptOutcome:
        sent = await self.client.send(
            upstream.address,
            call.request.method,
            call.target,
            calls.forwarded_headers(call.request.headers),
            call.request.body,
            max(1, call.deadline_ms - self.clock.now_ms()),
            new_connection=not call.repeatable,
        )
        match sent:
            case result.Success(answer):
                return await self._read_response(call, upstream, answer)
            case result.Failure(failure):
                return result.Failure(
                    coordination.Failure(
                        upstream.name, failure.kind, failure.detail
                    )
                )
        raise AssertionError(sent)

    async def _read_response(
        self,
        call: calls.RelayCall,
        upstream: state.Upstream,
        answer: http_client.UpstreamResponse,
    ) -> AttemptOutcome:
        """Return the upstream's response, or the failure it amounts to."""
        if answer.status == SERVICE_UNAVAILABLE:
            return self._on_refusal(upstream, answer)
        headers = calls.returned_headers(answer.headers)
        if call.route.streamed:
            answer.limit_to_timeout()
            return result.Success(
                http.HttpResponse(answer.status, headers, answer.chunks())
            )
        try:
            body = await answer.read(MAX_RESPONSE_BYTES)
        except http_client.TruncatedResponseError as error:
            return result.Failure(
                coordination.Failure(
                    upstream.name,
                    coordination.FailureKind.TRUNCATED_RESPONSE,
                    str(error),
                )
            )
        return result.Success(http.HttpResponse(answer.status, headers, body))

    def _on_refusal(
        self, upstream: state.Upstream, answer: http_client.UpstreamResponse
    ) -> AttemptOutcome:
        """Return the failure of a refusal, with or without proof.

        The proof is the upstream's header that the request was not
        executed.
        """
        has_proof = answer.headers.get(http.NOT_EXECUTED_HEADER) == "true"
        if answer.headers.get(http.LEAVING_HEADER) == "true":
            self.upstreams.on_leaving(
                upstream.name,
                upstream.incarnation,
                coordination.NoticeSource.REFUSAL,
            )
        answer.close()
        kind = coordination.FailureKind.REFUSED_WITHOUT_PROOF
        if has_proof:
            kind = coordination.FailureKind.REFUSED_WITH_PROOF
        return result.Failure(coordination.Failure(upstream.name, kind))

    def _budget(self, call: calls.RelayCall) -> coordination.RetryBudget:
        budget = self.budgets.get(call.flow_key)
        if budget is None:
            budget = coordination.RetryBudget(self.clock)
            self.budgets[call.flow_key] = budget
        return budget
