"""Pages of the console, rendered from templates."""

import dataclasses
import difflib
import hashlib
import hmac
import http.cookies
import json

import jinja2

from poplarloft import coordination
from poplarloft.protocol import documents
from poplarloft.protocol import http as http_messages
from poplarloft.protocol import operators
from poplarloft import state

__all__ = [
    "ConsoleView",
    "ProposalView",
    "cookie_header",
    "csrf_token",
    "format_document",
    "proposal_view",
    "read_cookie",
    "render_page",
]

COOKIE_NAME = "poplarloft"
COOKIE_AGE_S = 28_800
SECURITY_HEADERS = (
    ("content-type", "text/html; charset=utf-8"),
    ("cache-control", "no-store"),
    ("x-frame-options", "DENY"),
    ("x-content-type-options", "nosniff"),
    ("referrer-policy", "same-origin"),
    (
        "content-security-policy",
        "default-src 'none'; style-src 'unsafe-inline'; "
        "form-action 'self'; frame-ancestors 'none'",
    ),
)

_TEMPLATES = jinja2.Environment(
    loader=jinja2.PackageLoader("poplarloft.protocol"),
    autoescape=True,
    undefined=jinja2.StrictUndefined,
)


@dataclasses.dataclass(frozen=True)
class ProposalView:
    """A proposal as a page shows it."""

    proposal: state.Proposal
    text: str
    diff: str
    may_answer: bool
    may_withdraw: bool


@dataclasses.dataclass(frozen=True)
class ConsoleView:
    """What the overview shows."""

    owner: str
    csrf: str
    head: state.Configuration
    proposals: list[ProposalView]
    status: operators.InstanceStatus
    histograms: list[operators.HistogramRow]
    shares: list[coordination.OwnerShare]


def render_page(
    name: str, status: int, **values: object
) -> http_messages.HttpResponse:
    """Return the page of a template."""
    text = _TEMPLATES.get_template(f"{name}.html").render(
        kinds=[kind.value for kind in state.DocumentKind], **values
    )
    return http_messages.HttpResponse(status, SECURITY_HEADERS, text.encode())


def csrf_token(token: str) -> str:
    """Return what a form must carry beside the session's cookie.

    It depends on the operator's token only, so that any instance behind
    the balancer can check it.
    """
    digest = hmac.new(token.encode(), b"poplarloft console", hashlib.sha256)
    return digest.hexdigest()


def cookie_header(token: str, secure: bool) -> tuple[str, str]:
    """Return the header that opens a session, or ends it if empty."""
    cookie: http.cookies.SimpleCookie = http.cookies.SimpleCookie()
    cookie[COOKIE_NAME] = token
    morsel = cookie[COOKIE_NAME]
    morsel["path"] = "/console"
    morsel["httponly"] = True
    morsel["samesite"] = "Strict"
    morsel["max-age"] = COOKIE_AGE_S if token else 0
    if secure:
        morsel["secure"] = True
    return ("set-cookie", morsel.OutputString())


def read_cookie(headers: dict[str, str]) -> str | None:
    """Return the operator's token in a request's cookie, if any."""
    cookie: http.cookies.SimpleCookie = http.cookies.SimpleCookie()
    try:
        cookie.load(headers.get("cookie", ""))
    except http.cookies.CookieError:
        return None
    morsel = cookie.get(COOKIE_NAME)
    return morsel.value if morsel is not None and morsel.value else None


def proposal_view(
    head: state.Configuration, proposal: state.Proposal, owner: str
) -> ProposalView:
    """Return a proposal with its difference to what is in force."""
    document = proposal.document
    in_force = head.find(document.kind, document.name)
    old = format_document(in_force) if in_force is not None else ""
    new = format_document(document)
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "in force", "proposed", lineterm=""
    )
    pending = proposal.state is state.ProposalState.PENDING
    return ProposalView(
        proposal,
        new,
        "\n".join(lines),
        pending and owner not in proposal.accepted_by,
        pending and owner == proposal.proposer,
    )


def format_document(document: state.Document) -> str:
    """Return a document as indented JSON."""
    plain = json.loads(documents.encode_document(document))
    return json.dumps(plain, indent=2, sort_keys=True, ensure_ascii=False)
