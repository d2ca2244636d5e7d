"""HTTP API for operators to read and change the configuration."""

import uuid

from returns import result

from poplarloft import coordination
from poplarloft.daemon import configuration
from poplarloft.protocol import credentials
from poplarloft.protocol import documents
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.protocol import operators
from poplarloft import state

__all__ = ["OperatorApi"]

DEFAULT_WINDOW_MS = 3_600_000


class OperatorApi:
    """Handles operators' requests about the configuration.

    Parameters
    ----------
    service : configuration.ConfigurationService
        The configuration as known to this instance.
    wall_clock : state.Clock
        Unix time, for the closing times of proposals.
    """

    def __init__(
        self,
        service: configuration.ConfigurationService,
        wall_clock: state.Clock,
    ) -> None:
        self.service = service
        self.wall_clock = wall_clock

    def find_owner(self, request: http.HttpRequest) -> str | None:
        """Return the owner whose operator sent the request, if known."""
        try:
            headers = http.parse_caller_headers(request.headers)
        except errors.FieldError:
            return None
        return credentials.find_operator(self.service.latest, headers.token)

    async def show(self) -> http.HttpResponse:
        """Return the newest configuration and its proposals."""
        await self.service.read_once()
        return http.HttpResponse(
            200,
            (("content-type", "application/json"),),
            documents.encode_head(self.service.latest),
        )

    async def propose(
        self, owner: str, request: http.HttpRequest
    ) -> http.HttpResponse:
        """Propose the document in the body of the request."""
        try:
            document = documents.decode_document(request.body)
            window_ms = operators.parse_window_ms(request.query)
        except errors.FieldError as error:
            return refuse(state.Reason.BAD_REQUEST, str(error))
        nonce = request.headers.get("idempotency-key") or uuid.uuid4().hex
        proposal_id = documents.proposal_id(document, nonce)
        closes_at_ms = self.wall_clock.now_ms() + (
            DEFAULT_WINDOW_MS if window_ms is None else window_ms
        )
        return await self._change(
            lambda head: coordination.propose(
                head, document, owner, proposal_id, closes_at_ms
            ),
            proposal_id,
        )

    async def accept(self, owner: str, proposal_id: str) -> http.HttpResponse:
        """Accept a proposal on behalf of an owner."""
        return await self._change(
            lambda head: coordination.accept(head, proposal_id, owner),
            proposal_id,
        )

    async def withdraw(
        self, owner: str, proposal_id: str
    ) -> http.HttpResponse:
        """Withdraw a proposal on behalf of an owner."""
        return await self._change(
            lambda head: coordination.withdraw(head, proposal_id, owner),
            proposal_id,
        )

    async def dispute(
        self, owner: str, proposal_id: str, request: http.HttpRequest
    ) -> http.HttpResponse:
        """Dispute a proposal with the reason in the body of the request."""
        try:
            reason = operators.decode_reason(request.body)
        except errors.FieldError as error:
            return refuse(state.Reason.BAD_REQUEST, str(error))
        return await self._change(
            lambda head: coordination.dispute(
                head, proposal_id, owner, reason
            ),
            proposal_id,
        )

    async def _change(
        self, change: coordination.Change, proposal_id: str
    ) -> http.HttpResponse:
        outcome = await self.service.change(change)
        match outcome:
            case result.Success(head):
                return http.json_response(
                    200, operators.proposal_status(head, proposal_id)
                )
            case result.Failure(refusal):
                return http.problem_response(refusal)
        raise AssertionError(outcome)


def refuse(reason: state.Reason, detail: str) -> http.HttpResponse:
    """Return a problem response for a request that was not executed."""
    return http.problem_response(
        state.Refusal(reason, state.Verdict.NOT_RUN, detail)
    )
