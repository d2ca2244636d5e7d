"""Single requests end to end: retries, refusals, limits and outages."""

import asyncio

import pytest

from tests import serving_fleet


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet()
    await made.start()
    yield made
    await made.stop()


async def post(fleet, path, request_id="r1", deadline=2_000):
    return await fleet.call(
        "POST",
        path,
        b"body",
        (("x-request-id", request_id), ("x-deadline-ms", str(deadline))),
    )


def runs(fleet):
    return [run for service in fleet.services for run in service.runs]


async def test_response_carries_its_signature(fleet):
    status, headers, body = await post(fleet, "/p/1")
    assert (status, body) == (200, b"answer to body")
    assert headers["x-server-stamp"].endswith(".r1")


async def test_unknown_route_is_404_only_under_a_configuration(fleet):
    assert (await post(fleet, "/nowhere/1"))[0] == 404
    unconfigured = await fleet.add_entry("entry-1")
    unconfigured.operator.configuration = None
    status, headers, _ = await fleet.call("POST", "/p/1", daemon=unconfigured)
    assert status == 503
    assert float(headers["retry-after"]) > 0


async def test_idempotent_request_is_retried_on_other_upstreams(fleet):
    for service in fleet.services:
        service.failing = 1
    assert (await post(fleet, "/p/1"))[0] == 200
    assert runs(fleet).count("r1") == 3


async def test_non_idempotent_request_runs_once_and_is_not_called_unrun(fleet):
    for service in fleet.services:
        service.silent = True
    status, _, _ = await post(fleet, "/once/1", deadline=200)
    assert status in (502, 504)
    assert runs(fleet) == ["r1"]


async def test_non_idempotent_request_with_lost_response_runs_once(fleet):
    for service in fleet.services:
        service.resets = 3
    status, _, _ = await post(fleet, "/once/1")
    assert status == 502
    assert runs(fleet) == ["r1"]


async def test_idempotent_request_with_lost_response_is_retried(fleet):
    for service in fleet.services:
        service.resets = 1
    assert (await post(fleet, "/p/1"))[0] == 200
    assert runs(fleet) == ["r1"] * 3


async def test_request_refused_as_not_run_did_not_run(fleet):
    for service in fleet.services:
        service.slots = 0
    status, headers, _ = await post(fleet, "/once/1")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert runs(fleet) == []


async def test_leaving_upstream_gets_no_new_requests(fleet):
    leaving, staying = fleet.services
    await fleet.announce(leaving, is_leaving=True)
    registry = fleet.entries[0].samplers.registry
    await serving_fleet.eventually(lambda: registry.known["s0"].is_leaving)
    for number in range(5):
        assert (await post(fleet, "/p/1", f"r{number}"))[0] == 200
    assert leaving.runs == []
    assert len(staying.runs) == 5


async def test_reused_address_refuses_another_name(fleet):
    moved, staying = fleet.services
    moved.name = "another"
    for number in range(4):
        assert (await post(fleet, "/p/1", f"r{number}"))[0] == 200
    assert moved.runs == []


async def test_client_disconnect_cancels_the_request(fleet):
    for service in fleet.services:
        service.silent = True
    call = asyncio.create_task(post(fleet, "/p/1", deadline=5_000))
    await serving_fleet.eventually(lambda: runs(fleet) == ["r1"])
    call.cancel()
    await serving_fleet.eventually(
        lambda: not any(s.server.sessions for s in fleet.services)
    )


async def test_malformed_entries_are_ignored(fleet):
    await fleet.store.put("servers/bad", b'{"service": "app"}')
    await fleet.store.put("servers/worse", b"\xff")
    await fleet.store.put("op/config", b'{"version": "x"}')
    await asyncio.sleep(0.2)
    assert (await post(fleet, "/p/1"))[0] == 200
    known = fleet.entries[0].samplers.registry.known
    assert set(known) == {"e0", "e1", "s0", "s1"}


async def test_older_configuration_is_ignored(fleet):
    await fleet.store.put("op/config", serving_fleet.configuration(5))
    operator = fleet.entries[0].operator
    await serving_fleet.eventually(lambda: operator.configuration.version == 5)
    await fleet.store.put("op/config", serving_fleet.configuration(4))
    await asyncio.sleep(0.2)
    assert operator.configuration.version == 5


async def test_stop_answers_requests_in_flight(fleet):
    for service in fleet.services:
        service.silent = True
    call = asyncio.create_task(post(fleet, "/p/1", deadline=600))
    await serving_fleet.eventually(lambda: runs(fleet) == ["r1"])
    await fleet.entries[0].stop()
    status, _, _ = await call
    assert status == 504
    fleet.entries.clear()


async def test_requests_are_served_during_a_store_outage(fleet):
    fleet.store.is_down = True
    await asyncio.sleep(0.3)
    assert (await post(fleet, "/p/1"))[0] == 200


LARGE = b"x" * 700_000


async def test_large_bodies_are_streamed_in_both_directions(fleet):
    status, _, body = await fleet.call(
        "POST", "/p/1", LARGE, (("x-request-id", "r1"),)
    )
    assert status == 200
    assert body == b"answer to " + LARGE


async def test_response_before_the_end_of_a_large_body_is_complete(fleet):
    for service in fleet.services:
        service.slots = 0
    for _ in range(2):
        status, headers, _ = await fleet.call(
            "POST", "/once/1", LARGE, (("x-request-id", "r1"),)
        )
        assert status == 503
        assert "retry-after" in headers
    assert runs(fleet) == []


async def test_body_over_the_limit_is_413(fleet):
    status, _, _ = await fleet.call("POST", "/p/1", b"x" * 1_000_001)
    assert status == 413
    assert runs(fleet) == []


async def test_header_values_beyond_ascii_are_forwarded(fleet):
    """HTTP/1.1 allows them in values, as bytes without a meaning."""
    headers = (("x-request-id", "r1"), ("x-note", "caf\xe9"))
    status, _, _ = await fleet.call("POST", "/p/1", b"body", headers)
    assert status == 200


async def test_an_upstream_that_refuses_connections_is_no_favourite(fleet):
    await fleet.services[0].stop()
    for _ in range(10):
        assert (await fleet.call("POST", "/p/1", b""))[0] == 200
    entry = fleet.entries[0]
    (dead,) = [
        sampler
        for sampler in entry.samplers.registry.of_service("app")
        if sampler.name == fleet.services[0].name
    ]
    load = entry.forwarder.balancer.load_of(dead)
    assert load.response_ms is None
