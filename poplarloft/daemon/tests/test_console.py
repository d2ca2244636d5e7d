"""The console: sign-in, form errors, disputes, forged forms."""

import re
import urllib.parse

import pytest_asyncio

from poplarloft import state
from poplarloft.transport import http_client
from standins import platform

MAX_BODY_BYTES = 1_000_000

OWNER, OTHER = platform.OWNERS
ROUTE = {
    "name": "find",
    "service": "directorio-app",
    "repeatable": "on",
    "timeout_ms": "5000",
    "max_body_bytes": "1000",
    "max_attempts": "2",
}


class Browser:
    """Client that keeps the session cookie and CSRF token of forms."""

    def __init__(self, node):
        self.node = node
        self.client = http_client.HttpClient()
        self.cookie = ""
        self.csrf = ""

    async def get(self, path):
        return await self._send("GET", path, b"")

    async def post(self, path, **fields):
        fields.setdefault("csrf", self.csrf)
        body = urllib.parse.urlencode(fields).encode()
        return await self._send("POST", path, body)

    async def sign_in(self, owner):
        token = platform.operator_token(owner)
        status, _ = await self.post("/console/login", token=token)
        assert status == 303
        _, page = await self.get("/console")
        self.csrf = re.search(r'name="csrf" value="(\w+)"', page)[1]
        return page

    async def _send(self, method, path, body):
        headers = [("cookie", self.cookie)] if self.cookie else []
        sent = await self.client.send(
            self.node.address, method, path, headers, body
        )
        response = sent.unwrap()
        text = (await response.read(MAX_BODY_BYTES)).decode()
        if "set-cookie" in response.headers:
            self.cookie = response.headers["set-cookie"].partition(";")[0]
        return response.status, text


@pytest_asyncio.fixture
async def node():
    small = platform.SmallPlatform()
    await small.start(engines=1, plains=1, scorers=0)
    small.put_in_force(*(platform.owner_document(o) for o in platform.OWNERS))
    yield await small.start_node("entry-1", platform.LOCATIONS[0])
    await small.stop()


def route_in_force(node):
    return node.configuration.current.find(state.DocumentKind.ROUTE, "find")


async def test_form_previews_its_document_and_the_other_owner_accepts(node):
    proposer, reviewer = Browser(node), Browser(node)
    await proposer.sign_in(OWNER)
    status, form = await proposer.get("/console/new/route")
    assert status == 200
    nonce = re.search(r'name="nonce" value="(\w+)"', form)[1]
    fields = {**ROUTE, "nonce": nonce}
    status, preview = await proposer.post("/console/preview/route", **fields)
    assert status == 200
    assert "&#34;service&#34;: &#34;directorio-app&#34;" in preview
    assert route_in_force(node) is None
    status, _ = await proposer.post("/console/propose/route", **fields)
    assert status == 303
    page = await reviewer.sign_in(OTHER)
    accept = re.search(r'action="(/console/proposals/\w+/accept)"', page)[1]
    assert (await reviewer.post(accept))[0] == 303
    assert route_in_force(node).body.timeout_ms == 5_000
    revision = node.configuration.follower.revision
    assert (await proposer.post("/console/propose/route", **fields))[0] == 303
    assert node.configuration.follower.revision == revision


async def test_dispute_carries_its_reason(node):
    proposer, reviewer = Browser(node), Browser(node)
    await proposer.sign_in(OWNER)
    await proposer.post("/console/propose/route", **ROUTE, nonce="1")
    page = await reviewer.sign_in(OTHER)
    dispute = re.search(r'action="(/console/proposals/\w+/dispute)"', page)[1]
    assert (await reviewer.post(dispute, reason="<b>too dear</b>"))[0] == 303
    _, page = await proposer.get("/console")
    assert "&lt;b&gt;too dear&lt;/b&gt;" in page
    assert route_in_force(node) is None


async def test_errors_appear_beside_their_fields(node):
    browser = Browser(node)
    await browser.sign_in(OWNER)
    wrong = {**ROUTE, "timeout_ms": "soon"}
    status, page = await browser.post("/console/preview/route", **wrong)
    assert status == 400
    field = page.index('id="timeout_ms"')
    error = page.index('class="error" role="alert"')
    assert field < error < page.index('id="max_body_bytes"')
    assert "got &#39;soon&#39;" in page


async def test_forged_and_unauthenticated_forms_change_nothing(node):
    browser = Browser(node)
    await browser.sign_in(OWNER)
    fields = {**ROUTE, "nonce": "1"}
    status, _ = await browser.post(
        "/console/propose/route", **{**fields, "csrf": "guess"}
    )
    assert status == 403
    stranger = Browser(node)
    assert (await stranger.post("/console/login", token="guess"))[0] == 403
    _, page = await stranger.post("/console/propose/route", **fields)
    assert "Sign in" in page
    assert node.configuration.latest.proposals == ()


async def test_every_kind_has_a_form(node):
    browser = Browser(node)
    await browser.sign_in(OWNER)
    for kind in state.DocumentKind:
        status, page = await browser.get(f"/console/new/{kind}")
        assert status == 200
        assert f"New {kind}" in page
