"""Daemon processes: bad settings, rolling restarts, at-most-once calls."""

import asyncio
import json
import subprocess
import sys

import msgspec
import pytest

from poplarloft import state
from poplarloft.transport import http_client
from standins import caller
from standins import platform
from standins import proxy
from tests import processes

pytestmark = pytest.mark.alone

MAX_BODY_BYTES = 1_000_000
OWNER = platform.OWNERS[0]
TOKEN = platform.caller_token(OWNER)


def route(name, repeatable, service="app"):
    body = state.RouteBody(service, repeatable, timeout_ms=20_000)
    return state.Document(state.DocumentKind.ROUTE, OWNER, name, body)


@pytest.mark.parametrize(
    "flag, value, expected",
    [
        ("--listen", "entry-1:8080", "host 'entry-1' is not an IP address"),
        ("--drain-timeout-ms", "-1", "greater than or equal to 0"),
        ("--routing-policy", "best", "expected one of least-loaded"),
        ("--name", "Entry 1", "should match pattern"),
    ],
)
def test_bad_setting_ends_with_code_2_and_one_line(flag, value, expected):
    arguments = {
        "--name": "entry-1",
        "--region": "norte",
        "--data-centre": "norte-a",
        "--key-value": "127.0.0.1:1",
        "--instance-list": "127.0.0.1:1",
        flag: value,
    }
    flat = [part for pair in arguments.items() for part in pair]
    ended = subprocess.run(
        [sys.executable, "-m", "poplarloft.daemon", *flat],
        capture_output=True,
        text=True,
    )
    assert ended.returncode == 2
    (line,) = ended.stderr.splitlines()
    assert flag in line
    assert value in line
    assert expected in line


async def count_runs(client, services):
    """Return how often each key ran, as counted by the services."""
    runs = {}
    for service in services:
        result = await client.send(service.address, "GET", "/control/runs")
        counts = msgspec.json.decode(
            await result.unwrap().read(MAX_BODY_BYTES)
        )
        for key, count in counts.items():
            runs[key] = runs.get(key, 0) + count
    return runs


async def set_faults(client, control, faults):
    """Set the faults of a proxy and check that it reports them."""
    result = await client.send(
        control, "POST", "/control/link", body=msgspec.json.encode(faults)
    )
    response = await result.unwrap().read(MAX_BODY_BYTES)
    assert msgspec.json.decode(response, type=proxy.LinkFaults) == faults


async def test_rolling_restart_truncates_and_loses_no_response(
    cluster, client
):
    services = [
        cluster.start_upstream("plain", f"plain-{n}", "app", "--work-ms", 30)
        for n in range(2)
    ]
    await cluster.put_in_force(client, route("sync", False))
    daemons = [cluster.start_daemon(f"entry-{n}") for n in range(4)]
    for daemon in daemons:
        await processes.wait_for_status(client, daemon.address, "/readyz")
    load_caller = caller.Caller([d.address for d in daemons], TOKEN)
    sending = True

    async def load(worker):
        number = 0
        while sending:
            await load_caller.call(
                "sync", f"{worker}-{number}", True, tries=10
            )
            number += 1

    workers = [asyncio.create_task(load(n)) for n in range(8)]
    for number in range(len(daemons)):
        old = daemons[number]
        old.terminate()
        await processes.wait_for_status(client, old.address, "/readyz", 503)
        # The load balancer saw the 503: it opens no new connections.
        load_caller.addresses.remove(old.address)
        code, output = await asyncio.to_thread(old.wait)
        assert code == 0
        stopped = json.loads(output.splitlines()[-1])
        assert (stopped["message_type"], stopped["cut"]) == ("stopped", 0)
        daemons[number] = cluster.start_daemon(f"entry-{number}")
        await processes.wait_for_status(
            client, daemons[number].address, "/readyz"
        )
        load_caller.addresses.append(daemons[number].address)
    sending = False
    await asyncio.gather(*workers)
    outcomes = set(load_caller.record.outcomes.values())
    assert outcomes == {caller.CallOutcome.COMPLETE}, (
        load_caller.record.failures
    )
    runs = await count_runs(client, services)
    assert set(runs.values()) == {1}
    assert set(runs) == set(load_caller.record.outcomes)


async def test_resends_through_all_daemons_run_at_most_once(cluster, client):
    """A key sent through all daemons runs at most once.

    Meanwhile key-value responses are lost, connections are refused or
    slow, and a daemon is killed: claims whose writes are in doubt must not
    lead to a second run.
    """
    services = [cluster.start_upstream("plain", "plain-0", "app")]
    await cluster.put_in_force(client, route("sync", False))
    link = cluster.start_proxy(cluster.key_value.address)
    daemons = [
        cluster.start_daemon(f"entry-{n}", key_value=link.address)
        for n in range(3)
    ]
    for daemon in daemons:
        await processes.wait_for_status(client, daemon.address, "/readyz")
    control = link.addresses[1]
    outcomes = {}

    async def resend(key_number):
        """Send one key through all daemons concurrently."""
        key = str(caller.uuid6.uuid7())
        sends = [
            _send_call(client, daemon.address, key, f"k{key_number}")
            for daemon in daemons
        ]
        outcomes[f"k{key_number}"] = await asyncio.gather(*sends)

    async def inject_faults():
        faults = (
            proxy.LinkFaults(drop_answers=True),
            proxy.LinkFaults(),
            proxy.LinkFaults(refuse=True),
            proxy.LinkFaults(delay_ms=50),
            proxy.LinkFaults(),
        )
        for fault in faults:
            await set_faults(client, control, fault)
            await asyncio.sleep(0.4)
        daemons[2].kill()

    fault_task = asyncio.create_task(inject_faults())
    for start in range(0, 60, 10):
        await asyncio.gather(*(resend(start + n) for n in range(10)))
        await asyncio.sleep(0.05)
    await fault_task
    await asyncio.gather(*(resend(60 + n) for n in range(10)))
    runs = await count_runs(client, services)
    assert runs
    assert set(runs.values()) == {1}
    for key, verdicts in outcomes.items():
        if key not in runs:
            assert "ran" not in verdicts
        if all(verdict == "not-run" for verdict in verdicts):
            assert key not in runs


async def _send_call(client, address, key, name):
    result = await client.send(
        address,
        "POST",
        "/r/sync/run",
        [
            ("authorization", f"Bearer {TOKEN}"),
            ("idempotency-key", key),
            ("x-request-key", name),
        ],
        new_connection=True,
    )
    response = result.value_or(None)
    if response is None:
        return "no-answer"
    try:
        await response.read(MAX_BODY_BYTES)
    except http_client.TruncatedResponseError:
        return "no-answer"
    if response.status == 200:
        return "ran"
    return response.headers["poplarloft-verdict"]
