"""What of a configuration no instance reads."""

import json

import pytest

from poplarloft.platform import documents
from poplarloft.protocol import errors

LIMITS = {
    "max_header_bytes": 1,
    "max_body_bytes": 1,
    "header_timeout_ms": 1,
    "idle_timeout_ms": 1,
}
ROUTE = {
    "name": "visits",
    "host": "h",
    "prefix": "/v/",
    "kind": "idempotent",
    "service": "app",
}


def find(**changes):
    document = {
        "version": 1,
        "routes": [ROUTE],
        "services": [{"name": "app", "engine": {"slots": 1}}],
        "limits": LIMITS,
        **changes,
    }
    return documents.find_unread(json.dumps(document).encode())


def test_a_document_in_known_words_is_read():
    assert find() == []


def test_fields_under_other_names_are_found_at_each_level():
    assert find(route={}) == [("configuration", "field 'route'")]
    assert find(routes=[{**ROUTE, "max_attempt": 2}]) == [
        ("routes.visits", "field 'max_attempt'")
    ]
    services = [{"name": "app", "engine": {"slots": 1, "memory": 5}}]
    assert find(services=services) == [
        ("services.app.engine", "field 'memory'")
    ]
    assert find(limits={**LIMITS, "x": 1}) == [("limits", "field 'x'")]


def test_lists_of_plain_values_are_read_and_not_told():
    account = {"name": "x", "keys": ["secret"], "key_digest": "secret"}
    assert find(tenants=[account]) == [("tenants.x", "field 'key_digest'")]
    scaling = {"min": 0, "max": 1, "boot_s": 1, "zone_prices": {"a": 1.0}}
    assert find(services=[{"name": "app", "scaling": scaling}]) == []


def test_routes_of_an_unknown_kind_are_found():
    assert find(routes=[{**ROUTE, "kind": "idempotnt"}]) == [
        ("routes.visits", "kind 'idempotnt'")
    ]


def test_what_is_no_configuration_is_an_error():
    with pytest.raises(errors.FieldError):
        documents.find_unread(b"[]")
