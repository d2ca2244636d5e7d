"""Upstreams whose answers never end cost others neither memory nor work."""

import asyncio
import json
import pathlib
import subprocess
import sys

import pytest

from poplarloft import state
from poplarloft.transport import http_client
from tests import endless_upstream
from tests import serving_fleet

pytestmark = pytest.mark.alone

ROOT = pathlib.Path(__file__).parent.parent
MAX_GROWTH_BYTES = 64_000_000
PAGE_BYTES = 4_096
DEADLINE_MS = 1_000


def resident_bytes():
    """Return the size of this process's resident set."""
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


@pytest.fixture
def endless(request):
    """Return the address of an upstream that answers without end."""
    with subprocess.Popen(
        [sys.executable, "-m", "tests.endless_upstream", request.param],
        stdout=subprocess.PIPE,
        cwd=ROOT,
    ) as process:
        port = int(process.stdout.readline())
        yield state.Address("127.0.0.1", port)
        process.kill()


@pytest.fixture
async def fleet(endless):
    """Return a fleet with an engine and a service that answer so."""
    made = serving_fleet.Fleet(services=2, engines=2)
    made.engines[0].advertised = made.services[0].advertised = endless
    await made.start()
    yield made
    await made.stop()


async def call(fleet, path, number):
    """Return the status of a request, 0 if its answer was cut."""
    headers = (
        ("x-request-id", f"{path[1]}-{number}"),
        ("x-deadline-ms", str(DEADLINE_MS)),
    )
    try:
        status, _, _ = await fleet.call("POST", path, b"", headers)
    except http_client.TruncatedResponseError:
        return 0
    return status


async def watch_memory(peaks):
    while True:
        peaks.append(resident_bytes())
        await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    "endless", endless_upstream.FORMS, ids=str, indirect=True
)
async def test_answers_without_end_take_no_memory(fleet):
    # Guards against an upstream whose bytes are all kept.
    before = resident_bytes()
    peaks = []
    watching = asyncio.create_task(watch_memory(peaks))
    body = json.loads(serving_fleet.lot_body(8, events=20))
    assert await fleet.submit("lot", json.dumps(body).encode()) == 202
    try:
        statuses = await asyncio.gather(
            *(call(fleet, "/p/x", n) for n in range(8)),
            *(call(fleet, "/s/x", n) for n in range(8)),
        )
        results = await fleet.read_all("lot", timeout_s=20)
    finally:
        watching.cancel()
    assert max(peaks) - before < MAX_GROWTH_BYTES
    assert {row["state"] for row in results} == {"completed"}
    assert {row["text"].count("\n") for row in results} == {19}
    assert len(statuses) == 16
