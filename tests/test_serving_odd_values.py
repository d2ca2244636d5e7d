"""Values of other writers that no announcement of ours would hold."""

import asyncio
import json

import pytest

from poplarloft.platform import documents
from poplarloft.protocol import errors
from tests import serving_fleet

DEPTH = 100_000
DIGITS = "9" * 5_000
GOOD = {
    "service": "app",
    "address": "127.0.0.1:9",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "born": 1,
    "sequence": 0,
}


def entry(**changes):
    return json.dumps({**GOOD, **changes}).encode()


def with_raw(field, raw):
    """Return an entry with a field of unencoded JSON."""
    marker = "@@"
    text = json.dumps({**GOOD, field: marker})
    return text.replace(f'"{marker}"', raw).encode()


NESTED = "[" * DEPTH + "]" * DEPTH
UNREADABLE = {
    "nothing": b"",
    "nested": NESTED.encode(),
    "nested in an unknown field": with_raw("other", NESTED),
    "nested in a known field": with_raw("models", NESTED),
    "half nested": with_raw("other", "[" * DEPTH),
    "port of many digits": entry(address=f"127.0.0.1:{DIGITS}"),
    "port out of range": entry(address="127.0.0.1:70000"),
    "port below zero": entry(address="127.0.0.1:-1"),
    "host": entry(address="host:80"),
    "address": entry(address=DIGITS),
    "slots of many digits": with_raw("slots", DIGITS),
    "infinite slots": with_raw("slots", "1e999"),
    "fraction of a slot": entry(slots=1.5),
    "born in words": entry(born="now"),
    "state": entry(state="asleep"),
    "no service": b'{"address": "127.0.0.1:9", "state": "ready"}',
    "bytes": b"\xff\xfe\x00",
    "surrogate": b'{"service": "\xed\xa0\x80"}',
    "list": b"[]",
    "version number": entry(version=3),
}
READABLE = {
    "no slots": entry(slots=0),
    "negative slots": entry(slots=-5),
    "huge slots": entry(slots=2**62),
    "negative born": entry(born=-1),
    "huge born": entry(born=2**62),
    "negative order count": entry(sequence=-7),
    "long version": entry(version="x" * 100_000),
    "no version": entry(version=""),
    "huge model version": entry(models=[{"name": "m", "version": 2**62}]),
    "unknown service": entry(service="nowhere"),
}


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_an_entry_that_names_no_upstream_is_one_error(value):
    with pytest.raises(errors.ProtocolError) as raised:
        documents.decode_sampler("servers/odd", value)
    assert len(str(raised.value)) < 400


@pytest.mark.parametrize("value", READABLE.values(), ids=READABLE)
def test_an_odd_entry_is_bounded(value):
    assert len(documents.decode_sampler("servers/odd", value).name) < 10


@pytest.mark.parametrize(
    "decode",
    [documents.decode_configuration, documents.decode_weights_target],
)
@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_odd_documents_of_the_operator_are_one_error(decode, value):
    with pytest.raises(errors.ProtocolError):
        decode(value)


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet(services=1)
    await made.start(entries=1, bulks=1)
    yield made
    await made.stop()


def restarts(daemon):
    return [task for task in daemon.task_set.tasks if task.done()]


async def test_odd_entries_do_not_stop_what_follows_the_list(fleet):
    """Each stays in the list while others come, go and are used."""
    for number, value in enumerate((*UNREADABLE.values(), *READABLE.values())):
        await fleet.store.put(f"servers/a-odd-{number}", value)
        await fleet.store.put(f"servers/z-odd-{number}", value)
    await fleet.store.put("op/version/m", NESTED.encode())
    joined = serving_fleet.sampler.SamplerStandin("joined")
    await joined.start()
    await fleet.store.put("servers/joined", joined.announcement("app"))
    await fleet.store.remove("servers/s0")
    await fleet.services[0].stop()
    headers = (("x-deadline-ms", "5000"),)
    async with asyncio.timeout(15):
        while not joined.runs:
            await fleet.call("POST", "/p/1", b"", headers)
            await asyncio.sleep(0.1)
    body = serving_fleet.lot_body(6, groups=2, wanted=2)
    assert await fleet.submit("lot", body) == 202
    assert len(await fleet.read_all("lot")) == 6
    registry = fleet.entries[0].samplers.registry
    assert "joined" in registry.known
    assert not any(f"a-odd-{n}" in registry.known for n in range(5))
    await joined.stop()


async def test_odd_headers_of_upstreams_fail_no_daemon(fleet):
    fleet.services[0].limit_headers = (
        ("Keep-Alive", f"timeout={DIGITS}"),
        ("X-Weight-Versions", DIGITS),
    )
    for engine in fleet.engines:
        engine.versions["m"] = DIGITS
    for _ in range(3):
        assert (await fleet.call("POST", "/p/1", b""))[0] == 200
    body = serving_fleet.lot_body(2, groups=1)
    assert await fleet.submit("lot", body) == 202
    await asyncio.sleep(0.5)
    for engine in fleet.engines:
        engine.versions["m"] = 1
    assert len(await fleet.read_all("lot")) == 2


@pytest.mark.parametrize(
    "headers",
    [
        (("x-deadline-ms", DIGITS),),
        (("x-wait-ms", DIGITS),),
    ],
)
async def test_odd_numbers_of_clients_are_refused(fleet, headers):
    target = "/poplarloft/lots/x?after=0"
    status, _, _ = await fleet.call("GET", target, headers=headers)
    assert status in (400, 404)
    status, _, _ = await fleet.call("POST", "/p/1", b"", headers)
    assert status in (200, 400)


async def test_a_length_of_many_digits_is_refused(fleet):
    port = fleet.entries[0].request_server.address.port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"POST /p/1 HTTP/1.1\r\nhost: h\r\ncontent-length: {DIGITS}\r\n\r\n"
    writer.write(head.encode())
    response = await reader.read()
    writer.close()
    assert response.split()[1] in (b"400", b"413")
