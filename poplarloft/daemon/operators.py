"""The operators' interface under ``/v1/`` and the health checks."""

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
    """Answers operators about the configuration.

    Parameters
    ----------
    service : configuration.ConfigurationService
        The configuration as this instance sees it.
    wall_clock : state.Clock
        Unix time, for proposals' windows.
    """

    def __init__(
        self,
        service: configuration.ConfigurationService,
        wall_clock: state.Clock,
    ) -> None:
        self.service = service
        self.wall_clock = wall_clock

    def find_owner(self, request: http.HttpRequest) -> str | None:
        """Return the owner whose operator sent the request."""
        try:
            headers = http.parse_caller_headers(request.headers)
        except errors.FieldError:
            return None
        return credentials.find_operator(self.service.latest, headers.token)

    async def show(self) -> http.HttpResponse:
        """Return the configuration with its newest proposals."""
        await self.service.read_once()
        return http.HttpResponse(
            200,
            (("content-type", "application/json"),),
            documents.encode_head(self.service.latest),
        )

    async def propose(
        self, owner: str, request: http.HttpRequest
    ) -> http.HttpResponse:
        """Make a proposal of the document in the request's body."""
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
        """Accept a proposal."""
        return await self._change(
            lambda head: coordination.accept(head, proposal_id, owner),
            proposal_id,
        )

    async def withdraw(
        self, owner: str, proposal_id: str
    ) -> http.HttpResponse:
        """Take back a proposal."""
        return await self._change(
            lambda head: coordination.withdraw(head, proposal_id, owner),
            proposal_id,
        )

    async def dispute(
        self, owner: str, proposal_id: str, request: http.HttpRequest
    ) -> http.HttpResponse:
        """Dispute a proposal with the reason in the request's body."""
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
    """Return the problem document of a request that did not run."""
    return http.problem_response(
        state.Refusal(reason, state.Verdict.NOT_RUN, detail)
    )
