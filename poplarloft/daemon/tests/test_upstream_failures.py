"""Upstreams that crash, leave or break off streams, behind two daemons."""

import asyncio
import dataclasses
import json

import pytest_asyncio

from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client
from standins import engine
from standins import platform

MAX_BODY_BYTES = 1_000_000
OWNER = platform.OWNERS[0]
TOKEN = platform.caller_token(OWNER)
HEADERS = [("authorization", f"Bearer {TOKEN}")]
DAEMONS = 2


def route(name, service, streamed):
    body = state.RouteBody(service, streamed=streamed, timeout_ms=60_000)
    return state.Document(state.DocumentKind.ROUTE, OWNER, name, body)


@pytest_asyncio.fixture
async def small_platform():
    small_platform = platform.SmallPlatform(list_lag_ms=0)
    await small_platform.start(engines=5, plains=2, scorers=0)
    small_platform.put_in_force(
        *(platform.owner_document(o) for o in platform.OWNERS),
        route("whole", platform.ENGINE_SERVICE, False),
        route("stream", platform.ENGINE_SERVICE, True),
        route("find", platform.PLAIN_SERVICE, False),
    )
    for number in range(DAEMONS):
        # Callers, daemons and engines share one event loop here, so first
        # connections may take seconds.
        await small_platform.start_node(
            f"entry-{number}",
            platform.LOCATIONS[0],
            connect_timeout_ms=20_000,
        )
    while any(
        len(n.fleet.membership.live()) < DAEMONS for n in small_platform.nodes
    ):
        await asyncio.sleep(0.02)
    yield small_platform
    await small_platform.stop()


async def complete_prompt(client, node, path, prompt, max_tokens=64):
    """Return the status and body of a completion; None if truncated."""
    body = json.dumps({"prompt": prompt, "max_tokens": max_tokens}).encode()
    sent = await client.send(node.address, "POST", path, HEADERS, body)
    response = sent.unwrap()
    try:
        return response.status, await response.read(MAX_BODY_BYTES)
    except http_client.TruncatedResponseError:
        return response.status, None


async def test_poison_crashes_three_engines_and_others_are_served(
    small_platform,
):
    client = http_client.HttpClient()
    other_requests = [
        asyncio.create_task(
            complete_prompt(
                client,
                small_platform.nodes[n % DAEMONS],
                "/r/whole/v1/completions",
                f"an innocent question {n}",
            )
        )
        for n in range(20)
    ]
    statuses = []
    for number in range(12):
        status, _ = await complete_prompt(
            client,
            small_platform.nodes[number % DAEMONS],
            "/r/whole/v1/completions",
            f"please {engine.POISON}",
        )
        statuses.append(status)
        if status == 422:
            break
    assert statuses[-1] == 422
    assert sum(e.crashes for e in small_platform.engines) <= 3
    answers = await asyncio.gather(*other_requests)
    assert {status for status, _ in answers} == {200}
    for node in small_platform.nodes:
        status, _ = await complete_prompt(
            client,
            node,
            "/r/whole/v1/completions",
            f"please {engine.POISON}",
        )
        assert status == 422
    client.close()


async def test_a_streamed_poison_request_is_not_resumed_forever(
    small_platform,
):
    client = http_client.HttpClient()
    for number in range(6):
        await complete_prompt(
            client,
            small_platform.nodes[number % DAEMONS],
            "/r/stream/v1/completions",
            f"please {engine.POISON}",
            4_000,
        )
    assert 0 < sum(e.crashes for e in small_platform.engines) <= 3
    client.close()


async def test_a_client_can_tell_a_truncated_stream_from_a_complete_one(
    small_platform,
):
    """An engine crashes under 1,000 streams: none ends early unnoticed."""
    client = http_client.HttpClient(connect_timeout_ms=20_000)

    async def send_one(number):
        node = small_platform.nodes[number % DAEMONS]
        return await complete_prompt(
            client, node, "/r/stream/v1/completions", f"q{number}", 32
        )

    pending = [asyncio.create_task(send_one(n)) for n in range(1_000)]
    while not any(e.produced_tokens for e in small_platform.engines):
        assert not all(task.done() for task in pending)
        await asyncio.sleep(0.005)
    busiest = max(small_platform.engines, key=lambda e: e.running)
    await busiest.crash()
    complete = truncated = refused = 0
    for status, body in await asyncio.gather(*pending):
        if status != 200:
            assert "verdict" in json.loads(body)
            refused += 1
            continue
        if body is None:
            truncated += 1
            continue
        lines = [json.loads(line) for line in body.splitlines()]
        assert lines[-1]["done"]
        assert not any(line["done"] for line in lines[:-1])
        complete += 1
    assert complete + truncated + refused == 1_000
    assert complete > truncated
    client.close()


async def test_a_stream_that_cannot_be_resumed_is_truncated_not_ended(
    small_platform,
):
    client = http_client.HttpClient()
    for other in small_platform.engines[1:]:
        small_platform.instances.remove(other.upstream.name)
        for node in small_platform.nodes:
            node.upstreams.registry.known.pop(other.upstream.name)
    pending = asyncio.create_task(
        complete_prompt(
            client,
            small_platform.nodes[0],
            "/r/stream/v1/completions",
            "q",
            4_000,
        )
    )
    while not small_platform.engines[0].produced_tokens:
        await asyncio.sleep(0.005)
    await small_platform.engines[0].crash()
    assert await pending == (200, None)
    client.close()


async def test_an_interrupted_stream_is_resumed_on_another_engine(
    small_platform,
):
    """It has its end mark and as many tokens as an undisturbed stream."""
    client = http_client.HttpClient()
    undisturbed = await complete_prompt(
        client, small_platform.nodes[0], "/r/stream/v1/completions", "q", 4_000
    )
    expected = sum(
        len(json.loads(x)["tokens"]) for x in undisturbed[1].splitlines()
    )
    pending = asyncio.create_task(
        complete_prompt(
            client,
            small_platform.nodes[0],
            "/r/stream/v1/completions",
            "q",
            4_000,
        )
    )
    while not any(e.running for e in small_platform.engines):
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.1)
    busiest = max(small_platform.engines, key=lambda e: e.running)
    crashed = busiest.identity
    await busiest.crash()
    status, body = await pending
    lines = [json.loads(line) for line in body.splitlines()]
    assert (status, lines[-1]["done"]) == (200, True)
    assert sum(len(line["tokens"]) for line in lines) == expected
    engines = {line["engine"] for line in lines if line["tokens"]}
    assert crashed in engines
    assert len(engines) == 2
    client.close()


async def test_leaving_upstream_gets_no_new_requests_from_any_daemon(
    small_platform,
):
    """The refusal that one daemon receives reaches the other by gossip."""
    client = http_client.HttpClient()
    leaving = small_platform.plains[0]
    leaving.leaving = True
    response_count = 0
    while response_count < 20:
        sent = await client.send(
            small_platform.nodes[0].address,
            "POST",
            "/r/find/run",
            HEADERS,
            b"x",
        )
        response = sent.unwrap()
        await response.read(MAX_BODY_BYTES)
        assert response.status == 200
        response_count += 1
    other = small_platform.nodes[1].upstreams
    upstream = dataclasses.replace(leaving.upstream)
    while other.registry.is_eligible(upstream):
        await asyncio.sleep(0.02)
    names = [c.name for c in other.candidates("directorio-app", frozenset())]
    assert leaving.upstream.name not in names
    assert leaving.runs.total() == 0
    client.close()


async def test_an_error_instead_of_a_stream_reaches_the_client_whole(
    small_platform,
):
    text = b"out of memory\nat line two\n"

    async def fail(request):
        return http.HttpResponse(500, (), text)

    for server in small_platform.engines:
        server.handle = fail
    answer = await complete_prompt(
        http_client.HttpClient(),
        small_platform.nodes[0],
        "/r/stream/v1/completions",
        "a question",
    )
    assert answer == (500, text)
