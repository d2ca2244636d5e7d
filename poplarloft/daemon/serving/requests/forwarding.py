"""Forwards single requests of clients to upstreams."""

import asyncio
import dataclasses

import eliot
from returns import result

from poplarloft import coordination
from poplarloft.coordination import retries
from poplarloft.coordination import serving
from poplarloft.daemon import quarantines
from poplarloft.daemon.serving.metering import usage_link
from poplarloft.daemon.serving.requests import attempt_history
from poplarloft.daemon.serving.requests import crash_guard
from poplarloft.daemon.serving.requests import stop_deadline
from poplarloft.daemon.serving.requests import upstream_choice
from poplarloft.daemon.serving.requests import upstream_room
from poplarloft.daemon.serving.streams import stream_link
from poplarloft.daemon.serving.streams import stream_origins
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
OK = 200
SERVER_ERROR = 500
SERVICE_SHARE = 3  # a third of the time left is kept for the upstream
MAX_BUFFERED_BYTES = 262_144  # larger responses are streamed to the client
MAX_VERDICT_WAIT_MS = 300  # a retry waits to know whether it was a crash
SUSPECT_WAIT_MS = 100  # until a suspect without an upstream looks again
MS_PER_S = 1_000
FailureKind = retries.FailureKind
LOST_KINDS = frozenset(
    {
        FailureKind.RESET_AFTER_SEND,
        FailureKind.TRUNCATED_RESPONSE,
        FailureKind.TIMEOUT,
    }
)
Status = coordination.FingerprintStatus


class Forwarder:
    """Sends requests to upstreams, with retries where that is safe.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    client : samplers.SamplerClient
        Connections to the upstreams.
    balancer : serving.LeastExpectedTime
        Is told of the outcome of each attempt.
    chooser : upstream_choice.UpstreamChooser
        Chooses the upstream of each attempt.
    guard : crash_guard.CrashGuard
        Restricts requests that may crash upstreams.
    streams : stream_link.StreamLink
        Is told which software versions began the streams of clients.
    origins : stream_origins.OriginFinder
        Knows these when clients take their streams up.
    usage : usage_link.UsageLink
        Counts what upstreams have begun for each account.
    room : upstream_room.UpstreamRoom
        Is told when an upstream has none.
    """

    def __init__(
        self,
        clock: state.Clock,
        client: samplers.SamplerClient,
        balancer: serving.LeastExpectedTime,
        chooser: upstream_choice.UpstreamChooser,
        guard: crash_guard.CrashGuard,
        streams: stream_link.StreamLink,
        origins: stream_origins.OriginFinder,
        usage: usage_link.UsageLink,
        room: upstream_room.UpstreamRoom,
    ) -> None:
        self.clock = clock
        self.usage = usage
        self.client = client
        self.balancer = balancer
        self.guard = guard
        self.streams = streams
        self.origins = origins
        self.stopping = stop_deadline.StopDeadline()
        self.chooser = chooser
        self.room = room

    async def handle(
        self, call: ingress.ForwardedCall, route: state.PathRoute
    ) -> http.HttpResponse:
        """Return the upstream's response, or a refusal.

        While the process stops, a request that may not end in time is
        refused, and one that does not end in time is given up.
        """
        allowed_ms = min(call.deadline_ms, route.timeout_ms)
        history = attempt_history.AttemptHistory()
        if self.stopping.has_time_for(route, allowed_ms):
            try:
                async with self.stopping.applied():
                    return await self._forward(
                        call, route, allowed_ms, history
                    )
            except TimeoutError:
                pass
        history.on_stopped()
        identified = crash_guard.IdentifiedCall(call)
        now_ms = self.clock.now_ms()
        return self._refuse(identified, route, history, now_ms)

    async def _forward(
        self,
        call: ingress.ForwardedCall,
        route: state.PathRoute,
        allowed_ms: int,
        history: attempt_history.AttemptHistory,
    ) -> http.HttpResponse:
        started_ms = self.clock.now_ms()
        deadline_ms = started_ms + allowed_ms - RESPONSE_MARGIN_MS
        history.deadline_ms = deadline_ms
        service = self.chooser.pick_service(route)
        if route.kind is state.RouteKind.STREAM and call.takes_up_stream:
            origin = await self.origins.origin_of(
                call.resumed_stream_key(), route, call.id
            )
            history.set_origin(origin.software_version)
            service = origin.service
        identified = await self.guard.identify(call)
        while history.has_attempt_left(route):
            remaining_ms = deadline_ms - self.clock.now_ms()
            if remaining_ms < MIN_ATTEMPT_MS:
                history.detail = f"no time left after {history.detail}"
                break
            need = serving.PermitNeed(
                call.id,
                route.priority,
                remaining_ms - remaining_ms // SERVICE_SHARE,
            )
            history.status = self.guard.status_of(identified.fingerprint)
            if history.is_restricted:
                break
            await self.room.wait_for_turn(
                lambda: self.chooser.available(service, history),
                remaining_ms,
                history,
            )
            sampler = await self.chooser.choose(
                service, identified, history, need
            )
            if sampler is None and self._may_wait(service, history):
                await asyncio.sleep(SUSPECT_WAIT_MS / MS_PER_S)
                continue
            if sampler is None:
                break
            history.names.append(sampler.name)
            if history.software_version and not await self.chooser.is_same_run(
                sampler, call.id
            ):
                history.uncounted += 1
                continue
            # Less time is left after a wait for a permit.
            remaining_ms = max(1, deadline_ms - self.clock.now_ms())
            response = await self._attempt(
                identified, route, sampler, remaining_ms, history
            )
            if response is not None:
                eliot.log_message(
                    "request-answered",
                    request=call.id,
                    route=route.name,
                    account=call.account,
                    tried=history.names,
                    status=response.status,
                    allowed_ms=allowed_ms,
                    duration_ms=self.clock.now_ms() - started_ms,
                )
                return response
            if history.may_have_run and not route.is_repeatable:
                break
            if not isinstance(identified.call.body, bytes):
                # A streamed body is consumed and can't be sent again.
                break
        return self._refuse(identified, route, history, deadline_ms)

    def _may_wait(
        self, service: str, history: attempt_history.AttemptHistory
    ) -> bool:
        """Return whether an upstream may be free for a suspect soon."""
        is_suspect = history.status is Status.SUSPECT
        return is_suspect and bool(self.chooser.available(service, history))

    async def _attempt(
        self,
        identified: crash_guard.IdentifiedCall,
        route: state.PathRoute,
        sampler: state.Sampler,
        remaining_ms: int,
        history: attempt_history.AttemptHistory,
    ) -> http.HttpResponse | None:
        """Send the request once; return None if the attempt failed."""
        call = identified.call
        started_ms = self.clock.now_ms()
        self.balancer.on_send(sampler)
        flight = self.guard.begin(identified, sampler)
        history.is_sent = True
        history.sent_at_ms = self.usage.clock.now_ms()
        response: http.HttpResponse | None = None
        is_answered = False
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
                case result.Success(answer):
                    is_answered = True
                    response = await self._response_from(
                        identified, route, sampler, answer, history
                    )
                case result.Failure(failure):
                    await self._on_failure(
                        identified, sampler, failure, history
                    )
            history.is_sent = False
            if response is not None:
                self.usage.on_run(call.account, history.sent_at_ms)
            return self._watched(response, flight, identified)
        finally:
            if response is None or isinstance(response.body, bytes):
                flight.end()
            self.balancer.on_end(sampler)
            duration_ms = self.clock.now_ms() - started_ms
            if is_answered and not history.may_have_run:
                self.balancer.on_answer(sampler, duration_ms)

    def _watched(
        self,
        response: http.HttpResponse | None,
        flight: crash_guard.Flight,
        identified: crash_guard.IdentifiedCall,
    ) -> http.HttpResponse | None:
        """Return a response whose body, if streamed, is watched."""
        if response is None:
            return None
        if isinstance(response.body, bytes):
            self.guard.on_completed(identified.fingerprint)
            return response
        body = self.guard.watch(response.body, flight, identified)
        return dataclasses.replace(response, body=body)

    async def _response_from(
        self,
        identified: crash_guard.IdentifiedCall,
        route: state.PathRoute,
        sampler: state.Sampler,
        response: http_client.UpstreamResponse,
        history: attempt_history.AttemptHistory,
    ) -> http.HttpResponse | None:
        """Return the upstream's response, or None if the attempt failed."""
        if not samplers.is_response_to(response, identified.call.id):
            response.close()
            failure = errors.TransportFailure(
                FailureKind.MALFORMED_RESPONSE,
                "response belongs to another request",
            )
            await self._on_failure(identified, sampler, failure, history)
            return None
        if samplers.proves_not_run(response):
            detail = f"refused with status {response.status}"
            await samplers.discard(response)
            failure = errors.TransportFailure(
                FailureKind.REFUSED_WITH_PROOF, detail
            )
            await self._on_failure(identified, sampler, failure, history)
            if samplers.had_no_room(response):
                self.room.on_refused(sampler, history)
            return None
        headers = samplers.returned_headers(response)
        response.limit_to_timeout()
        if route.kind is state.RouteKind.STREAM:
            if response.status == OK and route.resumable:
                self.streams.record(identified.call.stream_key(), sampler)
            return http.HttpResponse(
                response.status, headers, response.chunks()
            )
        try:
            body = await response.read_up_to(MAX_BUFFERED_BYTES)
        except http_client.TruncatedResponseError as error:
            failure = errors.TransportFailure(
                FailureKind.TRUNCATED_RESPONSE, str(error)
            )
            await self._on_failure(identified, sampler, failure, history)
            return None
        may_repeat = (
            route.is_repeatable and len(history.names) < route.max_attempts
        )
        if response.status == SERVER_ERROR and may_repeat:
            failure = errors.TransportFailure(
                FailureKind.REFUSED_WITHOUT_PROOF, "status 500"
            )
            await self._on_failure(identified, sampler, failure, history)
            return None
        if response.ended:
            return http.HttpResponse(response.status, headers, body)
        headers += samplers.body_length(response)
        return http.HttpResponse(
            response.status, headers, response.chunks_after(body)
        )

    async def _on_failure(
        self,
        identified: crash_guard.IdentifiedCall,
        sampler: state.Sampler,
        failure: errors.TransportFailure,
        history: attempt_history.AttemptHistory,
    ) -> None:
        """Record a failed attempt, and find out whether it was a crash."""
        if failure.kind is FailureKind.NO_CONNECTION_FREE:
            history.on_exhausted(failure.detail)
            return
        request_id = identified.call.id
        verdict = retries.verdict_of(failure.kind)
        if verdict is not state.Verdict.NOT_RUN:
            history.may_have_run = True
            self.usage.on_run(identified.call.account, history.sent_at_ms)
        history.detail = f"{sampler.name}: {failure.kind.value}"
        self.balancer.on_failure(sampler)
        eliot.log_message(
            "attempt-failed",
            request=request_id,
            upstream=sampler.name,
            born_ms=sampler.born_ms,
            fingerprint=identified.fingerprint,
            kind=failure.kind.value,
            detail=failure.detail[:200],
            verdict=verdict.value,
        )
        is_first = history.names.count(sampler.name) == 1
        if failure.kind is FailureKind.CONNECT_REFUSED and is_first:
            history.uncounted += 1
        if failure.kind in LOST_KINDS:
            wait_ms = min(MAX_VERDICT_WAIT_MS, history.left_ms(self.clock))
            history.uncounted += await self.guard.on_lost(
                sampler, request_id, wait_ms
            )

    def _refuse(
        self,
        identified: crash_guard.IdentifiedCall,
        route: state.PathRoute,
        history: attempt_history.AttemptHistory,
        deadline_ms: int,
    ) -> http.HttpResponse:
        is_late = deadline_ms - self.clock.now_ms() < MIN_ATTEMPT_MS
        reason = history.reason(is_late)
        fingerprint = identified.fingerprint
        eliot.log_message(
            "request-refused",
            request=identified.call.id,
            fingerprint=fingerprint,
            restriction=history.status.value,
            crashes=self.guard.guard.crashes_of(fingerprint),
            route=route.name,
            account=identified.call.account,
            reason=reason.value,
            verdict=history.verdict.value,
            tried=history.names,
            detail=history.detail,
        )
        if reason is state.Reason.QUARANTINED:
            return ingress.refusal_response(
                quarantines.quarantined_refusal(
                    history.verdict, self.guard.retry_after_ms(fingerprint)
                )
            )
        retry_ms = None
        if not history.may_have_run:
            retry_ms = max(RETRY_AFTER_MS, history.limited_for_ms or 0)
        return ingress.refusal_response(
            state.Refusal(reason, history.verdict, history.detail, retry_ms)
        )
