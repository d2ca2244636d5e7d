"""Start stand-ins and daemons as processes and send requests to them."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

from poplarloft.protocol import addresses
from poplarloft.protocol import documents
from poplarloft import state
from standins import platform

MAX_BODY_BYTES = 1_000_000
START_TIMEOUT_S = 30


class Process:
    """A Python module run as a process that prints its addresses first."""

    def __init__(self, *arguments, lines=1):
        # A pipe that nobody reads would block the process when full.
        self.output = tempfile.NamedTemporaryFile(  # noqa: SIM115
            suffix=".log"
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", *map(str, arguments)],
            stdout=self.output,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self.addresses = []
        self.start_event = {}
        with open(self.output.name, "rb") as reader:
            while len(self.addresses) < lines:
                self._parse_line(self._next_line(reader))

    def _next_line(self, reader):
        """Wait for the next complete line of output and return it."""
        line = reader.readline()
        while not line.endswith(b"\n"):
            if self.process.poll() is not None:
                raise RuntimeError("the process exited before it was ready")
            time.sleep(0.01)
            line += reader.readline()
        return line

    def _parse_line(self, line):
        value = json.loads(line)
        if isinstance(value, dict):
            if value.get("message_type") != "started":
                return
            self.start_event = value
            value = value["address"]
        self.addresses.append(addresses.parse_address(value))

    @property
    def address(self):
        return self.addresses[0]

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def kill(self):
        self.process.kill()

    def pause(self):
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)

    def wait(self, timeout_s=60):
        """Wait for the process to exit; return its exit code and output."""
        self.process.wait(timeout=timeout_s)
        with open(self.output.name) as reader:
            return self.process.returncode, reader.read()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.output.close()


class Cluster:
    """A key-value service, an instance list and the processes using them."""

    def __init__(self):
        self.processes = []
        self.key_value = self.start("standins", "key-value")
        self.instances = self.start("standins", "instance-list")
        self.proxy = None

    def start(self, *arguments, lines=1):
        process = Process(*arguments, lines=lines)
        self.processes.append(process)
        return process

    def start_proxy(self, upstream):
        return self.start("standins", "proxy", "--upstream", upstream, lines=2)

    def start_upstream(self, kind, name, service, *arguments):
        return self.start(
            "standins",
            kind,
            "--name",
            name,
            "--service",
            service,
            "--instance-list",
            self.instances.address,
            *arguments,
        )

    def start_daemon(self, name, *arguments, key_value=None):
        return self.start(
            "poplarloft.daemon",
            "--name",
            name,
            "--region",
            "norte",
            "--data-centre",
            "norte-a",
            "--listen",
            "127.0.0.1:0",
            "--key-value",
            key_value or self.key_value.address,
            "--instance-list",
            self.instances.address,
            "--poll-interval-ms",
            100,
            "--drain-notice-ms",
            300,
            *arguments,
        )

    async def put_in_force(self, client, *parts):
        """Write a first configuration with both owners and `parts`."""
        owners = [platform.owner_document(o) for o in platform.OWNERS]
        head = state.Configuration(1, (*owners, *parts))
        result = await client.send(
            self.key_value.address,
            "PUT",
            f"/v1/keys/{documents.HEAD_KEY}",
            [("if-match", "0")],
            documents.encode_head(head),
        )
        response = result.unwrap()
        await response.read(MAX_BODY_BYTES)
        assert response.status == 200

    def close(self):
        for process in reversed(self.processes):
            process.end()


async def wait_for_status(client, address, path, status=200):
    """Wait until a GET of `path` is answered with `status`."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        result = await client.send(address, "GET", path)
        response = result.value_or(None)
        if response is not None:
            await response.read(MAX_BODY_BYTES)
            if response.status == status:
                return
        await asyncio.sleep(0.02)
    raise AssertionError(f"{path} did not answer {status}")
