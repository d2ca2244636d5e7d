"""The daemon as a process: settings, readiness, drain, at most once."""

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

OWNER = platform.OWNERS[0]
TOKEN = platform.caller_token(OWNER)


def route(name, repeatable, service="app"):
    body = state.RouteBody(service, repeatable, timeout_ms=20_000)
    return state.Document(state.DocumentKind.ROUTE, OWNER, name, body)


@pytest.mark.parametrize(
    "flag, value, expected",
    [
        ("--listen", "entry-1:8080", "host 'entry-1' is not an IP number"),
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


async def runs_of(client, plains):
    """Return how often each key ran, by the services' own counts."""
    runs = {}
    for plain in plains:
        sent = await client.send(plain.address, "GET", "/control/runs")
        counted = msgspec.json.decode(await sent.unwrap().read())
        for key, count in counted.items():
            runs[key] = runs.get(key, 0) + count
    return runs


async def set_faults(client, control, faults):
    """Set a proxy's faults; make sure that they are set."""
    sent = await client.send(
        control, "POST", "/control/link", body=msgspec.json.encode(faults)
    )
    answer = await sent.unwrap().read()
    assert msgspec.json.decode(answer, type=proxy.LinkFaults) == faults


async def test_rolling_restart_cuts_and_loses_nothing(cluster, client):
    plains = [
        cluster.start_upstream("plain", f"plain-{n}", "app", "--work-ms", 30)
        for n in range(2)
    ]
    await cluster.put_in_force(client, route("sync", False))
    daemons = [cluster.start_daemon(f"entry-{n}") for n in range(4)]
    for daemon in daemons:
        await processes.until(client, daemon.address, "/readyz")
    live = caller.Caller([d.address for d in daemons], TOKEN)
    sending = True

    async def load(worker):
        number = 0
        while sending:
            await live.call("sync", f"{worker}-{number}", True, tries=10)
            number += 1

    workers = [asyncio.create_task(load(n)) for n in range(8)]
    for number in range(len(daemons)):
        old = daemons[number]
        old.terminate()
        await processes.until(client, old.address, "/readyz", 503)
        # The balancer has seen it: no new connections go there.
        live.addresses.remove(old.address)
        code, output = await asyncio.to_thread(old.wait)
        assert code == 0
        stopped = json.loads(output.splitlines()[-1])
        assert (stopped["message_type"], stopped["cut"]) == ("stopped", 0)
        daemons[number] = cluster.start_daemon(f"entry-{number}")
        await processes.until(client, daemons[number].address, "/readyz")
        live.addresses.append(daemons[number].address)
    sending = False
    await asyncio.gather(*workers)
    outcomes = set(live.record.outcomes.values())
    assert outcomes == {caller.CallOutcome.WHOLE}
    runs = await runs_of(client, plains)
    assert set(runs.values()) == {1}
    assert set(runs) == set(live.record.outcomes)


async def test_resends_through_all_daemons_run_at_most_once(cluster, client):
    """Key-value answers get lost and a daemon is killed meanwhile."""
    plains = [cluster.start_upstream("plain", "plain-0", "app")]
    await cluster.put_in_force(client, route("sync", False))
    link = cluster.start_proxy(cluster.key_value.address)
    daemons = [
        cluster.start_daemon(f"entry-{n}", key_value=link.address)
        for n in range(3)
    ]
    for daemon in daemons:
        await processes.until(client, daemon.address, "/readyz")
    control = link.addresses[1]
    outcomes = {}

    async def resend(key_number):
        """Send one key through every daemon at about the same time."""
        key = str(caller.uuid6.uuid7())
        sends = [
            _send(client, daemon.address, key, f"k{key_number}")
            for daemon in daemons
        ]
        outcomes[f"k{key_number}"] = await asyncio.gather(*sends)

    async def disturb():
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

    disturbing = asyncio.create_task(disturb())
    for start in range(0, 60, 10):
        await asyncio.gather(*(resend(start + n) for n in range(10)))
        await asyncio.sleep(0.05)
    await disturbing
    await asyncio.gather(*(resend(60 + n) for n in range(10)))
    runs = await runs_of(client, plains)
    assert runs
    assert set(runs.values()) == {1}
    for key, verdicts in outcomes.items():
        if key not in runs:
            assert "ran" not in verdicts
        if all(verdict == "not-run" for verdict in verdicts):
            assert key not in runs


async def _send(client, address, key, name):
    sent = await client.send(
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
    answer = sent.value_or(None)
    if answer is None:
        return "no-answer"
    try:
        await answer.read()
    except http_client.TruncatedResponseError:
        return "no-answer"
    if answer.status == 200:
        return "ran"
    return answer.headers["poplarloft-verdict"]
