"""Leads each HTTP request to the part that answers it."""

import typing

from returns import result

from poplarloft.daemon import console
from poplarloft.daemon import operators
from poplarloft.daemon import relay
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.protocol import operators as messages
from poplarloft.protocol import usage as usage_form
from poplarloft import state

if typing.TYPE_CHECKING:
    from poplarloft.daemon import node

__all__ = ["Frontend"]


class Frontend:
    """The daemon's paths.

    Parameters
    ----------
    owner_node : node.Node
        The daemon.
    operator_api : operators.OperatorApi
        Answers about the configuration.
    """

    def __init__(
        self, owner_node: "node.Node", operator_api: operators.OperatorApi
    ) -> None:
        self.node = owner_node
        self.operators = operator_api
        self.in_flight = 0
        secure = owner_node.settings.tls_certificate is not None
        self.console = console.Console(self, operator_api, secure)

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Answer one request."""
        self.in_flight += 1
        try:
            return await self._route(request)
        finally:
            self.in_flight -= 1

    async def _route(self, request: http.HttpRequest) -> http.HttpResponse:
        if request.path.startswith(relay.ROUTE_PREFIX):
            return await self.node.relay.handle(request)
        match request.method, request.path.strip("/").split("/"):
            case "GET", ["healthz"]:
                return http.json_response(200, {"healthy": True})
            case "GET", ["readyz"]:
                return self._readiness()
            case "POST", ["v1", "lots", name, "pull"]:
                return await self.node.rollouts.handle_pull(name, request)
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
                return http.json_response(200, self.status())
            case "GET", ["histograms"]:
                return http.json_response(200, self.histograms(owner))
            case "POST", ["drain"]:
                self.node.stop_requested.set()
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
                disputes = await self.node.usage.disputes()
                return http.json_response(200, disputes or ())
            case "POST", [sequence, "dispute"] if sequence.isdecimal():
                return await self._dispute_usage(owner, int(sequence), request)
        return _unknown(request)

    def _readiness(self) -> http.HttpResponse:
        if self.node.is_ready:
            return http.json_response(200, {"ready": True})
        return operators.refuse(
            state.Reason.NOT_READY,
            "the instance has no configuration yet or is shutting down",
        )

    async def _usage(self) -> http.HttpResponse:
        """Return the data centre's ledger, which both owners may read."""
        entries = await self.node.usage.entries()
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
        disputed = await self.node.usage.dispute(owner, sequence, reason)
        match disputed:
            case result.Success(dispute):
                return http.json_response(200, dispute)
            case result.Failure(refusal):
                return http.problem_response(refusal)
        raise AssertionError(disputed)

    def status(self) -> messages.InstanceStatus:
        """Return what operators see of this instance."""
        node = self.node
        phase = node.shutdown.phase(self.in_flight)
        return messages.InstanceStatus(
            name=node.settings.name,
            incarnation=node.incarnation.number,
            region=node.place.region,
            data_centre=node.place.data_centre,
            phase=phase.value,
            ready=node.is_ready,
            revision=node.configuration.follower.revision,
            in_flight=self.in_flight,
            key_value_calls=node.store.calls,
            upstreams=self._upstream_rows(),
            lots=[
                messages.LotRow(
                    name=s.name,
                    owner=s.owner,
                    step=s.step,
                    steps=s.steps,
                    weight_version=s.weight_version,
                    buffered=s.buffered,
                    running=s.running,
                    wasted_tokens=s.wasted_tokens,
                )
                for s in node.rollouts.statuses()
            ],
        )

    def _upstream_rows(self) -> list[messages.UpstreamRow]:
        registry = self.node.upstreams.registry
        load = self.node.upstreams.load
        rows = []
        for upstream in registry.known.values():
            report = load.reports.get(upstream.name)
            rows.append(
                messages.UpstreamRow(
                    name=upstream.name,
                    service=upstream.service,
                    data_centre=upstream.place.data_centre,
                    eligible=registry.is_eligible(upstream),
                    queued_tokens=load.candidate(
                        upstream.name, 0.0
                    ).queued_tokens,
                    weight_version=report.weight_version if report else None,
                )
            )
        return rows

    def histograms(self, owner: str) -> list[messages.HistogramRow]:
        """Return the histograms that concern `owner`'s callers."""
        return [
            messages.HistogramRow(
                owner=s.key.owner,
                request_class=s.key.request_class,
                stage=s.key.stage,
                count=s.count,
                mean_ms=s.mean_ms,
                max_ms=s.max_ms,
                percentiles_ms={str(p): v for p, v in s.percentiles_ms},
            )
            for s in self.node.histograms.summaries()
            if s.key.owner == owner
        ]


def _unknown(request: http.HttpRequest) -> http.HttpResponse:
    return operators.refuse(
        state.Reason.UNKNOWN_ROUTE,
        f"nothing answers {request.method} {request.path[:200]!r}",
    )
