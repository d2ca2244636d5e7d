"""Web console for operators under ``/console``."""

import hmac
import uuid

from returns import result

from poplarloft import coordination
from poplarloft.daemon import operators
from poplarloft.daemon import status
from poplarloft.daemon import usage
from poplarloft.protocol import console
from poplarloft.protocol import credentials
from poplarloft.protocol import documents
from poplarloft.protocol import errors
from poplarloft.protocol import forms
from poplarloft.protocol import http
from poplarloft import state

__all__ = ["Console"]

SEE_OTHER = 303
PROPOSALS_SHOWN = 20


class Console:
    """Pages for operators, who sign in with their bearer token.

    Parameters
    ----------
    usage_service : usage.UsageService
        Reads the usage ledger.
    report : status.InstanceReport
        Status and histograms of this instance.
    operator_api : operators.OperatorApi
        Reads and changes the configuration.
    secure : bool
        Whether cookies are restricted to TLS connections.
    """

    def __init__(
        self,
        usage_service: usage.UsageService,
        report: status.InstanceReport,
        operator_api: operators.OperatorApi,
        secure: bool,
    ) -> None:
        self.usage = usage_service
        self.report = report
        self.operators = operator_api
        self.secure = secure

    async def handle(
        self, request: http.HttpRequest, parts: list[str]
    ) -> http.HttpResponse:
        """Handle a request whose path starts with ``/console``."""
        if (request.method, parts) == ("POST", ["login"]):
            return self._login(request)
        token = console.read_cookie(request.headers)
        owner = credentials.find_operator(self._head(), token)
        if owner is None or token is None:
            return console.render_page("login", 200, error="")
        csrf = console.csrf_token(token)
        if request.method == "GET":
            return await self._handle_get(owner, csrf, parts)
        try:
            values = forms.parse_form(request.body)
        except errors.FieldError as error:
            return operators.refuse(state.Reason.BAD_REQUEST, str(error))
        if not hmac.compare_digest(values.get("csrf", ""), csrf):
            return operators.refuse(
                state.Reason.FORBIDDEN,
                "the CSRF token does not match this session",
            )
        return await self._handle_post(owner, csrf, parts, values)

    def _head(self) -> state.Configuration:
        return self.operators.service.latest

    def _login(self, request: http.HttpRequest) -> http.HttpResponse:
        try:
            token = forms.parse_form(request.body).get("token", "")
        except errors.FieldError:
            token = ""
        if credentials.find_operator(self._head(), token) is None:
            return console.render_page(
                "login", 403, error="This token belongs to no operator."
            )
        return _redirect(console.cookie_header(token, self.secure))

    async def _handle_get(
        self, owner: str, csrf: str, parts: list[str]
    ) -> http.HttpResponse:
        match parts:
            case [] | [""]:
                return await self._overview(owner, csrf)
            case ["new", kind] if kind in list(state.DocumentKind):
                return _form(state.DocumentKind(kind), csrf, None, {})
        return operators.refuse(state.Reason.UNKNOWN_ROUTE, "no such page")

    async def _overview(self, owner: str, csrf: str) -> http.HttpResponse:
        await self.operators.service.read_once()
        head = self._head()
        newest = list(reversed(head.proposals))[:PROPOSALS_SHOWN]
        entries = await self.usage.entries()
        totals = coordination.ledger_totals(entries or [])
        view = console.ConsoleView(
            owner,
            csrf,
            head,
            [console.proposal_view(head, p, owner) for p in newest],
            self.report.status(),
            self.report.histograms(owner),
            coordination.owner_shares(totals),
        )
        return console.render_page("overview", 200, view=view)

    async def _handle_post(
        self,
        owner: str,
        csrf: str,
        parts: list[str],
        values: dict[str, str],
    ) -> http.HttpResponse:
        match parts:
            case ["logout"]:
                return _redirect(console.cookie_header("", self.secure))
            case ["preview", kind] if kind in list(state.DocumentKind):
                return self._preview(
                    state.DocumentKind(kind), owner, csrf, values
                )
            case ["propose", kind] if kind in list(state.DocumentKind):
                return await self._propose(
                    state.DocumentKind(kind), owner, csrf, values
                )
            case ["proposals", proposal_id, action]:
                return await self._resolve(owner, proposal_id, action, values)
        return operators.refuse(state.Reason.UNKNOWN_ROUTE, "no such form")

    def _preview(
        self,
        kind: state.DocumentKind,
        owner: str,
        csrf: str,
        values: dict[str, str],
    ) -> http.HttpResponse:
        form_result = forms.document_from_form(kind, owner, values)
        if form_result.document is None:
            return _form(kind, csrf, values, form_result.field_errors)
        return console.render_page(
            "preview",
            200,
            kind=kind.value,
            text=console.format_document(form_result.document),
            values=values,
        )

    async def _propose(
        self,
        kind: state.DocumentKind,
        owner: str,
        csrf: str,
        values: dict[str, str],
    ) -> http.HttpResponse:
        """Propose the document of a form.

        The proposal's id is derived from the document and the form's nonce,
        so a form that is submitted twice makes one proposal.
        """
        form_result = forms.document_from_form(kind, owner, values)
        document = form_result.document
        if document is None:
            return _form(kind, csrf, values, form_result.field_errors)
        proposal_id = documents.proposal_id(document, values.get("nonce", ""))
        closes_at_ms = (
            self.operators.wall_clock.now_ms() + operators.DEFAULT_WINDOW_MS
        )
        outcome = await self.operators.service.change(
            lambda head: coordination.propose(
                head, document, owner, proposal_id, closes_at_ms
            )
        )
        match outcome:
            case result.Failure(refusal):
                return _form(kind, csrf, values, {"form": refusal.detail})
        return _redirect()

    async def _resolve(
        self,
        owner: str,
        proposal_id: str,
        action: str,
        values: dict[str, str],
    ) -> http.HttpResponse:
        changes: dict[str, coordination.Change] = {
            "accept": lambda head: coordination.accept(
                head, proposal_id, owner
            ),
            "withdraw": lambda head: coordination.withdraw(
                head, proposal_id, owner
            ),
            "dispute": lambda head: coordination.dispute(
                head, proposal_id, owner, values.get("reason", "")
            ),
        }
        if action not in changes:
            return operators.refuse(
                state.Reason.UNKNOWN_ROUTE, f"unknown action {action!r}"
            )
        match await self.operators.service.change(changes[action]):
            case result.Failure(refusal):
                return http.problem_response(refusal)
        return _redirect()


def _form(
    kind: state.DocumentKind,
    csrf: str,
    values: dict[str, str] | None,
    field_errors: dict[str, str],
) -> http.HttpResponse:
    fields = forms.form_fields(kind, values)
    known = {"form": "", **{field.name: "" for field in fields}}
    return console.render_page(
        "form",
        400 if field_errors else 200,
        kind=kind.value,
        csrf=csrf,
        nonce=(values or {}).get("nonce") or uuid.uuid4().hex,
        fields=fields,
        field_errors={**known, **field_errors},
    )


def _redirect(*headers: tuple[str, str]) -> http.HttpResponse:
    return http.HttpResponse(SEE_OTHER, (("location", "/console"), *headers))
