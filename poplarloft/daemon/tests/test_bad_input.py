"""Invalid input from callers and operators is refused with clear errors."""

import asyncio
import contextlib
import dataclasses

import msgspec
import pytest
import pytest_asyncio

from poplarloft.protocol import documents
from poplarloft import state
from poplarloft.transport import http_client
from standins import platform

MAX_BODY_BYTES = 1_000_000

OWNER, OTHER = platform.OWNERS
LIMIT_BYTES = 2_000
READY_S = 30


def route():
    body = state.RouteBody("directorio-app", max_body_bytes=LIMIT_BYTES)
    return state.Document(state.DocumentKind.ROUTE, OWNER, "find", body)


@contextlib.asynccontextmanager
async def running_daemon(**settings):
    """A daemon on a stand-in platform."""
    small_platform = platform.SmallPlatform()
    await small_platform.start(engines=1, plains=1, scorers=1)
    owners = [platform.owner_document(o) for o in platform.OWNERS]
    small_platform.put_in_force(*owners, route())
    node = await small_platform.start_node(
        "entry-1", platform.LOCATIONS[0], **settings
    )
    async with asyncio.timeout(READY_S):
        while not node.is_ready:
            await asyncio.sleep(0.01)
    yield node
    await small_platform.stop()


@pytest_asyncio.fixture
async def daemon():
    """A daemon with short time limits."""
    async with running_daemon(
        head_timeout_ms=200, body_timeout_ms=200, max_head_bytes=2_048
    ) as node:
        yield node


@pytest_asyncio.fixture
async def patient_daemon():
    """A daemon that waits for large bodies on a busy machine."""
    async with running_daemon() as node:
        yield node


@contextlib.asynccontextmanager
async def response_to(node, method, path, headers=(), body=b""):
    client = http_client.HttpClient()
    sent = await client.send(node.address, method, path, headers, body)
    yield sent.unwrap()
    client.close()


def bearer(token):
    return [("authorization", f"Bearer {token}")]


CALLER = bearer(platform.caller_token(OWNER))


@pytest.mark.parametrize(
    "path, headers, status, expected",
    [
        ("/r/nowhere/x", CALLER, 404, "no route matches path"),
        ("/v9/x", CALLER, 404, "no handler for POST"),
        ("/r/find/x", [], 401, "bearer token is missing"),
        ("/r/find/x", bearer("guess"), 401, "belongs to no owner"),
        (
            "/r/find/x",
            bearer(platform.caller_token(OTHER)),
            403,
            "does not belong to owner 'asociacion'",
        ),
        (
            "/r/find/x",
            [*CALLER, ("poplarloft-deadline-ms", "soon")],
            400,
            "Poplarloft-Deadline-Ms: expected a whole number",
        ),
        (
            "/r/find/x",
            [*CALLER, ("idempotency-key", "42")],
            400,
            "Idempotency-Key: expected a UUID of version 7, got '42'",
        ),
        (
            "/r/find/x",
            [*CALLER, ("poplarloft-class", "vip")],
            400,
            "Poplarloft-Class: expected one of ['live', 'batch']",
        ),
        ("/v1/status", CALLER, 401, "an operator's bearer token"),
    ],
)
async def test_refusals_name_what_is_wrong(
    daemon, path, headers, status, expected
):
    async with response_to(daemon, "POST", path, headers) as response:
        problem = msgspec.json.decode(await response.read(MAX_BODY_BYTES))
    assert response.status == problem["status"] == status
    assert expected in problem["detail"]
    assert response.headers["poplarloft-verdict"] == "not-run"
    assert response.headers["content-type"] == "application/problem+json"


async def test_oversized_body_is_refused_unread(daemon):
    body = b"x" * (LIMIT_BYTES + 1)
    async with response_to(
        daemon, "POST", "/r/find/x", CALLER, body
    ) as response:
        problem = msgspec.json.decode(await response.read(MAX_BODY_BYTES))
    assert response.status == 413
    assert problem["detail"] == f"body is over {LIMIT_BYTES} bytes"


async def raw_response(node, *pieces, pause_s=0.0):
    """Send raw bytes; return everything the daemon sends back."""
    address = node.address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(pause_s)
    response = await reader.read()
    writer.close()
    return response


async def test_malformed_http_is_refused(daemon):
    response = await raw_response(
        daemon, b"GET / HTTP/1.1\r\nbad header\r\n\r\n"
    )
    assert response.startswith(b"HTTP/1.1 400")
    assert b"malformed request" in response


async def test_oversized_head_is_refused(daemon):
    head = b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 4_000
    response = await raw_response(daemon, head)
    assert response.startswith(b"HTTP/1.1 431")


async def test_slow_head_is_refused(daemon):
    response = await raw_response(daemon, b"GET / HTTP/1.1\r\n")
    assert response.startswith(b"HTTP/1.1 408")
    assert b"request head did not arrive in 200 ms" in response


async def test_slow_body_is_refused(daemon):
    head = b"POST /r/find/x HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab"
    response = await raw_response(daemon, head)
    assert response.startswith(b"HTTP/1.1 408")
    assert b"request body did not arrive in 200 ms" in response


OPERATOR = bearer(platform.operator_token(OWNER))


@pytest.mark.parametrize(
    "document, expected",
    [
        (b"{", "document: Invalid JSON"),
        (b'{"kind": "map"}', "document: Input tag 'map'"),
        (
            b'{"kind":"release","owner":"red-peritos","name":"r",'
            b'"body":{"fingerprint":"short"}}',
            "release.body.fingerprint: String should match pattern",
        ),
        (b" " * 1_000_001, "document: is 1000001 bytes"),
    ],
)
async def test_bad_documents_name_field_and_reason(
    patient_daemon, document, expected
):
    path = "/v1/config/proposals"
    async with response_to(
        patient_daemon, "POST", path, OPERATOR, document
    ) as response:
        problem = msgspec.json.decode(await response.read(MAX_BODY_BYTES))
    assert response.status == 400
    assert expected in problem["detail"]


async def test_document_of_unknown_owner_is_refused(daemon):
    document = dataclasses.replace(route(), owner="nobody")
    body = documents.encode_document(document)
    path = "/v1/config/proposals"
    async with response_to(daemon, "POST", path, OPERATOR, body) as response:
        problem = msgspec.json.decode(await response.read(MAX_BODY_BYTES))
    assert response.status == 409
    assert "belongs to owner 'nobody'" in problem["detail"]
