"""Several daemon processes: configuration, usage and partitions."""

import asyncio
import time

import msgspec
import pytest

from poplarloft import coordination
from poplarloft.protocol import documents
from poplarloft.protocol import usage
from poplarloft import state
from standins import caller
from standins import platform
from standins import proxy
from tests import processes
from tests import test_daemon_process as helpers

pytestmark = pytest.mark.alone

MAX_BODY_BYTES = 1_000_000

OWNER, OTHER = platform.OWNERS
POLL_S = 0.02


async def operate(client, daemon, owner, method, path, body=b""):
    token = platform.operator_token(owner)
    headers = [("authorization", f"Bearer {token}")]
    result = await client.send(daemon.address, method, path, headers, body)
    response = result.unwrap()
    return response.status, msgspec.json.decode(
        await response.read(MAX_BODY_BYTES)
    )


async def propose_and_accept(client, daemon, document):
    """Propose and accept a document through a daemon; return its revision."""
    status, proposal = await operate(
        client,
        daemon,
        document.owner,
        "POST",
        "/v1/config/proposals",
        documents.encode_document(document),
    )
    assert status == 200, proposal
    path = f"/v1/config/proposals/{proposal['proposal_id']}/accept"
    status, accepted = await operate(client, daemon, OTHER, "POST", path)
    assert (status, accepted["state"]) == (200, "in-force")
    return accepted["revision"]


async def revision_of(client, daemon):
    _, status = await operate(client, daemon, OWNER, "GET", "/v1/status")
    return status["revision"]


async def wait_for_revision(client, daemons, revision, limit_s):
    """Wait for a revision at all daemons; return the seconds it took."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < limit_s:
        known = [await revision_of(client, d) for d in daemons]
        if min(known) >= revision:
            return time.monotonic() - started_s
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"revisions {known}, wanted {revision}")


def start_fleet(cluster, count, **options):
    """Start `count` daemons; all others join the first one by gossip."""
    first = cluster.start_daemon(
        "entry-0", "--peer-listen", "127.0.0.1:0", **options
    )
    seed = first.start_event["peer_address"]
    others = [
        cluster.start_daemon(
            f"entry-{n}", "--seeds", seed, "--usage-flush-ms", 500, **options
        )
        for n in range(1, count)
    ]
    return [first, *others]


async def test_accepted_document_is_in_force_at_every_daemon(cluster, client):
    """A daemon without the key-value service learns it from its peers."""
    await cluster.put_in_force(client)
    link = cluster.start_proxy(cluster.key_value.address)
    connected = start_fleet(cluster, 4)
    seed = connected[0].start_event["peer_address"]
    cut_off = cluster.start_daemon(
        "entry-9", "--seeds", seed, key_value=link.address
    )
    for daemon in (*connected, cut_off):
        await processes.wait_for_status(client, daemon.address, "/readyz")
    control = link.addresses[1]
    await helpers.set_faults(client, control, proxy.LinkFaults(refuse=True))
    revision = 1
    for number in range(3):
        document = helpers.route(f"route-{number}", True)
        revision = await propose_and_accept(
            client, connected[number % 4], document
        )
        await wait_for_revision(client, [*connected, cut_off], revision, 8.0)
    assert revision == 4


async def test_instance_started_in_an_outage_learns_from_peers(
    cluster, client
):
    await cluster.put_in_force(client)
    first, *_ = start_fleet(cluster, 2)
    await processes.wait_for_status(client, first.address, "/readyz")
    revision = await propose_and_accept(
        client, first, helpers.route("find", True)
    )
    late = cluster.start_daemon(
        "entry-5",
        "--seeds",
        first.start_event["peer_address"],
        key_value="127.0.0.1:1",
    )
    await processes.wait_for_status(client, late.address, "/readyz")
    await wait_for_revision(client, [late], revision, 8.0)


async def test_another_instance_watches_when_the_watchers_die(cluster, client):
    await cluster.put_in_force(client)
    daemons = start_fleet(cluster, 4)
    for daemon in daemons:
        await processes.wait_for_status(client, daemon.address, "/readyz")
    await asyncio.sleep(1.0)
    names = [f"entry-{n}" for n in range(4)]
    ranked = coordination.rendezvous_rank("norte-a", names)
    remaining = []
    for name, daemon in zip(names, daemons, strict=True):
        if name in ranked[:2]:
            daemon.kill()
        else:
            remaining.append(daemon)
    await write_head(client, cluster, revision=5, expected_version=1)
    await wait_for_revision(client, remaining, 5, 8.0)


async def write_head(client, cluster, revision, expected_version):
    """Write a revision to the key-value service without any daemon."""
    owners = [platform.owner_document(o) for o in platform.OWNERS]
    head = state.Configuration(revision, tuple(owners))
    result = await client.send(
        cluster.key_value.address,
        "PUT",
        f"/v1/keys/{documents.HEAD_KEY}",
        [("if-match", str(expected_version))],
        documents.encode_head(head),
    )
    response = result.unwrap()
    await response.read(MAX_BODY_BYTES)
    assert response.status == 200


async def test_usage_is_recorded_once_despite_a_crash(cluster, client):
    work_ms, workers = 20, 4
    service = cluster.start_upstream(
        "plain", "plain-0", "app", "--work-ms", work_ms
    )
    await cluster.put_in_force(client, helpers.route("find", True))
    daemons = start_fleet(cluster, 3)
    for daemon in daemons:
        await processes.wait_for_status(client, daemon.address, "/readyz")
    load_caller = caller.Caller([d.address for d in daemons], helpers.TOKEN)

    async def load(worker):
        for number in range(60):
            await load_caller.call("find", f"{worker}-{number}")

    loading = [asyncio.create_task(load(n)) for n in range(workers)]
    await asyncio.sleep(0.5)
    daemons[2].kill()
    load_caller.addresses = load_caller.addresses[:2]
    await asyncio.gather(*loading)
    load_caller.close()
    runs = sum((await helpers.count_runs(client, [service])).values())
    max_lost_ms = workers * 1_000
    recorded_ms = 0
    for _ in range(300):
        _, ledger = await operate(
            client, daemons[0], OTHER, "GET", "/v1/usage"
        )
        entries = usage.decode_segment(msgspec.json.encode(ledger)).entries
        assert usage.find_integrity_error(entries) is None
        recorded_ms = sum(
            {
                (t.incarnation, t.owner, t.kind, t.purpose): t.busy_ms
                for e in entries
                for t in e.totals
            }.values()
        )
        if recorded_ms >= runs * work_ms - max_lost_ms:
            break
        await asyncio.sleep(0.1)
    assert recorded_ms >= runs * work_ms - max_lost_ms
    path = "/v1/usage/0/dispute"
    for _ in range(2):
        status, dispute = await operate(
            client, daemons[0], OTHER, "POST", path, b'{"reason": "why?"}'
        )
        assert (status, dispute["digest"]) == (200, entries[0].digest)
    _, disputes = await operate(
        client, daemons[1], OWNER, "GET", "/v1/usage/disputes"
    )
    assert [d["owner"] for d in disputes] == [OTHER]
    status, problem = await operate(
        client,
        daemons[0],
        OTHER,
        "POST",
        "/v1/usage/9999/dispute",
        b'{"reason": "why?"}',
    )
    assert status == 400
    assert "entry 9999 does not exist" in problem["detail"]
    first_owner = {t.owner for e in entries for t in e.totals}
    assert first_owner == {OWNER}


async def test_cut_off_from_the_platform_calls_are_served(cluster, client):
    """Without the key-value service only repeatable calls are served.

    Keyed calls need a claim, so they are refused as not run until the
    partition ends.
    """
    cluster.start_upstream("plain", "plain-0", "app")
    parts = [helpers.route("find", True), helpers.route("sync", False)]
    await cluster.put_in_force(client, *parts)
    link = cluster.start_proxy(cluster.key_value.address)
    daemon = cluster.start_daemon("entry-0", key_value=link.address)
    await processes.wait_for_status(client, daemon.address, "/readyz")
    control = link.addresses[1]
    await helpers.set_faults(
        client, control, proxy.LinkFaults(partitioned=True)
    )
    load_caller = caller.Caller([daemon.address], helpers.TOKEN)
    assert await load_caller.call("find", "a") is caller.CallOutcome.COMPLETE
    refused = await load_caller.call("sync", "b", keyed=True, tries=1)
    assert refused is caller.CallOutcome.NOT_RUN
    await helpers.set_faults(client, control, proxy.LinkFaults())
    outcome = caller.CallOutcome.NOT_RUN
    for number in range(50):
        outcome = await load_caller.call(
            "sync", f"c{number}", keyed=True, tries=1
        )
        if outcome is caller.CallOutcome.COMPLETE:
            break
        await asyncio.sleep(0.1)
    assert outcome is caller.CallOutcome.COMPLETE
    load_caller.close()
