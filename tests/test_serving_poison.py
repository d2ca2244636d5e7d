"""Requests that crash the upstreams that run them, end to end."""

import asyncio
import functools
import json
import sys
import time

import pytest

from poplarloft import coordination
from poplarloft.coordination.serving.membership import roster
from poplarloft.daemon.serving.fleet import member_registry
from poplarloft.daemon.serving.fleet import peer_link
from tests import serving_fleet

pytestmark = pytest.mark.alone

MARKER = b"poison"
POISON_PACE_S = 0.4
INNOCENT_PACE_S = 0.05
NEWS_BOUND_S = 4.0  # within which the fleet must know of the third crash
RETRIES_ALLOWED = 3


@pytest.fixture
async def fleet(monkeypatch):
    monkeypatch.setattr(member_registry, "FIRST_LIST_DELAY_MS", 300)
    monkeypatch.setattr(roster, "LIST_INTERVAL_MS", 1_000)
    made = serving_fleet.Fleet(services=6)
    made.uses_change_feed = True
    made.has_members = True
    for service in made.services:
        service.crash_marker = MARKER
        service.work_ms = 30.0
        service.on_restart = functools.partial(made.announce, service)
    await made.start(entries=4, bulks=2)
    await know_each_other(made)
    yield made
    await made.stop()


async def know_each_other(fleet):
    daemons = (*fleet.entries, *fleet.bulks)
    await serving_fleet.eventually(
        lambda: all(len(d.membership.members) == len(daemons) for d in daemons)
    )


async def call(fleet, request_id, body, number):
    """Send a request to one of the entries; return its status."""
    entry = fleet.entries[number % len(fleet.entries)]
    headers = (("x-request-id", request_id), ("x-deadline-ms", "2500"))
    status, _, _ = await fleet.call("POST", "/p/1", body, headers, entry)
    return status


async def send_poison(fleet, seconds):
    """Send one poison request again and again, to the entries in turn."""
    calls = []
    for number in range(int(seconds / POISON_PACE_S)):
        calls.append(
            asyncio.ensure_future(
                call(fleet, f"poison-{number}", MARKER, number)
            )
        )
        await asyncio.sleep(POISON_PACE_S)
    return await asyncio.gather(*calls, return_exceptions=True)


async def send_innocents(fleet, seconds):
    """Send requests that crash nothing; return their statuses."""
    calls = []
    for number in range(int(seconds / INNOCENT_PACE_S)):
        request_id = f"innocent-{number}"
        calls.append(
            asyncio.ensure_future(
                call(fleet, request_id, request_id.encode(), number)
            )
        )
        await asyncio.sleep(INNOCENT_PACE_S)
    return await asyncio.gather(*calls)


def crash_times(fleet):
    """Return the times of the crashes that poison requests caused."""
    return sorted(
        at_s
        for service in fleet.services
        for request_id, at_s in service.crashes
        if request_id.startswith("poison")
    )


def late_runs(fleet):
    """Return the poison runs later than the bound after the third crash."""
    known_at_s = crash_times(fleet)[2] + NEWS_BOUND_S
    return [
        request_id
        for service in fleet.services
        for request_id, at_s in service.run_times
        if request_id.startswith("poison") and at_s > known_at_s
    ]


async def test_a_request_that_crashed_three_upstreams_reaches_no_more(fleet):
    poisons, innocents = await asyncio.gather(
        send_poison(fleet, 9), send_innocents(fleet, 9)
    )
    assert len(late_runs(fleet)) <= RETRIES_ALLOWED
    assert len(crash_times(fleet)) <= 6
    assert set(poisons) <= {502, 503, 504}
    assert innocents.count(200) >= 0.99 * len(innocents)


async def restart_entries(fleet):
    names = [entry.settings.name for entry in fleet.entries]
    for entry in list(fleet.entries):
        await fleet.kill(entry)
    for name in names:
        await fleet.add_entry(name)


async def test_crashes_outlive_all_entries_that_saw_them(fleet):
    await send_poison(fleet, 2)
    for _ in range(3):
        await restart_entries(fleet)
        started_s = time.monotonic()
        await send_poison(fleet, 2)
        assert time.monotonic() - started_s < 5
    assert len(late_runs(fleet)) <= RETRIES_ALLOWED


async def restart_everything(fleet):
    names = [bulk.settings.name for bulk in fleet.bulks]
    for bulk in list(fleet.bulks):
        await fleet.kill(bulk)
    await restart_entries(fleet)
    for name in names:
        await fleet.add_bulk(name)


async def test_crashes_outlive_all_instances_of_the_fleet(fleet):
    await send_poison(fleet, 2)
    for _ in range(2):
        await restart_everything(fleet)
        await send_poison(fleet, 3)
    assert len(late_runs(fleet)) <= RETRIES_ALLOWED


LARGE = 300_000  # bytes; such bodies are streamed


async def test_a_streamed_body_is_recognized_as_well(fleet):
    body = b"x" * LARGE + MARKER
    for number in range(8):
        await call(fleet, f"poison-{number}", body, number)
        await asyncio.sleep(0.2)
    assert len(crash_times(fleet)) == 3
    assert await call(fleet, "large", b"y" * LARGE, 0) == 200


def statuses(fleet):
    return {
        status
        for entry in fleet.entries
        for fingerprint in entry.guard.guard.histories
        if (status := entry.guard.status_of(fingerprint))
    }


async def test_a_connection_reset_by_the_network_is_no_crash(fleet):
    for service in fleet.services[:2]:
        service.resets = 1
    answered = [await call(fleet, f"r{n}", b"same", n) for n in range(8)]
    assert answered.count(200) >= 7
    assert statuses(fleet) == set()
    assert all(not entry.guard.lost.pending for entry in fleet.entries)


async def test_a_rolling_restart_accuses_no_request(fleet):
    for service in fleet.services[:3]:
        service.work_ms = 2_000.0
        pending = [
            asyncio.ensure_future(call(fleet, f"{service.name}-{n}", b"b", n))
            for n in range(12)
        ]
        await asyncio.sleep(0.1)
        await fleet.announce(service, is_leaving=True)
        await asyncio.sleep(1.5)
        service.crash()
        service.work_ms = 30.0
        answered = await asyncio.gather(*pending)
        assert answered.count(200) >= 11
    assert statuses(fleet) == set()


async def test_news_lost_between_instances_come_from_the_store(
    fleet, monkeypatch
):
    monkeypatch.setattr(
        peer_link.PeerLink, "send_reliably", lambda *arguments: None
    )
    await send_poison(fleet, 8)
    assert len(late_runs(fleet)) <= RETRIES_ALLOWED


async def test_news_come_from_instances_while_the_store_is_down(fleet):
    fleet.store.is_down = True
    await send_poison(fleet, 3)
    assert len(crash_times(fleet)) == 3
    fleet.store.is_down = False
    await asyncio.sleep(1)
    await restart_entries(fleet)
    await send_poison(fleet, 2)
    assert len(crash_times(fleet)) == 3


async def test_a_quarantined_request_is_refused_at_once_as_not_run(fleet):
    await send_poison(fleet, 1)
    headers = (("x-request-id", "again"), ("x-deadline-ms", "2500"))
    started_s = time.monotonic()
    status, returned, body = await fleet.call("POST", "/p/1", MARKER, headers)
    assert time.monotonic() - started_s < 0.5
    assert status == 503
    assert float(returned["retry-after"]) > 3_000
    assert b"quarantined" in body
    assert not any("again" in s.runs for s in fleet.services)


async def run_command(fleet, *arguments):
    """Run a command of the tool against the store; return its output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "poplarloft.cli.main",
        *arguments,
        f"--store={fleet.store_address}",
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def test_an_operator_lists_and_releases_a_quarantine(fleet):
    await send_poison(fleet, 1)
    code, output = await run_command(fleet, "quarantines", "--json")
    (row,) = json.loads(output)
    assert (code, row["status"]) == (0, "quarantined")
    assert len(row["crashes"]) == 3
    fingerprint = row["fingerprint"]
    code, output = await run_command(fleet, "release", fingerprint)
    assert (code, output.strip()) == (0, f"{fingerprint}: applied")
    await serving_fleet.eventually(
        lambda: statuses(fleet) == {coordination.FingerprintStatus.CLEAR}
    )
    code, _ = await run_command(fleet, "release", fingerprint)
    assert code == 2


async def test_a_request_that_may_run_once_is_not_repeated_by_a_crash(fleet):
    status, _, _ = await fleet.call("POST", "/once/1", MARKER)
    assert status == 502
    assert sum(len(service.crashes) for service in fleet.services) == 1


async def test_a_silent_upstream_delays_no_refusal(fleet):
    for service in fleet.services:
        service.silent = True
    entry = fleet.entries[0]

    async def probe(sampler):
        await asyncio.sleep(5)

    entry.guard.client.probe = probe
    headers = (("x-request-id", "late"), ("x-deadline-ms", "600"))
    started_s = time.monotonic()
    status, _, _ = await fleet.call("POST", "/p/1", b"", headers, entry)
    assert status == 504
    assert time.monotonic() - started_s < 0.8
