"""Forwards single requests of clients to upstreams."""

from collections import abc
import dataclasses
import random

import eliot
from returns import result

from poplarloft.coordination import retries
from poplarloft.coordination import serving
from poplarloft.daemon.serving import upstream_limits
from poplarloft.daemon.serving import view
from poplarloft.platform import ingress
from poplarloft.platform import samplers
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import errors
from poplarloft.transport import http_client

__all__ = ["Forwarder"]

RETRY_AFTER_MS = 100
MIN_ATTEMPT_MS = 20
RESPONSE_MARGIN_MS = 20  # the refusal must reach the client in time
SERVER_ERROR = 500
SERVICE_SHARE = 3  # a third of the time left is kept for the upstream
MAX_BUFFERED_BYTES = 262_144  # larger responses are streamed to the client
FailureKind = retries.FailureKind


@dataclasses.dataclass(slots=True)
class _AttemptHistory:
    """The attempts made so far for one request."""

    fingerprint: str = ""  # empty while a streamed body is not complete
    names: list[str] = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    detail: str = "no upstream is available"
    limited_for_ms: int | None = None  # until an upstream takes a request

    @property
    def verdict(self) -> state.Verdict:
        """Return whether an upstream may have run the request."""
        if self.may_have_run:
            return state.Verdict.MAY_HAVE_RUN
        return state.Verdict.NOT_RUN


class Forwarder:
    """Sends requests to upstreams, with retries where that is safe.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    sampler_view : view.SamplerView
        The announced upstreams.
    client : samplers.SamplerClient
        Connections to the upstreams.
    balancer : serving.LeastExpectedTime
        Chooses among the upstreams of a service.
    rng : random.Random
        Chooses among the services of a split route.
    limits : upstream_limits.UpstreamLimits
        Permits for upstreams that have named a limit.
    """

    def __init__(
        self,
        clock: state.Clock,
        sampler_view: view.SamplerView,
        client: samplers.SamplerClient,
        balancer: serving.LeastExpectedTime,
        rng: random.Random,
        limits: upstream_limits.UpstreamLimits,
    ) -> None:
        self.clock = clock
        self.sampler_view = sampler_view
        self.client = client
        self.balancer = balancer
        self.rng = rng
        self.limits = limits

    async def handle(
        self, call: ingress.ForwardedCall, route: state.PathRoute
    ) -> http.HttpResponse:
        """Return the upstream's response, or a refusal."""
        allowed_ms = min(call.deadline_ms, route.timeout_ms)
        started_ms = self.clock.now_ms()
        deadline_ms = started_ms + allowed_ms - RESPONSE_MARGIN_MS
        service = self._pick_service(route)
        history = _AttemptHistory()
        if isinstance(call.body, bytes):
            hasher = call.hasher()
            hasher.update(call.body)
            history.fingerprint = hasher.fingerprint()
        while len(history.names) < max(1, route.max_attempts):
            remaining_ms = deadline_ms - self.clock.now_ms()
            if remaining_ms < MIN_ATTEMPT_MS:
                history.detail = f"no time left after {history.detail}"
                break
            need = serving.PermitNeed(
                call.id,
                route.priority,
                remaining_ms - remaining_ms // SERVICE_SHARE,
            )
            sampler = await self._choose_sampler(service, history, need)
            if sampler is None:
                break
            history.names.append(sampler.name)
            # Less time is left after a wait for a permit.
            remaining_ms = max(1, deadline_ms - self.clock.now_ms())
            response = await self._attempt(
                call, route, sampler, remaining_ms, history
            )
            if response is not None:
                eliot.log_message(
                    "request-answered",
                    request=call.id,
                    route=route.name,
                    tried=history.names,
                    status=response.status,
                    allowed_ms=allowed_ms,
                    duration_ms=self.clock.now_ms() - started_ms,
                )
                return response
            if history.may_have_run and not route.is_repeatable:
                break
            if not isinstance(call.body, bytes):
                # A streamed body is consumed and can't be sent again.
                break
        return self._refuse(call, route, history, deadline_ms)

    def _pick_service(self, route: state.PathRoute) -> str:
        weights = [target.weight for target in route.targets]
        if sum(weights) <= 0:
            return route.targets[0].service
        return self.rng.choices(route.targets, weights)[0].service

    async def _choose_sampler(
        self,
        service: str,
        history: _AttemptHistory,
        need: serving.PermitNeed,
    ) -> state.Sampler | None:
        """Return an upstream that may get the request, preferably a new one.

        Waits for a permit if all upstreams are limited.
        """
        available = self.sampler_view.registry.of_service(service)
        passes = (history.names, ()) if history.names else ((),)
        for excluded in passes:
            match await self.limits.choose(
                self.balancer, available, excluded, need
            ):
                case result.Success(sampler):
                    history.limited_for_ms = None
                    return sampler
                case result.Failure(int() as wait_ms):
                    history.limited_for_ms = wait_ms
        if history.limited_for_ms is not None:
            history.detail = "all upstreams are at their limits"
        return None

    async def _attempt(
        self,
        call: ingress.ForwardedCall,
        route: state.PathRoute,
        sampler: state.Sampler,
        remaining_ms: int,
        history: _AttemptHistory,
    ) -> http.HttpResponse | None:
        """Send the request once; return None if the attempt failed."""
        started_ms = self.clock.now_ms()
        self.balancer.on_send(sampler)
        try:
            sent = await self.client.forward(
                sampler,
                call.method,
                call.target,
                call.headers,
                call.body,
                remaining_ms,
                route.is_repeatable,
            )
            match sent:
                case result.Success(response):
                    return await self._response_from(
                        call, route, sampler, response, history
                    )
                case result.Failure(failure):
                    self._record_failure(call, sampler, failure, history)
            return None
        finally:
            self.balancer.on_end(sampler)
            duration_ms = self.clock.now_ms() - started_ms
            if not history.may_have_run:
                self.balancer.on_answer(sampler, duration_ms)

    async def _response_from(
        self,
        call: ingress.ForwardedCall,
        route: state.PathRoute,
        sampler: state.Sampler,
        response: http_client.UpstreamResponse,
        history: _AttemptHistory,
    ) -> http.HttpResponse | None:
        """Return the upstream's response, or None if the attempt failed."""
        if not samplers.is_response_to(response, call.id):
            response.close()
            failure = errors.TransportFailure(
                FailureKind.MALFORMED_RESPONSE,
                "response belongs to another request",
            )
            self._record_failure(call, sampler, failure, history)
            return None
        if samplers.proves_not_run(response):
            detail = f"refused with status {response.status}"
            await samplers.discard(response)
            failure = errors.TransportFailure(
                FailureKind.REFUSED_WITH_PROOF, detail
            )
            self._record_failure(call, sampler, failure, history)
            return None
        headers = samplers.returned_headers(response)
        response.limit_to_timeout()
        if route.kind is state.RouteKind.STREAM:
            return http.HttpResponse(
                response.status, headers, response.chunks()
            )
        try:
            body = await response.read_up_to(MAX_BUFFERED_BYTES)
        except http_client.TruncatedResponseError as error:
            failure = errors.TransportFailure(
                FailureKind.TRUNCATED_RESPONSE, str(error)
            )
            self._record_failure(call, sampler, failure, history)
            return None
        may_repeat = (
            route.is_repeatable and len(history.names) < route.max_attempts
        )
        if response.status == SERVER_ERROR and may_repeat:
            failure = errors.TransportFailure(
                FailureKind.REFUSED_WITHOUT_PROOF, "status 500"
            )
            self._record_failure(call, sampler, failure, history)
            return None
        if response.ended:
            return http.HttpResponse(response.status, headers, body)
        headers += samplers.body_length(response)
        return http.HttpResponse(
            response.status, headers, _remaining_body(body, response)
        )

    def _record_failure(
        self,
        call: ingress.ForwardedCall,
        sampler: state.Sampler,
        failure: errors.TransportFailure,
        history: _AttemptHistory,
    ) -> None:
        verdict = retries.verdict_of(failure.kind)
        if verdict is not state.Verdict.NOT_RUN:
            history.may_have_run = True
        history.detail = f"{sampler.name}: {failure.kind.value}"
        self.balancer.on_failure(sampler)
        eliot.log_message(
            "attempt-failed",
            request=call.id,
            upstream=sampler.name,
            born_ms=sampler.born_ms,
            fingerprint=history.fingerprint,
            kind=failure.kind.value,
            detail=failure.detail[:200],
            verdict=verdict.value,
        )

    def _refuse(
        self,
        call: ingress.ForwardedCall,
        route: state.PathRoute,
        history: _AttemptHistory,
        deadline_ms: int,
    ) -> http.HttpResponse:
        is_late = deadline_ms - self.clock.now_ms() < MIN_ATTEMPT_MS
        reason = state.Reason.UPSTREAM_FAILED
        if is_late and history.may_have_run:
            reason = state.Reason.DEADLINE
        if not history.names:
            reason = state.Reason.NO_UPSTREAM
        if history.limited_for_ms is not None and not history.may_have_run:
            reason = state.Reason.UPSTREAM_LIMITED
        eliot.log_message(
            "request-refused",
            request=call.id,
            route=route.name,
            reason=reason.value,
            verdict=history.verdict.value,
            tried=history.names,
            detail=history.detail,
        )
        retry_ms = None
        if not history.may_have_run:
            retry_ms = max(RETRY_AFTER_MS, history.limited_for_ms or 0)
        return ingress.refusal_response(
            state.Refusal(reason, history.verdict, history.detail, retry_ms)
        )


async def _remaining_body(
    buffered: bytes, response: http_client.UpstreamResponse
) -> abc.AsyncIterator[bytes]:
    """Yield the buffered start of a large response, then its rest."""
    yield buffered
    async for chunk in response.chunks():
        yield chunk
