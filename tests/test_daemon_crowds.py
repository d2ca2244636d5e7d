"""Clients that don't behave, before a daemon of our own platform."""

import asyncio
import signal

import pytest

from poplarloft.protocol import addresses
from poplarloft import state
from standins import platform
from tests import crowd
from tests import processes
from tests import test_serving_crowds as serving_crowds

pytestmark = pytest.mark.alone

OWNER = platform.OWNERS[0]
FORMS = ["few-connections", "many-connections", "silent", "silent-peers"]
ANSWER_BYTES = 65_536


class Watch:
    """Notes what a process and the kernel hold for its clients."""

    def __init__(self, pid, address):
        self.pid = pid
        self.address = address
        self.most_descriptors = 0
        self.most_kernel_bytes = 0

    async def run(self):
        while True:
            held = await asyncio.to_thread(
                serving_crowds.kernel_bytes,
                self.address.host,
                self.address.port,
            )
            self.most_kernel_bytes = max(self.most_kernel_bytes, held)
            count = serving_crowds.open_descriptors(self.pid)
            self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(serving_crowds.SAMPLE_S)

    def check_bounds(self, machine):
        """Check that the process has stayed within its machine's figures."""
        held = (
            serving_crowds.peak_memory_bytes(self.pid) + self.most_kernel_bytes
        )
        assert held < machine.memory_mb * serving_crowds.BYTES_PER_MB
        assert self.most_descriptors < machine.max_descriptors


async def check_ordinary(client, address):
    """Check that an ordinary caller's request is answered."""
    sent = await client.send(
        address,
        "POST",
        "/r/sync/run",
        (
            ("authorization", f"Bearer {platform.caller_token(OWNER)}"),
            ("x-request-key", "ordinary"),
        ),
        timeout_ms=10_000,
    )
    response = sent.unwrap()
    assert response.status == 200, await response.read(ANSWER_BYTES)
    await response.read(ANSWER_BYTES)


@pytest.mark.parametrize("form", FORMS)
async def test_crowd_is_borne(cluster, client, monkeypatch, form):
    # Guards against bounds that daemons of the users' platform alone have.
    played = crowd.FORMS[form]
    machine = played.machine
    monkeypatch.setenv("POPLARLOFT_MEMORY_MB", str(machine.memory_mb))
    monkeypatch.setenv(
        "POPLARLOFT_MAX_DESCRIPTORS", str(machine.max_descriptors)
    )
    cluster.start_upstream("plain", "plain-0", "app", "--work-ms", 30)
    body = state.RouteBody("app", True, timeout_ms=20_000)
    route = state.Document(state.DocumentKind.ROUTE, OWNER, "sync", body)
    await cluster.put_in_force(client, route)
    daemon = cluster.start_daemon("entry-0")
    await processes.wait_for_status(client, daemon.address, "/readyz")
    peers = addresses.parse_address(daemon.start_event["peer_address"])
    target = peers if played.listener == "peers" else daemon.address
    watch = Watch(daemon.process.pid, daemon.address)
    watching = asyncio.create_task(watch.run())
    attackers = await serving_crowds.start_crowd(form, target)
    try:
        assert int(await attackers.stdout.readline()) >= 0
        await check_ordinary(client, daemon.address)
        watch.check_bounds(machine)
    finally:
        attackers.send_signal(signal.SIGKILL)
        await attackers.wait()
    await check_ordinary(client, daemon.address)
    assert daemon.process.poll() is None
    watch.check_bounds(machine)
    watching.cancel()
