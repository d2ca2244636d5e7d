"""Starts real processes and talks to them; ends only what it started."""

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

START_LIMIT_S = 30


class Process:
    """One process whose first lines of output name its addresses."""

    def __init__(self, *arguments, lines=1):
        # A file takes any amount of output; a full pipe would block.
        self.output = tempfile.NamedTemporaryFile(  # noqa: SIM115
            suffix=".log"
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", *map(str, arguments)],
            stdout=self.output,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self.addresses = []
        self.started = {}
        with open(self.output.name, "rb") as reader:
            while len(self.addresses) < lines:
                self._take_line(self._next_line(reader))

    def _next_line(self, reader):
        """Return the next whole line of output."""
        line = reader.readline()
        while not line.endswith(b"\n"):
            if self.process.poll() is not None:
                raise RuntimeError("the process ended before it was ready")
            time.sleep(0.01)
            line += reader.readline()
        return line

    def _take_line(self, line):
        value = json.loads(line)
        if isinstance(value, dict):
            if value.get("message_type") != "started":
                return
            self.started = value
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

    def wait(self, limit_s=60):
        """Return the exit code and all output."""
        self.process.wait(timeout=limit_s)
        with open(self.output.name) as reader:
            return self.process.returncode, reader.read()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.output.close()


class Cluster:
    """Stand-ins and daemons as processes."""

    def __init__(self):
        self.started = []
        self.key_value = self.start("standins", "key-value")
        self.instances = self.start("standins", "instance-list")
        self.proxy = None

    def start(self, *arguments, lines=1):
        process = Process(*arguments, lines=lines)
        self.started.append(process)
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
        """Write the first configuration with both owners."""
        owners = [platform.owner_document(o) for o in platform.OWNERS]
        head = state.Configuration(1, (*owners, *parts))
        sent = await client.send(
            self.key_value.address,
            "PUT",
            f"/v1/keys/{documents.HEAD_KEY}",
            [("if-match", "0")],
            documents.encode_head(head),
        )
        answer = sent.unwrap()
        await answer.read()
        assert answer.status == 200

    def close(self):
        for process in reversed(self.started):
            process.end()


async def until(client, address, path, status=200):
    """Wait until a GET of `path` answers with `status`."""
    limit_s = time.monotonic() + START_LIMIT_S
    while time.monotonic() < limit_s:
        sent = await client.send(address, "GET", path)
        answer = sent.value_or(None)
        if answer is not None:
            await answer.read()
            if answer.status == status:
                return
        await asyncio.sleep(0.02)
    raise AssertionError(f"{path} did not answer {status}")
