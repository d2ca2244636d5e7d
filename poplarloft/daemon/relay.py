"""Relaying of callers' requests ``/r/{route}/...`` to upstreams."""

import asyncio
import dataclasses

from returns import result

from poplarloft import coordination
from poplarloft.daemon import calls
from poplarloft.daemon import claims
from poplarloft.daemon import configuration
from poplarloft.daemon import dispatch
from poplarloft.protocol import credentials
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft import state

__all__ = ["ROUTE_PREFIX", "Relay"]

ROUTE_PREFIX = "/r/"
DEFAULT_MAX_BODY_BYTES = 1_048_576
CLAIM_TIMEOUT_MS = 3_000


class Relay:
    """Admits, claims and dispatches callers' requests.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    configuration_service : configuration.ConfigurationService
        Routes and owners.
    claim_service : claims.ClaimService
        Claims of non-repeatable requests.
    dispatcher : dispatch.Dispatcher
        Sends requests to upstreams.
    admission : coordination.AdmissionController
        Shares this instance's capacity.
    limits : coordination.RateLimits
        Owners' rate limits.
    histograms : coordination.HistogramSet
        Durations per owner and class.
    metrics : state.Metrics
        Counters per owner and class.
    """

    def __init__(
        self,
        clock: state.Clock,
        configuration_service: configuration.ConfigurationService,
        claim_service: claims.ClaimService,
        dispatcher: dispatch.Dispatcher,
        admission: coordination.AdmissionController,
        limits: coordination.RateLimits,
        histograms: coordination.HistogramSet,
        metrics: state.Metrics,
    ) -> None:
        self.clock = clock
        self.configuration = configuration_service
        self.claims = claim_service
        self.dispatcher = dispatcher
        self.admission = admission
        self.limits = limits
        self.histograms = histograms
        self.metrics = metrics
        self.responses = coordination.ResponseCache()
        self.costs: dict[tuple[str, str], coordination.CostEstimate] = {}
        self.queued: dict[int, asyncio.Future[state.Refusal | None]] = {}

    def max_body_bytes(self, path: str) -> int:
        """Return the largest request body that the route of `path` accepts."""
        found = self._find_route(path)
        if found is None:
            return DEFAULT_MAX_BODY_BYTES
        return found[1].max_body_bytes

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Answer one request whose path starts with ``/r/``."""
        match self._parse_call(request):
            case result.Success(call):
                answer = await self._admit_and_dispatch(call)
                self._record_metrics(call, answer)
                return _response(answer)
            case result.Failure(refusal):
                return http.problem_response(refusal)
        raise AssertionError

    def _parse_call(
        self, request: http.HttpRequest
    ) -> result.Result[calls.RelayCall, state.Refusal]:
        """Return the call of a valid request, or why it is refused."""
        try:
            headers = http.parse_caller_headers(request.headers)
        except errors.FieldError as error:
            return _refuse(state.Reason.BAD_REQUEST, str(error))
        found = self._find_route(request.path)
        if found is None:
            return _refuse(
                state.Reason.UNKNOWN_ROUTE,
                f"no route matches path {request.path[:200]!r}",
            )
        document, route, rest = found
        owner = credentials.find_caller(
            self.configuration.current, headers.token
        )
        if owner is None:
            return _refuse(
                state.Reason.UNAUTHENTICATED,
                "the bearer token is missing or belongs to no owner",
            )
        if owner != document.owner:
            return _refuse(
                state.Reason.FORBIDDEN,
                f"route {document.name!r} does not belong to owner {owner!r}",
            )
        return result.Success(
            self._new_call(request, headers, document, route, rest)
        )

    def _new_call(
        self,
        request: http.HttpRequest,
        headers: http.CallerHeaders,
        document: state.Document,
        route: state.RouteBody,
        rest: str,
    ) -> calls.RelayCall:
        now_ms = self.clock.now_ms()
        timeout_ms = min(
            headers.deadline_ms or route.timeout_ms, route.timeout_ms
        )
        target = f"/{rest}?{request.query}" if request.query else f"/{rest}"
        return calls.RelayCall(
            request=request,
            headers=headers,
            owner=document.owner,
            route_name=document.name,
            route=route,
            target=target,
            repeatable=route.repeatable and headers.repeatable is not False,
            fingerprint=http.request_fingerprint(
                document.owner, document.name, request.body
            ),
            route_request=coordination.RouteRequest.of_prompt(
                request.body.decode("utf-8", "replace")
            ),
            started_at_ms=now_ms,
            deadline_ms=now_ms + timeout_ms,
        )

    async def _admit_and_dispatch(
        self, call: calls.RelayCall
    ) -> dispatch.Outcome:
        """Admit the request, claim it if necessary and dispatch it."""
        limited = self.limits.take(call.owner)
        if limited is not None:
            return result.Failure(limited)
        cost = self.costs.setdefault(
            call.flow_key, coordination.CostEstimate()
        )
        ticket, decisions = self.admission.request(
            call.owner,
            call.headers.request_class,
            cost,
            call.deadline_ms,
        )
        refusal = await self._await_admission(ticket, decisions)
        if refusal is not None:
            return result.Failure(refusal)
        started_ms = self.clock.now_ms()
        self._observe(call, "wait", started_ms - call.started_at_ms)

        def finish() -> None:
            cost.observe(self.clock.now_ms() - started_ms)
            self._apply_decisions(self.admission.done(ticket))

        answer = await self._claim_and_dispatch(call)
        self._observe(
            call, "first-byte", self.clock.now_ms() - call.started_at_ms
        )
        match answer:
            case result.Success(http.HttpResponse(body=body) as response):
                if not isinstance(body, bytes):
                    tracked = http.with_end_callback(body, finish)
                    return result.Success(
                        dataclasses.replace(response, body=tracked)
                    )
        finish()
        return answer

    async def _await_admission(
        self, ticket: int, decisions: list[coordination.AdmissionDecision]
    ) -> state.Refusal | None:
        """Wait for the admission decision; return the refusal, if any."""
        future = asyncio.get_running_loop().create_future()
        self.queued[ticket] = future
        self._apply_decisions(decisions)
        refusal: state.Refusal | None = await future
        return refusal

    def _apply_decisions(
        self, decisions: list[coordination.AdmissionDecision]
    ) -> None:
        for decision in decisions:
            future = self.queued.pop(decision.ticket)
            match decision:
                case coordination.Admitted():
                    future.set_result(None)
                case coordination.Refused(refusal=refusal):
                    future.set_result(refusal)

    async def _claim_and_dispatch(
        self, call: calls.RelayCall
    ) -> dispatch.Outcome:
        if call.repeatable or call.headers.idempotency_key is None:
            return await self.dispatcher.dispatch(call)
        key = http.claim_key(
            call.owner, call.route_name, call.headers.idempotency_key
        )
        left_ms = max(1, call.deadline_ms - self.clock.now_ms())
        timeout_ms = min(CLAIM_TIMEOUT_MS, left_ms)
        outcome = await self.claims.claim(key, timeout_ms)
        if outcome.decision is not coordination.ClaimDecision.GRANTED:
            return self._respond_unclaimed(key, outcome)
        answer = await self.dispatcher.dispatch(call)
        match answer:
            case result.Failure(refusal):
                if refusal.verdict is state.Verdict.NOT_RUN:
                    self.claims.release(key, outcome.attempt)
            case result.Success(response):
                self._cache_response(key, response)
        return answer

    def _respond_unclaimed(
        self, key: state.ClaimKey, outcome: claims.ClaimOutcome
    ) -> dispatch.Outcome:
        cached = self.responses.get(key.digest)
        if cached is not None:
            headers = (*cached.headers, ("poplarloft-replayed", "true"))
            return result.Success(
                http.HttpResponse(cached.status, headers, cached.body)
            )
        return result.Failure(_CLAIM_REFUSALS[outcome.decision])

    def _cache_response(
        self, key: state.ClaimKey, response: http.HttpResponse
    ) -> None:
        if isinstance(response.body, bytes):
            self.responses.put(
                key.digest,
                coordination.CachedResponse(
                    response.status, response.headers, response.body
                ),
            )

    def _find_route(
        self, path: str
    ) -> tuple[state.Document, state.RouteBody, str] | None:
        name, _, rest = path.removeprefix(ROUTE_PREFIX).partition("/")
        document = self.configuration.current.find(
            state.DocumentKind.ROUTE, name
        )
        if document is None:
            return None
        assert isinstance(document.body, state.RouteBody)
        return document, document.body, rest

    def _record_metrics(
        self, call: calls.RelayCall, answer: dispatch.Outcome
    ) -> None:
        prefix = f"{call.owner}.{call.headers.request_class}"
        self._observe(call, "total", self.clock.now_ms() - call.started_at_ms)
        match answer:
            case result.Success(_):
                self.metrics.count(f"{prefix}.answered")
            case result.Failure(refusal):
                self.metrics.count(f"{prefix}.refused.{refusal.reason}")

    def _observe(
        self, call: calls.RelayCall, stage: str, duration_ms: int
    ) -> None:
        request_class = call.headers.request_class
        key = coordination.HistogramKey(call.owner, request_class, stage)
        self.histograms.record(key, duration_ms)
        self.metrics.timing(
            f"{call.owner}.{request_class}.{stage}", duration_ms
        )


_CLAIM_REFUSALS = {
    coordination.ClaimDecision.HELD: state.Refusal(
        state.Reason.CLAIM_HELD,
        state.Verdict.MAY_HAVE_RUN,
        "another attempt holds the claim of this idempotency key and may "
        "have run",
    ),
    coordination.ClaimDecision.EXPIRED: state.Refusal(
        state.Reason.CLAIM_EXPIRED,
        state.Verdict.MAY_HAVE_RUN,
        "the idempotency key was issued before the claim horizon or in the "
        "future; this attempt did not run, an earlier one may have",
    ),
    coordination.ClaimDecision.UNAVAILABLE: state.Refusal(
        state.Reason.CLAIM_UNAVAILABLE,
        state.Verdict.NOT_RUN,
        "the key-value service did not confirm the claim in time",
        1_000,
    ),
    coordination.ClaimDecision.OVERLOADED: state.Refusal(
        state.Reason.OVERLOADED,
        state.Verdict.NOT_RUN,
        "the claim ledger is full",
        5_000,
    ),
}


def _response(answer: dispatch.Outcome) -> http.HttpResponse:
    match answer:
        case result.Success(response):
            return response
        case result.Failure(refusal):
            return http.problem_response(refusal)
    raise AssertionError(answer)


def _refuse(
    reason: state.Reason, detail: str
) -> result.Result[calls.RelayCall, state.Refusal]:
    return result.Failure(state.Refusal(reason, state.Verdict.NOT_RUN, detail))
