"""Answers whose status is none are answers to nobody."""

import pytest

from poplarloft.coordination import retries
from poplarloft.platform import samplers
from poplarloft.platform import store
from poplarloft import state
from poplarloft.transport import http_client
from tests import raw_upstream
from tests import serving_fleet

BODY = b"Content-Length: 3\r\n\r\nodd"
HEADERS = b"X-Request-Id: r\r\nX-Server-Stamp: odd\r\nX-Weight-Versions: 1\r\n"
STATUSES = [
    b"000 Odd",
    b"099 Odd",
    b"600 Odd",
    b"700 Odd",
    b"999 Odd",
    b"20 Odd",
    b"2000 Odd",
    b"0200 Odd",
    b"-20 Odd",
    b"2x0 Odd",
    b"\xb2\xb0\xb0 Odd",
    b"100 Continue",
    b"101 Switching Protocols",
    b"199 Odd",
]


def answer(status):
    return b"HTTP/1.1 " + status + b"\r\n" + HEADERS + BODY


@pytest.fixture(params=STATUSES, ids=lambda status: status.decode("latin-1"))
async def odd(request):
    """Return an upstream that answers with such a status."""
    made = raw_upstream.RawUpstream(answer(request.param))
    made.address = await made.start()
    yield made
    made.stop()


@pytest.fixture
async def client():
    made = http_client.HttpClient()
    yield made
    made.close()


class NoObserver:
    def on_response(self, sampler, note):
        raise AssertionError("an answer that is none was taken note of")

    on_control_response = on_response


async def test_client_takes_no_such_answer(odd, client):
    sent = await client.send(odd.address, "GET", "/", timeout_ms=1_000)
    kind = sent.failure().kind
    assert retries.verdict_of(kind) is not state.Verdict.NOT_RUN


async def test_calls_of_the_control_plane_take_no_such_answer(odd, client):
    upstream = state.Sampler("e", 1, "pool", odd.address, "z", 4)
    caller = samplers.SamplerClient(client, NoObserver())
    target = state.WeightsTarget("m", 2)
    order = await caller.order_version(upstream, target, "leader", 1, 0)
    assert order.status == 0
    assert await caller.report(upstream) is None
    outcome = await caller.probe(upstream)
    assert outcome is state.ProbeOutcome.SILENT


async def test_store_with_such_answers_has_not_answered(odd, client):
    platform_store = store.PlatformStore(client, odd.address)
    put = state.Put("key", b"value")
    written = await platform_store.write([], [put])
    assert written.status is state.WriteStatus.UNKNOWN
    found = await platform_store.get("key")
    assert found.failure().kind is state.StoreFailureKind.NO_ANSWER


@pytest.mark.parametrize("path", ["/p/x", "/once/x", "/s/x", "/r/x"])
@pytest.mark.parametrize("status", [b"000 Odd", b"600 Odd", b"999 Odd"])
async def test_clients_get_no_such_answer(path, status):
    odd = raw_upstream.RawUpstream(answer(status))
    fleet = serving_fleet.Fleet(services=1, engines=1)
    fleet.services[0].advertised = await odd.start()
    await fleet.start()
    try:
        found, headers, body = await fleet.call(
            "POST", path, b"", (("x-request-id", "r"),)
        )
        assert odd.requests
        assert found == 502
        assert "x-server-stamp" not in headers
        assert b"odd" not in body
    finally:
        await fleet.stop()
        odd.stop()


@pytest.mark.parametrize("status", [b"000 Odd", b"600 Odd", b"999 Odd"])
async def test_lots_are_whole_beside_such_upstreams(status):
    odd = raw_upstream.RawUpstream(answer(status))
    fleet = serving_fleet.Fleet(services=2, engines=2)
    address = await odd.start()
    fleet.services[0].advertised = fleet.engines[0].advertised = address
    await fleet.start()
    try:
        body = serving_fleet.lot_body(6)
        assert await fleet.submit("lot", body) == 202
        results = await fleet.read_all("lot", timeout_s=30)
        assert odd.requests
        assert {row["state"] for row in results} == {"completed"}
        assert all("odd" not in row["text"] for row in results)
        assert all(row["score"].startswith("s1.") for row in results)
    finally:
        await fleet.stop()
        odd.stop()
