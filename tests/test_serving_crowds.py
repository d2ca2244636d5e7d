"""Clients that don't behave cost an entry daemon bounded resources."""

import asyncio
import os
import pathlib
import signal
import socket
import sys

import pytest

from poplarloft.protocol import lot_records
from poplarloft.transport import http_client
from poplarloft_soak import processes
from standins import revision_store
from standins import sampler
from tests import crowd
from tests import serving_fleet

pytestmark = pytest.mark.alone

ROOT = pathlib.Path(__file__).parent.parent
WORK_MS = 20.0
SLOW_WORK_MS = 3_000.0
ANSWER_BYTES = 65_536
EVENT_PADDING = "x" * 20_000
BYTES_PER_KIB = 1_024
BYTES_PER_MB = 1_000_000
START_TIMEOUT_S = 30
SAMPLE_S = 0.01
HINTS_S = 2.0  # for the last lots to reach the leader
LOTS = 40
LISTENING = "0A"  # its queue counts connections


def peak_memory_bytes(pid):
    """Return the largest resident set that a process has had."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in text.splitlines() if row.startswith("VmHWM"))
    return int(line.split()[1]) * BYTES_PER_KIB


def open_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def kernel_bytes(host, port=None):
    """Return what the kernel holds for all connections at an address.

    Without a port, all ports of the host count.

    Bytes that have arrived and weren't read, and those that were sent and
    have not reached the other side.
    """
    address = f"{socket.inet_aton(host)[::-1].hex().upper()}:"
    if port is not None:
        address += f"{port:04X}"
    held = 0
    for row in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = row.split()
        if fields[1].startswith(address) and fields[3] != LISTENING:
            held += sum(int(size, 16) for size in fields[4].split(":"))
    return held


class SlowPathSampler(sampler.SamplerStandin):
    """An upstream at which one path takes long."""

    async def _run(self, request):
        if request.path == "/p/slow":
            await asyncio.sleep(SLOW_WORK_MS / 1_000)
        return await super()._run(request)


class Entry:
    """A store, an upstream, and an entry daemon as a process."""

    def __init__(self, folder, queue):
        self.store = revision_store.RevisionStoreStandin()
        self.upstream = SlowPathSampler("s0", slots=64)
        self.upstream.work_ms = WORK_MS
        self.upstream.padding = EVENT_PADDING
        self.upstream.queue = queue
        self.folder = folder
        self.metrics_address = processes.free_address()
        self.client = http_client.HttpClient()
        self.bulk = None
        self.most_descriptors = 0
        self.most_kernel_bytes = 0

    async def start_bulk(self):
        """Start a bulk daemon, which leads."""
        self.bulk = processes.DaemonProcess(
            "bulk-0", "bulk", self.store_address, self.folder
        )
        os.environ.pop("POPLARLOFT_METRICS_LISTEN")
        self.bulk.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while lot_records.LEADER_KEY not in self.store.entries:
                await asyncio.sleep(0.05)

    async def start(self):
        os.environ["POPLARLOFT_METRICS_LISTEN"] = str(self.metrics_address)
        self.store_address = await self.store.start()
        await self.upstream.start()
        await self.store.put("op/config", serving_fleet.configuration())
        await self.store.put("servers/s0", self.upstream.announcement("app"))
        self.daemon = processes.DaemonProcess(
            "entry-0", "entry", self.store_address, self.folder
        )
        self.daemon.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.ready_status() != 200:
                await asyncio.sleep(0.05)
        self.sampling = asyncio.create_task(self.sample())

    @property
    def pid(self):
        return self.daemon.process.pid

    def listener(self, name):
        """Return the address of a listener of the daemon."""
        return {
            "requests": self.daemon.request_address,
            "readiness": self.daemon.readiness_address,
            "metrics": self.metrics_address,
            "relay": self.daemon.relay_address,
            "peers": self.daemon.peer_address,
        }[name]

    async def sample(self):
        """Note the most descriptors and bytes in the kernel."""
        host = self.daemon.request_address.host
        while True:
            held = await asyncio.to_thread(kernel_bytes, host)
            self.most_kernel_bytes = max(self.most_kernel_bytes, held)
            count = open_descriptors(self.pid)
            self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(SAMPLE_S)

    async def status(self, path, address):
        """Return the status of a request, 0 if there is no answer."""
        headers = (
            ("host", serving_fleet.HOST),
            ("x-request-id", "ordinary"),
            ("x-deadline-ms", "4000"),
        )
        sent = await self.client.send(
            address, "GET", path, headers, timeout_ms=10_000
        )
        response = sent.value_or(None)
        if response is None:
            return 0
        await response.read(ANSWER_BYTES)
        return response.status

    async def hand_in(self, number):
        """Hand a lot of very small items in; return the status."""
        sent = await self.client.send(
            self.daemon.request_address,
            "POST",
            "/l/x",
            (("host", crowd.HOST), ("x-request-id", f"lot-{number}")),
            crowd.lot_body(),
        )
        response = sent.value_or(None)
        if response is None:
            return 0
        await response.read(ANSWER_BYTES)
        return response.status

    async def ready_status(self):
        """Return the status of the readiness probe."""
        address = self.daemon.readiness_address
        return await self.status("/poplarloft/ready", address)

    async def ordinary_status(self):
        """Return the status of an ordinary client's request."""
        return await self.status("/p/x", self.daemon.request_address)

    def check_bounds(self, machine):
        """Check that the process lives within its machine's figures."""
        assert self.daemon.is_running
        held = peak_memory_bytes(self.pid) + self.most_kernel_bytes
        assert held < machine.memory_mb * BYTES_PER_MB
        assert self.most_descriptors < machine.max_descriptors

    async def stop(self):
        self.sampling.cancel()
        self.daemon.end()
        if self.bulk is not None:
            self.bulk.end()
        self.client.close()
        await self.upstream.stop()
        await self.store.stop()


@pytest.fixture
async def entry(tmp_path, monkeypatch, form):
    """Return an entry daemon on the form's machine."""
    machine = crowd.FORMS[form].machine
    settings = {
        "POPLARLOFT_MEMORY_MB": machine.memory_mb,
        "POPLARLOFT_MAX_DESCRIPTORS": machine.max_descriptors,
        "POPLARLOFT_METRICS_LISTEN": "",
    }
    for name, value in settings.items():
        monkeypatch.setenv(name, str(value))
    made = Entry(tmp_path, crowd.FORMS[form].queue)
    await made.start()
    yield made
    await made.stop()


async def start_crowd(form, address):
    """Start a crowd as a process."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.crowd",
        form,
        address.host,
        str(address.port),
        stdout=asyncio.subprocess.PIPE,
        cwd=ROOT,
    )


@pytest.mark.parametrize("form", crowd.FORMS)
async def test_crowd_is_borne(entry, form):
    # Guards against resources that are bounded for each client only.
    played = crowd.FORMS[form]
    attackers = await start_crowd(form, entry.listener(played.listener))
    try:
        assert int(await attackers.stdout.readline()) >= 0
        assert await entry.ordinary_status() == 200
        assert await entry.ready_status() == 200
        entry.check_bounds(played.machine)
    finally:
        attackers.send_signal(signal.SIGKILL)
        await attackers.wait()
    assert await entry.ordinary_status() == 200
    entry.check_bounds(played.machine)


@pytest.mark.parametrize("form", ["small-items"])
async def test_lots_of_a_crowd_are_borne_by_the_leader(entry, form):
    # Guards against a leader that holds all that entries have accepted.
    await entry.start_bulk()
    statuses = [await entry.hand_in(number) for number in range(LOTS)]
    assert statuses.count(202) >= 1
    assert set(statuses) <= {202, 503}  # accepted, or refused as not run
    await asyncio.sleep(HINTS_S)
    assert entry.bulk.is_running
    machine = crowd.FORMS[form].machine
    held = peak_memory_bytes(entry.bulk.process.pid)
    assert held < machine.memory_mb * BYTES_PER_MB
    entry.check_bounds(machine)
