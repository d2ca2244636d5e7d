"""Routes HTTP requests to the components that handle them."""

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
from poplarloft.protocol import usage as usage_encoding
from poplarloft import state

__all__ = ["Frontend"]


class Frontend:
    """Request handler of the daemon's HTTP server.

    Parameters
    ----------
    request_relay : relay.Relay
        Handles callers' requests.
    rollout_service : rollouts.RolloutService
        Handles trainers' requests.
    usage_service : usage.UsageService
        Reads the usage ledger and records disputes.
    report : status.InstanceReport
        Status and histograms of this instance.
    operator_api : operators.OperatorApi
        Handles operators' requests about the configuration.
    stop_requested : asyncio.Event
        Set when an operator requests a shutdown.
    secure : bool
        Whether the server accepts only TLS connections.
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
        """Handle a request and count it as in flight meanwhile."""
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
                return await self._handle_operator(request, method, parts)
        return _not_found(request)

    async def _handle_operator(
        self, request: http.HttpRequest, method: str, parts: list[str]
    ) -> http.HttpResponse:
        """Handle a request that needs an operator's bearer token."""
        owner = self.operators.find_owner(request)
        if owner is None:
            return operators.refuse(
                state.Reason.UNAUTHENTICATED,
                "an operator's bearer token is required",
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
                return await self._handle_configuration(request, owner, rest)
            case _, ["usage", *rest]:
                return await self._handle_usage(request, owner, rest)
        return _not_found(request)

    async def _handle_configuration(
        self, request: http.HttpRequest, owner: str, parts: list[str]
    ) -> http.HttpResponse:
        """Handle a request about the configuration."""
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
        return _not_found(request)

    async def _handle_usage(
        self, request: http.HttpRequest, owner: str, parts: list[str]
    ) -> http.HttpResponse:
        """Handle a request about the usage ledger."""
        match request.method, parts:
            case "GET", []:
                return await self._usage_ledger()
            case "GET", ["disputes"]:
                disputes = await self.usage.disputes()
                return http.json_response(200, disputes or ())
            case "POST", [sequence, "dispute"] if sequence.isdecimal():
                return await self._dispute_usage(owner, int(sequence), request)
        return _not_found(request)

    def _readiness(self) -> http.HttpResponse:
        if self.report.is_ready:
            return http.json_response(200, {"ready": True})
        return operators.refuse(
            state.Reason.NOT_READY,
            "the instance has no configuration yet or is shutting down",
        )

    async def _usage_ledger(self) -> http.HttpResponse:
        """Return the data centre's usage ledger, which all owners may read."""
        entries = await self.usage.entries()
        if entries is None:
            return operators.refuse(
                state.Reason.NOT_READY, "the usage ledger could not be read"
            )
        body = usage_encoding.encode_segment(
            state.UsageSegment(tuple(entries))
        )
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


def _not_found(request: http.HttpRequest) -> http.HttpResponse:
    return operators.refuse(
        state.Reason.UNKNOWN_ROUTE,
        f"no handler for {request.method} {request.path[:200]!r}",
    )
