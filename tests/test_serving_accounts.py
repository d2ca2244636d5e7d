"""Client accounts on the whole path: keys, lots, withdrawals, secrecy."""

import asyncio
import base64
import json

import eliot
import pytest

from poplarloft.daemon.serving import telemetry
from poplarloft import state
from tests import serving_fleet

KEYS = {"norte": ["key-norte-1", "key-norte-2"], "sur": ["key-sur-1"]}
ALL_KEYS = [key for keys in KEYS.values() for key in keys]


def configuration(version=1, keys=None, priority=None):
    """Return a configuration with accounts and a public route for scores."""
    document = json.loads(serving_fleet.configuration(version))
    scores = {**document["routes"][0], "name": "scores", "public": True}
    document["routes"].append({**scores, "prefix": "/p/score"})
    document["tenants"] = [
        {"name": name, "keys": listed, "priority": priority}
        for name, listed in (keys or KEYS).items()
    ]
    return json.dumps(document).encode()


class LogLines:
    """A destination of log lines that keeps them."""

    dropped = 0

    def __init__(self):
        self.lines = []

    def write(self, line):
        self.lines.append(line)

    def flush(self):
        pass


@pytest.fixture
def recorder():
    """Return the log lines and metrics of all daemons of the test."""
    made = telemetry.Telemetry(state.MonotonicClock(), "test", LogLines())
    eliot.add_destinations(made.on_event)
    yield made
    eliot.remove_destination(made.on_event)


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet(services=2, engines=2)
    made.uses_change_feed = True
    made.has_members = True
    await made.start(entries=2)
    await made.store.put("op/config", configuration(2))
    await serving_fleet.eventually(
        lambda: all(
            d.operator.configuration.version == 2 for d in made.entries
        )
    )
    yield made
    await made.stop()


async def send(fleet, key, path="/p/x", request_id="r", headers=(), **options):
    """Return the status of a request with an API key."""
    rows = [("x-request-id", request_id), *headers]
    if key:
        rows.append(("authorization", f"Token {key}"))
    status, _, _ = await fleet.call("POST", path, b"", rows, **options)
    return status


def seen(fleet, request_id):
    """Return the headers of a request at the upstream that ran it."""
    for upstream in (*fleet.services, *fleet.engines):
        if request_id in upstream.headers:
            return upstream.headers[request_id]
    return None


async def test_upstream_is_told_the_account_and_not_the_key(fleet):
    forged = (("x-tenant", "sur"),)
    assert await send(fleet, "key-norte-2", headers=forged) == 200
    headers = seen(fleet, "r")
    assert headers["x-tenant"] == "norte"
    assert "authorization" not in headers


@pytest.mark.parametrize("key", ["", "key-of-nobody"])
async def test_unknown_keys_are_refused(fleet, key):
    assert await send(fleet, key) == 401
    assert seen(fleet, "r") is None


async def test_public_route_needs_no_key(fleet):
    forged = (("x-tenant", "sur"),)
    assert await send(fleet, "", "/p/score", headers=forged) == 200
    assert "x-tenant" not in seen(fleet, "r")
    unknown = await send(fleet, "key-of-nobody", "/p/score", "other")
    assert unknown == 200
    assert "authorization" not in seen(fleet, "other")


async def test_new_key_works_before_its_configuration_is_known(fleet):
    for daemon in fleet.entries:
        daemon.operator.history.confirm = lambda at_ms: None
    added = {**KEYS, "norte": [*KEYS["norte"], "key-new"]}
    await fleet.store.put("op/config", configuration(3, added))
    assert await send(fleet, "key-new") == 200


async def test_unknown_key_is_not_run_while_the_store_is_away(fleet):
    fleet.store.is_down = True
    assert await send(fleet, "key-of-nobody") == 503
    assert await send(fleet, "key-norte-1", request_id="known") == 200


async def test_withdrawn_key_stops_working(fleet):
    left = {"norte": ["key-norte-2"], "sur": []}
    await fleet.store.put("op/config", configuration(3, left))
    await serving_fleet.eventually(
        lambda: all(
            d.operator.configuration.version == 3 for d in fleet.entries
        )
    )
    for daemon in fleet.entries:
        assert await send(fleet, "key-norte-1", daemon=daemon) == 401
        assert await send(fleet, "key-sur-1", daemon=daemon) == 401
        assert await send(fleet, "key-norte-2", daemon=daemon) == 200


def key_header(key):
    return (("authorization", f"Token {key}"),)


async def test_lot_belongs_to_its_account(fleet):
    first, second = fleet.entries
    body = serving_fleet.lot_body(4)
    submitted = (*key_header("key-norte-1"), ("x-request-id", "lot"))
    status, _, _ = await fleet.call("POST", "/l/x", body, submitted, first)
    assert status == 202
    for key, expected in (
        ("key-norte-2", 200),
        ("key-sur-1", 404),
        ("key-of-nobody", 401),
    ):
        rows = (*key_header(key), ("x-wait-ms", "100"))
        for path in ("lots/lot?after=0", "items/lot?id=item-0"):
            status, _, _ = await fleet.call(
                "GET", f"/poplarloft/{path}", headers=rows, daemon=second
            )
            assert status == expected, (key, path)
    status, _, _ = await fleet.call(
        "DELETE", "/poplarloft/lots/lot", headers=key_header("key-sur-1")
    )
    assert status == 404
    await serving_fleet.eventually(lambda: seen(fleet, "item-0"))
    assert seen(fleet, "item-0")["x-tenant"] == "norte"
    await serving_fleet.eventually(lambda: seen(fleet, "reward-0"))
    assert "x-tenant" not in seen(fleet, "reward-0")
    status, _, _ = await fleet.call(
        "DELETE",
        "/poplarloft/lots/lot",
        headers=key_header("key-norte-2"),
        daemon=second,
    )
    assert status == 200


async def test_lot_outlives_the_key_it_was_submitted_with(fleet):
    body = serving_fleet.lot_body(2, events=200)
    submitted = (*key_header("key-norte-1"), ("x-request-id", "lot"))
    status, _, _ = await fleet.call("POST", "/l/x", body, submitted)
    assert status == 202
    left = {"norte": ["key-norte-2"], "sur": []}
    await fleet.store.put("op/config", configuration(3, left))
    results = []
    async with asyncio.timeout(15):
        while len(results) < 2:
            status, _, found = await fleet.call(
                "GET",
                f"/poplarloft/lots/lot?after={len(results)}",
                headers=(*key_header("key-norte-2"), ("x-wait-ms", "300")),
            )
            if status == 200:
                results += json.loads(found)["results"]
    assert {row["state"] for row in results} == {"completed"}


async def test_priority_of_the_account_goes_before_the_route(fleet):
    await fleet.store.put("op/config", configuration(3, priority=1))
    daemon = fleet.bulks[0]
    await serving_fleet.eventually(
        lambda: daemon.views.operator.configuration.version == 3
    )
    submitted = (*key_header("key-norte-1"), ("x-request-id", "lot"))
    body = serving_fleet.lot_body(1)
    status, _, _ = await fleet.call("POST", "/l/x", body, submitted)
    assert status == 202
    await serving_fleet.eventually(lambda: seen(fleet, "item-0"))
    assert seen(fleet, "item-0")["x-request-priority"] == "1"


async def test_keys_are_in_no_log_metric_message_or_store_entry(
    fleet, recorder
):
    sent = []
    for daemon in (*fleet.entries, *fleet.bulks):
        sockets = daemon.peers.sockets
        original = sockets.send

        def send_and_keep(address, data, *, is_bulk=False, send=original):
            sent.append(data)
            return send(address, data, is_bulk=is_bulk)

        sockets.send = send_and_keep
    fleet.store.is_down = True
    for key in (*ALL_KEYS, "key-of-nobody"):
        await send(fleet, key, "/once/x", f"away-{key[-7:]}")
    fleet.store.is_down = False
    await fleet.store.put("op/config", configuration(3))
    await fleet.store.put("op/config", b'{"tenants":[{"keys":["key-sur-1"')
    for daemon in fleet.entries:
        for key in (*ALL_KEYS, "key-of-nobody"):
            await send(fleet, key, request_id="r", daemon=daemon)
    submitted = (*key_header("key-norte-1"), ("x-request-id", "lot"))
    body = serving_fleet.lot_body(2)
    await fleet.call("POST", "/l/x", body, submitted)
    await serving_fleet.eventually(lambda: seen(fleet, "reward-0"))
    await fleet.store.put("op/config", configuration(4))
    first, second = fleet.entries
    await serving_fleet.eventually(
        lambda: first.operator.configuration.version == 4
    )
    # Instances pass the configuration on to each other.
    asked = state.FeedRequest(
        "test", second.peers.address, 0, {"op/config": 0}
    )
    second.peers.send_reliably(first.peers.address, asked)
    await serving_fleet.eventually(lambda: b"key_digests" in b"".join(sent))
    recorder.summarize()
    written = b"".join(recorder.output.lines) + recorder.page.render()
    held = repr([d.operator.history.entries for d in fleet.entries]).encode()
    stored = b"".join(
        base64.b64decode(entry.value)
        for key, entry in fleet.store.entries.items()
        if not key.startswith("op/")
    )
    assert sent and written and stored
    for key in (*ALL_KEYS, "key-of-nobody"):
        for text in (written, b"".join(sent), held, stored):
            assert key.encode() not in text
