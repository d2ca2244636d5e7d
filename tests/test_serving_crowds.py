"""Clients that read no answer cost an entry daemon bounded memory."""

import asyncio
import os
import pathlib
import signal
import sys

import pytest

from poplarloft.transport import http_client
from poplarloft_soak import processes
from standins import revision_store
from standins import sampler
from tests import crowd
from tests import serving_fleet

pytestmark = pytest.mark.alone

ROOT = pathlib.Path(__file__).parent.parent
MEMORY_MB = 160  # of the machine that the settings describe
MAX_DESCRIPTORS = 120
WORK_MS = 20.0
ANSWER_BYTES = 65_536
KIB_PER_MB = 1_000_000 / 1_024
START_TIMEOUT_S = 30


def peak_memory_mb(pid):
    """Return the largest resident set that a process has had, in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in text.splitlines() if row.startswith("VmHWM"))
    return int(line.split()[1]) / KIB_PER_MB


def open_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


class Entry:
    """A store, an upstream, and an entry daemon as a process."""

    def __init__(self, folder):
        self.store = revision_store.RevisionStoreStandin()
        self.upstream = sampler.SamplerStandin("s0", slots=64)
        self.upstream.work_ms = WORK_MS
        self.folder = folder
        self.client = http_client.HttpClient()

    async def start(self):
        store_address = await self.store.start()
        await self.upstream.start()
        await self.store.put("op/config", serving_fleet.configuration())
        await self.store.put("servers/s0", self.upstream.announcement("app"))
        self.daemon = processes.DaemonProcess(
            "entry-0", "entry", store_address, self.folder
        )
        self.daemon.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.status("/poplarloft/ready") != 200:
                await asyncio.sleep(0.05)

    @property
    def pid(self):
        return self.daemon.process.pid

    async def status(self, path, address=None):
        """Return the status of a request, 0 if there is no answer."""
        address = address or self.daemon.readiness_address
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

    async def ordinary_status(self):
        """Return the status of an ordinary client's request."""
        return await self.status("/p/x", self.daemon.request_address)

    async def stop(self):
        self.daemon.end()
        self.client.close()
        await self.upstream.stop()
        await self.store.stop()


@pytest.fixture
async def entry(tmp_path, monkeypatch):
    """Return an entry daemon on a small machine."""
    monkeypatch.setenv("POPLARLOFT_MEMORY_MB", str(MEMORY_MB))
    monkeypatch.setenv("POPLARLOFT_MAX_DESCRIPTORS", str(MAX_DESCRIPTORS))
    made = Entry(tmp_path)
    await made.start()
    yield made
    await made.stop()


@pytest.mark.parametrize("form", crowd.FORMS)
async def test_crowd_that_reads_nothing_is_borne(entry, form):
    # Guards against requests that are all kept until they are answered.
    address = entry.daemon.request_address
    attackers = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.crowd",
        form,
        address.host,
        str(address.port),
        stdout=asyncio.subprocess.PIPE,
        cwd=ROOT,
    )
    try:
        assert int(await attackers.stdout.readline()) > 0
        assert entry.daemon.is_running
        assert peak_memory_mb(entry.pid) < MEMORY_MB
        assert open_descriptors(entry.pid) < MAX_DESCRIPTORS
        assert await entry.ordinary_status() == 200
    finally:
        attackers.send_signal(signal.SIGKILL)
        await attackers.wait()
    assert await entry.ordinary_status() == 200
    assert peak_memory_mb(entry.pid) < MEMORY_MB
