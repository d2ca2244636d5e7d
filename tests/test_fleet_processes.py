"""Several daemons as processes: configuration, usage, partitions."""

import asyncio
import time

import msgspec

from poplarloft import coordination
from poplarloft.protocol import documents
from poplarloft.protocol import usage
from poplarloft import state
from standins import caller
from standins import platform
from standins import proxy
from tests import processes
from tests import test_daemon_process as helpers

OWNER, OTHER = platform.OWNERS
POLL_S = 0.02


async def operate(client, daemon, owner, method, path, body=b""):
    token = platform.operator_token(owner)
    headers = [("authorization", f"Bearer {token}")]
    sent = await client.send(daemon.address, method, path, headers, body)
    answer = sent.unwrap()
    return answer.status, msgspec.json.decode(await answer.read())


async def propose_and_accept(client, daemon, document):
    """Bring a document into force through one daemon."""
    status, made = await operate(
        client,
        daemon,
        document.owner,
        "POST",
        "/v1/config/proposals",
        documents.encode_document(document),
    )
    assert status == 200, made
    path = f"/v1/config/proposals/{made['proposal_id']}/accept"
    status, accepted = await operate(client, daemon, OTHER, "POST", path)
    assert (status, accepted["state"]) == (200, "in-force")
    return accepted["revision"]


async def revision_of(client, daemon):
    _, status = await operate(client, daemon, OWNER, "GET", "/v1/status")
    return status["revision"]


async def until_revision(client, daemons, revision, limit_s):
    """Return the time until all daemons have a revision."""
    begun_s = time.monotonic()
    while time.monotonic() - begun_s < limit_s:
        known = [await revision_of(client, d) for d in daemons]
        if min(known) >= revision:
            return time.monotonic() - begun_s
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"revisions {known}, wanted {revision}")


def start_fleet(cluster, count, **options):
    """Start daemons that join the first one."""
    first = cluster.start_daemon(
        "entry-0", "--peer-listen", "127.0.0.1:0", **options
    )
    seed = first.started["peer_address"]
    others = [
        cluster.start_daemon(
            f"entry-{n}", "--seeds", seed, "--usage-flush-ms", 500, **options
        )
        for n in range(1, count)
    ]
    return [first, *others]


async def test_accepted_document_is_in_force_at_every_daemon(cluster, client):
    """Also at those that can't reach the key-value service."""
    await cluster.put_in_force(client)
    link = cluster.start_proxy(cluster.key_value.address)
    near = start_fleet(cluster, 4)
    seed = near[0].started["peer_address"]
    cut_off = cluster.start_daemon(
        "entry-9", "--seeds", seed, key_value=link.address
    )
    for daemon in (*near, cut_off):
        await processes.until(client, daemon.address, "/readyz")
    control = link.addresses[1]
    await helpers.set_faults(client, control, proxy.LinkFaults(refuse=True))
    revision = 1
    for number in range(3):
        document = helpers.route(f"route-{number}", True)
        revision = await propose_and_accept(client, near[number % 4], document)
        await until_revision(client, [*near, cut_off], revision, 8.0)
    assert revision == 4


async def test_instance_started_in_an_outage_learns_from_peers(
    cluster, client
):
    await cluster.put_in_force(client)
    first, *_ = start_fleet(cluster, 2)
    await processes.until(client, first.address, "/readyz")
    revision = await propose_and_accept(
        client, first, helpers.route("find", True)
    )
    late = cluster.start_daemon(
        "entry-5",
        "--seeds",
        first.started["peer_address"],
        key_value="127.0.0.1:1",
    )
    await processes.until(client, late.address, "/readyz")
    await until_revision(client, [late], revision, 8.0)


async def test_another_instance_watches_when_the_watchers_die(cluster, client):
    await cluster.put_in_force(client)
    daemons = start_fleet(cluster, 4)
    for daemon in daemons:
        await processes.until(client, daemon.address, "/readyz")
    await asyncio.sleep(1.0)
    names = [f"entry-{n}" for n in range(4)]
    ranked = coordination.rendezvous_rank("norte-a", names)
    left = []
    for name, daemon in zip(names, daemons, strict=True):
        if name in ranked[:2]:
            daemon.kill()
        else:
            left.append(daemon)
    await write_head(client, cluster, revision=5, expected_version=1)
    await until_revision(client, left, 5, 8.0)


async def write_head(client, cluster, revision, expected_version):
    """Put a revision into the platform, past the daemons."""
    owners = [platform.owner_document(o) for o in platform.OWNERS]
    head = state.Configuration(revision, tuple(owners))
    sent = await client.send(
        cluster.key_value.address,
        "PUT",
        f"/v1/keys/{documents.HEAD_KEY}",
        [("if-match", str(expected_version))],
        documents.encode_head(head),
    )
    answer = sent.unwrap()
    await answer.read()
    assert answer.status == 200


async def test_usage_is_booked_once_through_a_crash(cluster, client):
    work_ms, workers = 20, 4
    plain = cluster.start_upstream(
        "plain", "plain-0", "app", "--work-ms", work_ms
    )
    await cluster.put_in_force(client, helpers.route("find", True))
    daemons = start_fleet(cluster, 3)
    for daemon in daemons:
        await processes.until(client, daemon.address, "/readyz")
    live = caller.Caller([d.address for d in daemons], helpers.TOKEN)

    async def load(worker):
        for number in range(60):
            await live.call("find", f"{worker}-{number}")

    loading = [asyncio.create_task(load(n)) for n in range(workers)]
    await asyncio.sleep(0.5)
    daemons[2].kill()
    live.addresses = live.addresses[:2]
    await asyncio.gather(*loading)
    live.close()
    runs = sum((await helpers.runs_of(client, [plain])).values())
    lost_at_most_ms = workers * 1_000
    booked_ms = 0
    for _ in range(300):
        _, plain_ledger = await operate(
            client, daemons[0], OTHER, "GET", "/v1/usage"
        )
        entries = usage.decode_segment(
            msgspec.json.encode(plain_ledger)
        ).entries
        assert usage.find_integrity_error(entries) is None
        booked_ms = sum(
            {
                (t.incarnation, t.owner, t.kind, t.purpose): t.busy_ms
                for e in entries
                for t in e.totals
            }.values()
        )
        if booked_ms >= runs * work_ms - lost_at_most_ms:
            break
        await asyncio.sleep(0.1)
    assert booked_ms >= runs * work_ms - lost_at_most_ms
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
    """Repeatable calls go on; keyed ones are refused as not run."""
    cluster.start_upstream("plain", "plain-0", "app")
    parts = [helpers.route("find", True), helpers.route("sync", False)]
    await cluster.put_in_force(client, *parts)
    link = cluster.start_proxy(cluster.key_value.address)
    daemon = cluster.start_daemon("entry-0", key_value=link.address)
    await processes.until(client, daemon.address, "/readyz")
    control = link.addresses[1]
    await helpers.set_faults(
        client, control, proxy.LinkFaults(partitioned=True)
    )
    live = caller.Caller([daemon.address], helpers.TOKEN)
    assert await live.call("find", "a") is caller.CallOutcome.WHOLE
    refused = await live.call("sync", "b", keyed=True, tries=1)
    assert refused is caller.CallOutcome.NOT_RUN
    await helpers.set_faults(client, control, proxy.LinkFaults())
    outcome = caller.CallOutcome.NOT_RUN
    for number in range(50):
        outcome = await live.call("sync", f"c{number}", keyed=True, tries=1)
        if outcome is caller.CallOutcome.WHOLE:
            break
        await asyncio.sleep(0.1)
    assert outcome is caller.CallOutcome.WHOLE
    live.close()
