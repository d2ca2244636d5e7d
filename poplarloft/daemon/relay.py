"""Relays callers' requests to upstreams: ``/r/{route}/...``."""

from collections import abc
import dataclasses

from returns import result

from poplarloft import coordination
from poplarloft.daemon import claims
from poplarloft.daemon import configuration
from poplarloft.daemon import upstreams
from poplarloft.protocol import credentials
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["Relay", "RelayCall"]

ROUTE_PREFIX = "/r/"
DEFAULT_MAX_BODY_BYTES = 1_048_576
CLAIM_TIMEOUT_MS = 3_000
SERVICE_UNAVAILABLE = 503
CHARS_PER_TOKEN = 4
HOP_BY_HOP = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclasses.dataclass(slots=True)
class RelayCall:
    """One caller's request on its way.

    `target` is the path and query at the upstream; `started_at_ms` and
    `deadline_ms` are times on the monotonic clock.
    """

    request: http.HttpRequest
    headers: http.CallerHeaders
    owner: str
    route_name: str
    route: state.RouteBody
    target: str
    repeatable: bool
    started_at_ms: int
    deadline_ms: int

    @property
    def budget_key(self) -> tuple[str, str]:
        """Return what shares a retry budget."""
        return (self.owner, self.route_name)


Answer = result.Result[http.HttpResponse, state.Refusal]
Attempt = result.Result[http_client.UpstreamAnswer, state.Refusal]


class Relay:
    """The path of a request through this instance.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    configuration_service, upstream_service, claim_service
        The parts that it uses.
    client : http_client.HttpClient
        Connections to upstreams.
    policy : coordination.RoutingPolicy
        Chooses among candidates.
    histograms : coordination.HistogramSet
        Durations per owner and class.
    metrics : state.Metrics
        Counters per owner and class.
    """

    def __init__(
        self,
        clock: state.Clock,
        configuration_service: configuration.ConfigurationService,
        upstream_service: upstreams.UpstreamService,
        claim_service: claims.ClaimService,
        client: http_client.HttpClient,
        policy: coordination.RoutingPolicy,
        histograms: coordination.HistogramSet,
        metrics: state.Metrics,
    ) -> None:
        self.clock = clock
        self.configuration = configuration_service
        self.upstreams = upstream_service
        self.claims = claim_service
        self.client = client
        self.policy = policy
        self.histograms = histograms
        self.metrics = metrics
        self.answers = coordination.AnswerCache()
        self.budgets: dict[tuple[str, str], coordination.RetryBudget] = {}

    def max_body_bytes(self, path: str) -> int:
        """Return the largest body that the route of `path` takes."""
        found = self._find_route(path)
        if found is None:
            return DEFAULT_MAX_BODY_BYTES
        return found[1].max_body_bytes

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Answer one request whose path starts with ``/r/``."""
        match self._admit(request):
            case result.Success(call):
                answer = await self._run(call)
                self._record(call, answer)
                return _response(answer)
            case result.Failure(refusal):
                return http.problem_response(refusal)
        raise AssertionError

    def _admit(
        self, request: http.HttpRequest
    ) -> result.Result[RelayCall, state.Refusal]:
        """Check the request against the configuration."""
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
    ) -> RelayCall:
        now_ms = self.clock.now_ms()
        timeout_ms = min(
            headers.deadline_ms or route.timeout_ms, route.timeout_ms
        )
        target = f"/{rest}?{request.query}" if request.query else f"/{rest}"
        return RelayCall(
            request,
            headers,
            document.owner,
            document.name,
            route,
            target,
            route.repeatable and headers.repeatable is not False,
            now_ms,
            now_ms + timeout_ms,
        )

    async def _run(self, call: RelayCall) -> Answer:
        """Claim the request if it must be, then dispatch it."""
        if call.repeatable or call.headers.idempotency_key is None:
            return await self._dispatch(call)
        key = http.claim_key(
            call.owner, call.route_name, call.headers.idempotency_key
        )
        timeout_ms = min(CLAIM_TIMEOUT_MS, self._left_ms(call))
        outcome = await self.claims.claim(key, timeout_ms)
        if outcome.decision is not coordination.ClaimDecision.GRANTED:
            return self._answer_unclaimed(key, outcome)
        answer = await self._dispatch(call)
        match answer:
            case result.Failure(refusal):
                if refusal.verdict is state.Verdict.NOT_RUN:
                    self.claims.release(key, outcome.attempt)
            case result.Success(response):
                self._keep(key, response)
        return answer

    def _answer_unclaimed(
        self, key: state.ClaimKey, outcome: claims.ClaimOutcome
    ) -> Answer:
        recorded = self.answers.get(key.digest)
        if recorded is not None:
            headers = (*recorded.headers, ("poplarloft-replayed", "true"))
            return result.Success(
                http.HttpResponse(recorded.status, headers, recorded.body)
            )
        return result.Failure(_CLAIM_REFUSALS[outcome.decision])

    def _keep(self, key: state.ClaimKey, response: http.HttpResponse) -> None:
        if isinstance(response.body, bytes):
            self.answers.put(
                key.digest,
                coordination.RecordedAnswer(
                    response.status, response.headers, response.body
                ),
            )

    async def _dispatch(self, call: RelayCall) -> Answer:
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
            candidates = self.upstreams.candidates(
                call.route.service, excluded
            )
            if not candidates:
                give_up = plan.on_no_upstream(call.route.service)
                return result.Failure(give_up.refusal)
            outcome = await self._attempt(call, candidates)
            match outcome:
                case result.Success(response):
                    plan.budget.on_success()
                    return result.Success(response)
                case result.Failure(failure):
                    decision = plan.on_failure(failure)
            match decision:
                case coordination.GiveUp(refusal):
                    return result.Failure(refusal)
                case coordination.TryAgain(tried):
                    excluded = tried

    async def _attempt(
        self, call: RelayCall, candidates: list[coordination.Candidate]
    ) -> result.Result[http.HttpResponse, coordination.Failure]:
        route_request = _route_request(call)
        name = self.policy.choose(route_request, candidates).name
        upstream = self.upstreams.find(name)
        load = self.upstreams.load
        ticket = load.on_dispatch(name, route_request)
        outcome = await self._send(call, upstream)
        match outcome:
            case result.Success(http.HttpResponse(body=body) as response):
                if not isinstance(body, bytes):
                    relayed = _with_end(
                        body, lambda: load.on_done(name, ticket)
                    )
                    return result.Success(
                        dataclasses.replace(response, body=relayed)
                    )
        load.on_done(name, ticket)
        return outcome

    async def _send(
        self, call: RelayCall, upstream: state.Upstream
    ) -> result.Result[http.HttpResponse, coordination.Failure]:
        sent = await self.client.send(
            upstream.address,
            call.request.method,
            call.target,
            _forwarded_headers(call.request.headers),
            call.request.body,
            self._left_ms(call),
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
        call: RelayCall,
        upstream: state.Upstream,
        answer: http_client.UpstreamAnswer,
    ) -> result.Result[http.HttpResponse, coordination.Failure]:
        """Return the upstream's answer, or the failure that it means."""
        if answer.status == SERVICE_UNAVAILABLE:
            return await self._take_refusal(call, upstream, answer)
        headers = _returned_headers(answer.headers)
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
                    coordination.FailureKind.HALF_ANSWER,
                    str(error),
                )
            )
        return result.Success(http.HttpResponse(answer.status, headers, body))

    async def _take_refusal(
        self,
        call: RelayCall,
        upstream: state.Upstream,
        answer: http_client.UpstreamAnswer,
    ) -> result.Result[http.HttpResponse, coordination.Failure]:
        """Tell a refusal with the upstream's proof from one without."""
        proven = answer.headers.get(http.NOT_EXECUTED_HEADER) == "true"
        if answer.headers.get("poplarloft-leaving") == "true":
            self.upstreams.on_leaving(
                upstream.name,
                upstream.incarnation,
                coordination.SignSource.REFUSAL,
            )
        answer.close()
        kind = coordination.FailureKind.REFUSED_WITHOUT_PROOF
        if proven:
            kind = coordination.FailureKind.REFUSED_WITH_PROOF
        return result.Failure(coordination.Failure(upstream.name, kind))

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

    def _budget(self, call: RelayCall) -> coordination.RetryBudget:
        budget = self.budgets.get(call.budget_key)
        if budget is None:
            budget = coordination.RetryBudget(self.clock)
            self.budgets[call.budget_key] = budget
        return budget

    def _left_ms(self, call: RelayCall) -> int:
        return max(1, call.deadline_ms - self.clock.now_ms())

    def _record(self, call: RelayCall, answer: Answer) -> None:
        duration_ms = self.clock.now_ms() - call.started_at_ms
        request_class = call.headers.request_class
        key = coordination.HistogramKey(call.owner, request_class, "total")
        self.histograms.record(key, duration_ms)
        prefix = f"{call.owner}.{request_class}"
        self.metrics.timing(f"{prefix}.total", duration_ms)
        match answer:
            case result.Success(_):
                self.metrics.count(f"{prefix}.answered")
            case result.Failure(refusal):
                self.metrics.count(f"{prefix}.refused.{refusal.reason}")


_CLAIM_REFUSALS = {
    coordination.ClaimDecision.HELD: state.Refusal(
        state.Reason.CLAIM_HELD,
        state.Verdict.MAY_HAVE_RUN,
        "another attempt holds the idempotency key and may have run",
    ),
    coordination.ClaimDecision.EXPIRED: state.Refusal(
        state.Reason.CLAIM_EXPIRED,
        state.Verdict.MAY_HAVE_RUN,
        "the idempotency key is older than the horizon or from the future; "
        "this attempt did not run, an earlier one may have",
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


def _response(answer: Answer) -> http.HttpResponse:
    match answer:
        case result.Success(response):
            return response
        case result.Failure(refusal):
            return http.problem_response(refusal)
    raise AssertionError(answer)


def _refuse(
    reason: state.Reason, detail: str
) -> result.Result[RelayCall, state.Refusal]:
    return result.Failure(state.Refusal(reason, state.Verdict.NOT_RUN, detail))


def _route_request(call: RelayCall) -> coordination.RouteRequest:
    prompt = call.request.body.decode("utf-8", "replace")
    return coordination.RouteRequest(
        tuple(coordination.prefix_blocks(prompt)),
        len(prompt) // CHARS_PER_TOKEN,
    )


async def _with_end(
    body: abc.AsyncIterator[bytes], on_end: abc.Callable[[], None]
) -> abc.AsyncIterator[bytes]:
    """Yield `body`, then call `on_end`, however it ends."""
    try:
        async for piece in body:
            yield piece
    finally:
        on_end()
        await body.aclose()  # type: ignore[attr-defined]


def _forwarded_headers(
    headers: dict[str, str],
) -> abc.Iterable[tuple[str, str]]:
    return [(n, v) for n, v in headers.items() if n not in HOP_BY_HOP]


def _returned_headers(
    headers: dict[str, str],
) -> tuple[tuple[str, str], ...]:
    return tuple((n, v) for n, v in headers.items() if n not in HOP_BY_HOP)
