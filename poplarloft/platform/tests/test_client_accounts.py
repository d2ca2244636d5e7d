"""Accounts in the operator's configuration, and keys that stay secret."""

import base64
import json

import pytest

from poplarloft.platform import documents
from poplarloft.platform import ingress
from poplarloft.platform import sealing
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft import state

KEY = "b2na8n1k3j"
ROUTES = [
    {"name": "web", "host": "h", "prefix": "/w/", "kind": "idempotent"},
    {"name": "lots", "host": "h", "prefix": "/l/", "kind": "rollout"},
    {"name": "late", "host": "h", "prefix": "/z/", "kind": "idempotent"},
]


def configuration(accounts, public=()):
    routes = [{**row, "public": row["name"] in public} for row in ROUTES]
    document = {
        "version": 1,
        "routes": routes,
        "services": [],
        "limits": {
            "max_header_bytes": 1,
            "max_body_bytes": 1,
            "header_timeout_ms": 1,
            "idle_timeout_ms": 1,
        },
    }
    if accounts is not None:
        document["tenants"] = accounts
    return json.dumps(document).encode()


def test_accounts_are_read_with_the_digests_of_their_keys():
    value = configuration([{"name": "a", "keys": [KEY], "priority": 2}])
    read = documents.decode_configuration(value)
    digests = (http.bearer_digest(KEY),)
    assert read.accounts == {"a": state.ClientAccount("a", digests, 2)}
    assert KEY not in repr(read)


@pytest.mark.parametrize("accounts", [None, []])
def test_accounts_may_be_absent_or_none(accounts):
    read = documents.decode_configuration(configuration(accounts))
    assert read.accounts == accounts or read.accounts == {}


def test_account_may_have_lost_all_its_keys():
    value = configuration([{"name": "a", "keys": []}])
    read = documents.decode_configuration(value)
    assert read.accounts["a"].key_digests == ()


@pytest.mark.parametrize(
    "accounts, public, named",
    [
        (
            [{"name": "a", "keys": [KEY]}, {"name": "b", "keys": [KEY]}],
            (),
            "b",
        ),
        ([{"name": "a", "keys": []}, {"name": "a", "keys": []}], (), "a"),
        ([{"name": "a", "keys": [KEY]}], ("lots",), "lots"),
    ],
)
def test_contradictions_are_refused_without_naming_keys(
    accounts, public, named
):
    value = configuration(accounts, public)
    with pytest.raises(errors.FieldError) as caught:
        documents.decode_configuration(value)
    assert repr(named) in str(caught.value)
    assert KEY not in str(caught.value)


def test_sealed_configuration_means_the_same():
    value = configuration([{"name": "a", "keys": [KEY]}])
    sealed = sealing.seal_configuration(value)
    assert KEY.encode() not in sealed
    assert sealing.seal_configuration(sealed) == sealed
    assert documents.decode_configuration(
        sealed
    ) == documents.decode_configuration(value)


@pytest.mark.parametrize(
    "value", [b"", b"[1]", b'{"tenants":[{"keys":7}]}', b'{"tenants":["k"]}']
)
def test_configuration_that_cannot_be_read_is_not_kept(value):
    assert sealing.seal_configuration(value) == b""


@pytest.mark.parametrize("form", ["get", "items", "events"])
def test_answers_of_the_store_are_sealed(form):
    value = configuration([{"name": "a", "keys": [KEY]}])
    row = {"key": "op/config", "value": base64.b64encode(value).decode()}
    body = row if form == "get" else {form: [row, {"key": "op/x"}]}
    query = "key=op%2Fconfig" if form == "get" else "prefix=op%2F&after=3"
    sealed = sealing.sealed_answer(f"/any?{query}", json.dumps(body).encode())
    found = json.loads(sealed)
    found = found if form == "get" else found[form][0]
    assert KEY.encode() not in base64.b64decode(found["value"])
    other = json.dumps(body).encode()
    assert sealing.sealed_answer("/any?prefix=servers%2F", other) == other


@pytest.mark.parametrize(
    "value, key",
    [
        (f"Token {KEY}", KEY),
        (f"token  {KEY} ", KEY),
        (f"Bearer {KEY}", ""),
        ("Token ", ""),
        ("", ""),
    ],
)
def test_key_is_read_from_its_header(value, key):
    request = http.HttpRequest("GET", "/", "", {"authorization": value})
    expected = http.bearer_digest(key) if key else ""
    assert ingress.key_digest(request) == expected


def test_requests_of_an_account_are_alike_whatever_key_they_bear():
    def call(key, account):
        headers = {"authorization": f"Token {key}", "x-request-id": "r"}
        request = http.HttpRequest("GET", "/p", "", headers)
        return ingress.forwarded_call(request, state.Caller(account))

    first, second = call("k1", "a"), call("k2", "a")
    other = call("k1", "b")
    assert first.hasher().scope == second.hasher().scope
    assert first.hasher().scope != other.hasher().scope
    assert first.stream_key() == second.stream_key()
    assert first.stream_key() != other.stream_key()
