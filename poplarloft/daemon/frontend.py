"""Leads each HTTP request to the part that answers it."""

import asyncio

from returns import result

from poplarloft.daemon import console
from poplarloft.daemon import operators
from poplarloft.daemon import relay
from poplarloft.daemon import rollouts
from poplarloft.daemon import status
from poplarloft.daemon import usage
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.protocol import operators as messages
from poplarloft.protocol import usage as usage_form
from poplarloft import state

__all__ = ["Frontend"]


class Frontend:
    """The daemon's paths.

    Parameters
    ----------
    request_relay : relay.Relay
        Answers callers.
    rollout_service : rollouts.RolloutService
        Answers trainers.
    usage_service : usage.UsageService
        Keeps the usage ledger.
    report : status.InstanceReport
        What operators see of this instance.
    operator_api : operators.OperatorApi
        Answers about the configuration.
    stop_requested : asyncio.Event
        Set when an operator asks for a shutdown.
    secure : bool
        Whether clients come by TLS only.
    """

    def __init__(
        self,
        request_relay: relay.Relay,
        rollout_service: rollouts.RolloutService,
        usage_service: usage.UsageService,
        report: status.InstanceReport,
        operator_api: operators.OperatorApi,
        stop_requested: asyncio.Event,
        secure: bool,
    ) -> None:
        self.relay = request_relay
        self.rollouts = rollout_service
        self.usage = usage_service
        self.report = report
        self.operators = operator_api
        self.stop_requested = stop_requested
        self.console = console.Console(
            usage_service, report, operator_api, secure
        )

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Answer one request."""
        self.report.in_flight += 1
        try:
            return await self._route(request)
        finally:
            self.report.in_flight -= 1

    async def _route(self, request: http.HttpRequest) -> http.HttpResponse:
        if request.path.startswith(relay.ROUTE_PREFIX):
            return await self.relay.handle(request)
        match request.method, request.path.strip("/").split("/"):
            case "GET", ["healthz"]:
                return http.json_response(200, {"healthy": True})
            case "GET", ["readyz"]:
                return self._readiness()
            case "POST", ["v1", "lots", name, "pull"]:
                return await self.rollouts.handle_pull(name, request)
            case _, ["console", *parts]:
                return await self.console.handle(request, parts)
            case method, ["v1", *parts]:
                return await self._operate(request, method, parts)
        return _unknown(request)

    async def _operate(
        self, request: http.HttpRequest, method: str, parts: list[str]
    ) -> http.HttpResponse:
        """Answer an operator, who must show an owner's token."""
        owner = self.operators.find_owner(request)
        if owner is None:
            return operators.refuse(
                state.Reason.UNAUTHENTICATED,
                "an operator's bearer token is needed",
            )
        match method, parts:
            case "GET", ["status"]:
                return http.json_response(200, self.report.status())
            case "GET", ["histograms"]:
                return http.json_response(200, self.report.histograms(owner))
            case "POST", ["drain"]:
                self.stop_requested.set()
                return http.json_response(202, {"draining": True})
            case _, ["config", *rest]:
                return await self._configure(request, owner, rest)
            case _, ["usage", *rest]:
                return await self._account(request, owner, rest)
        return _unknown(request)

    async def _configure(
        self, request: http.HttpRequest, owner: str, parts: list[str]
    ) -> http.HttpResponse:
        """Answer an operator about the configuration."""
        api = self.operators
        match request.method, parts:
            case "GET", []:
                return await api.show()
            case "POST", ["proposals"]:
                return await api.propose(owner, request)
            case "POST", ["proposals", proposal_id, "accept"]:
                return await api.accept(owner, proposal_id)
            case "POST", ["proposals", proposal_id, "withdraw"]:
                return await api.withdraw(owner, proposal_id)
            case "POST", ["proposals", proposal_id, "dispute"]:
                return await api.dispute(owner, proposal_id, request)
        return _unknown(request)

    async def _account(
        self, request: http.HttpRequest, owner: str, parts: list[str]
    ) -> http.HttpResponse:
        """Answer an operator about the usage ledger."""
        match request.method, parts:
            case "GET", []:
                return await self._usage()
            case "GET", ["disputes"]:
                disputes = await self.usage.disputes()
                return http.json_response(200, disputes or ())
            case "POST", [sequence, "dispute"] if sequence.isdecimal():
                return await self._dispute_usage(owner, int(sequence), request)
        return _unknown(request)

    def _readiness(self) -> http.HttpResponse:
        if self.report.is_ready:
            return http.json_response(200, {"ready": True})
        return operators.refuse(
            state.Reason.NOT_READY,
            "the instance has no configuration yet or is shutting down",
        )

    async def _usage(self) -> http.HttpResponse:
        """Return the data centre's ledger, which both owners may read."""
        entries = await self.usage.entries()
        if entries is None:
            return operators.refuse(
                state.Reason.NOT_READY, "the usage ledger can't be read"
            )
        body = usage_form.encode_segment(state.UsageSegment(tuple(entries)))
        return http.HttpResponse(
            200, (("content-type", "application/json"),), body
        )

    async def _dispute_usage(
        self, owner: str, sequence: int, request: http.HttpRequest
    ) -> http.HttpResponse:
        try:
            reason = messages.decode_reason(request.body)
        except errors.FieldError as error:
            return operators.refuse(state.Reason.BAD_REQUEST, str(error))
        disputed = await self.usage.dispute(owner, sequence, reason)
        match disputed:
            case result.Success(dispute):
                return http.json_response(200, dispute)
            case result.Failure(refusal):
                return http.problem_response(refusal)
        raise AssertionError(disputed)


def _unknown(request: http.HttpRequest) -> http.HttpResponse:
    return operators.refuse(
        state.Reason.UNKNOWN_ROUTE,
        f"nothing answers {request.method} {request.path[:200]!r}",
    )
