"""Sends a client's request to an upstream and returns the answer."""

from collections import abc
import dataclasses
import random

import eliot
from returns import result

from poplarloft.coordination import retries
from poplarloft.coordination import serving
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
ANSWER_MARGIN_MS = 20  # the refusal must reach the client in time
SERVER_ERROR = 500
WHOLE_ANSWER_BYTES = 262_144  # larger answers are handed on in pieces
FailureKind = retries.FailureKind


@dataclasses.dataclass(slots=True)
class _Attempts:
    """What happened to one request so far."""

    names: list[str] = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    detail: str = "no upstream is there"

    @property
    def verdict(self) -> state.Verdict:
        """Return what is known about execution."""
        if self.may_have_run:
            return state.Verdict.MAY_HAVE_RUN
        return state.Verdict.NOT_RUN


class Forwarder:
    """The path of single requests.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    known : view.SamplerView
        The upstreams.
    client : samplers.SamplerClient
        Connections to them.
    balancer : serving.LeastExpectedTime
        Chooses among them.
    rng : random.Random
        Chooses among the services of a split route.
    """

    def __init__(
        self,
        clock: state.Clock,
        known: view.SamplerView,
        client: samplers.SamplerClient,
        balancer: serving.LeastExpectedTime,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.known = known
        self.client = client
        self.balancer = balancer
        self.rng = rng

    async def handle(
        self, call: ingress.ForwardedCall, route: state.PathRoute
    ) -> http.HttpResponse:
        """Return the upstream's answer or the refusal."""
        allowed_ms = min(call.deadline_ms, route.timeout_ms)
        started_ms = self.clock.now_ms()
        end_ms = started_ms + allowed_ms - ANSWER_MARGIN_MS
        service = self._pick_service(route)
        done = _Attempts()
        while len(done.names) < max(1, route.max_attempts):
            left_ms = end_ms - self.clock.now_ms()
            if left_ms < MIN_ATTEMPT_MS:
                done.detail = f"no time left after {done.detail}"
                break
            sampler = self._choose(service, done)
            if sampler is None:
                break
            done.names.append(sampler.name)
            response = await self._attempt(call, route, sampler, left_ms, done)
            if response is not None:
                eliot.log_message(
                    "request-answered",
                    request=call.id,
                    route=route.name,
                    tried=done.names,
                    status=response.status,
                    allowed_ms=allowed_ms,
                    duration_ms=self.clock.now_ms() - started_ms,
                )
                return response
            if done.may_have_run and not route.is_repeatable:
                break
            if not isinstance(call.body, bytes):
                # The body has been handed on and is not held here.
                break
        return self._refuse(call, route, done, end_ms)

    def _pick_service(self, route: state.PathRoute) -> str:
        weights = [target.weight for target in route.targets]
        if sum(weights) <= 0:
            return route.targets[0].service
        return self.rng.choices(route.targets, weights)[0].service

    def _choose(self, service: str, done: _Attempts) -> state.Sampler | None:
        there = self.known.registry.of_service(service)
        return self.balancer.choose(there, done.names) or self.balancer.choose(
            there, ()
        )

    async def _attempt(
        self,
        call: ingress.ForwardedCall,
        route: state.PathRoute,
        sampler: state.Sampler,
        left_ms: int,
        done: _Attempts,
    ) -> http.HttpResponse | None:
        """Send once; None if another attempt may follow."""
        started_ms = self.clock.now_ms()
        self.balancer.on_send(sampler)
        try:
            sent = await self.client.forward(
                sampler,
                call.method,
                call.target,
                call.headers,
                call.body,
                left_ms,
                route.is_repeatable,
            )
            match sent:
                case result.Success(answer):
                    return await self._take(call, route, sampler, answer, done)
                case result.Failure(failure):
                    self._note_failure(call, sampler, failure, done)
            return None
        finally:
            self.balancer.on_end(sampler)
            duration_ms = self.clock.now_ms() - started_ms
            if not done.may_have_run:
                self.balancer.on_answer(sampler, duration_ms)

    async def _take(
        self,
        call: ingress.ForwardedCall,
        route: state.PathRoute,
        sampler: state.Sampler,
        answer: http_client.UpstreamAnswer,
        done: _Attempts,
    ) -> http.HttpResponse | None:
        """Return the answer, None if it is none to this request."""
        if not samplers.is_answer_to(answer, call.id):
            answer.close()
            failure = errors.TransportFailure(
                FailureKind.MALFORMED_RESPONSE, "an answer to another request"
            )
            self._note_failure(call, sampler, failure, done)
            return None
        if samplers.proves_not_run(answer):
            detail = f"refused with status {answer.status}"
            await samplers.discard(answer)
            failure = errors.TransportFailure(
                FailureKind.REFUSED_WITH_PROOF, detail
            )
            self._note_failure(call, sampler, failure, done)
            return None
        headers = samplers.returned_headers(answer)
        if route.kind is state.RouteKind.STREAM:
            return http.HttpResponse(answer.status, headers, answer.chunks())
        try:
            body = await answer.read_up_to(WHOLE_ANSWER_BYTES)
        except http_client.AnswerCut as error:
            failure = errors.TransportFailure(
                FailureKind.TRUNCATED_RESPONSE, str(error)
            )
            self._note_failure(call, sampler, failure, done)
            return None
        may_repeat = (
            route.is_repeatable and len(done.names) < route.max_attempts
        )
        if answer.status == SERVER_ERROR and may_repeat:
            failure = errors.TransportFailure(
                FailureKind.REFUSED_WITHOUT_PROOF, "status 500"
            )
            self._note_failure(call, sampler, failure, done)
            return None
        if answer.ended:
            return http.HttpResponse(answer.status, headers, body)
        headers += samplers.body_length(answer)
        return http.HttpResponse(answer.status, headers, _rest(body, answer))

    def _note_failure(
        self,
        call: ingress.ForwardedCall,
        sampler: state.Sampler,
        failure: errors.TransportFailure,
        done: _Attempts,
    ) -> None:
        verdict = retries.verdict_of(failure.kind)
        if verdict is not state.Verdict.NOT_RUN:
            done.may_have_run = True
        done.detail = f"{sampler.name}: {failure.kind.value}"
        self.balancer.on_failure(sampler)
        eliot.log_message(
            "attempt-failed",
            request=call.id,
            upstream=sampler.name,
            kind=failure.kind.value,
            detail=failure.detail[:200],
            verdict=verdict.value,
        )

    def _refuse(
        self,
        call: ingress.ForwardedCall,
        route: state.PathRoute,
        done: _Attempts,
        end_ms: int,
    ) -> http.HttpResponse:
        is_late = end_ms - self.clock.now_ms() < MIN_ATTEMPT_MS
        reason = state.Reason.UPSTREAM_FAILED
        if is_late and done.may_have_run:
            reason = state.Reason.DEADLINE
        if not done.names:
            reason = state.Reason.NO_UPSTREAM
        eliot.log_message(
            "request-refused",
            request=call.id,
            route=route.name,
            reason=reason.value,
            verdict=done.verdict.value,
            tried=done.names,
            detail=done.detail,
        )
        retry_ms = RETRY_AFTER_MS if not done.may_have_run else None
        return ingress.refusal_response(
            state.Refusal(reason, done.verdict, done.detail, retry_ms)
        )


async def _rest(
    begun: bytes, answer: http_client.UpstreamAnswer
) -> abc.AsyncIterator[bytes]:
    """Yield what was read of a large answer, then the rest of it."""
    yield begun
    async for piece in answer.chunks():
        yield piece
