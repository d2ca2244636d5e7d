"""Parts that the scripts of this review share.

It starts daemons with the commands of the deploy file, on loopback addresses
of their own, with settings that the template of the deploy file gives. The
stand-ins run in the process of the script.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS_PATH = "/etc/poplarloft/boot.conf"
HOST = "ficu95.example"
ZONES = {"norte-a": "norte", "centro-a": "centro", "sur-a": "sur"}
BOUNDS = {
    "drain_ms": 3_000,
    "config_ms": 3_000,
    "grace_s": 8,
    "status_s": 120,
    "lease_ms": 3_000,
    "fence_checked": "true",
}
CALL_TIMEOUT_S = 5.0


async def until(predicate, timeout_s):
    """Wait until `predicate` returns true; raises TimeoutError if not."""
    async with asyncio.timeout(timeout_s):
        while not predicate():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


class CannotRunError(Exception):
    """The case can't be run here."""


def free_ports(host, count):
    """Return different ports that nobody uses on an address."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def render(template, fields):
    """Fill in a template of the deploy file, as far as it is used."""

    def look_up(scope, name):
        for part in name.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)]
            elif isinstance(scope, dict) and part in scope:
                scope = scope[part]
            else:
                return ""
        return scope

    def section(found):
        table = look_up(fields, found[1])
        rows = list(table.items())
        texts = []
        for number, (key, value) in enumerate(rows):
            comma = "," if number < len(rows) - 1 else ""
            text = found[2].replace("{{@}}", key).replace("{{.}}", value)
            texts.append(text.replace("{{,}}", comma))
        return "".join(texts)

    text = re.sub(r"{{#(\w+)}}(.*?){{/\1}}", section, template)
    return re.sub(
        r"{{([\w.]+)}}", lambda found: str(look_up(fields, found[1])), text
    )


class Daemon:
    """One daemon, as a process with the command of the deploy file."""

    def __init__(self, deployment, role, name, zone, max_fds=None):
        self.deployment = deployment
        self.max_fds = max_fds
        self.role = role
        self.name = name
        self.zone = zone
        self.ip = deployment.next_ip()
        self.front, self.ready, *self.ports = free_ports(self.ip, 4)
        self.process = None
        self.log_path = deployment.folder / f"{name}.log"

    def _settings(self, template):
        role = self.deployment.roles[self.role]
        listen = {}
        if "front" in role["serves"]:
            listen = {
                "front": f"{self.ip}:{self.front}",
                "ready": f"{self.ip}:{self.ready}",
            }
        fields = {
            "node_name": self.name,
            "role": self.role,
            "region": ZONES[self.zone],
            "zone": self.zone,
            "zones": ZONES,
            "platform": {"address": self.deployment.store_address(self)},
            "listen_addrs": listen,
            "bounds": BOUNDS | self.deployment.bounds,
            "bind_ip": self.ip,
            "port_range": self.ports,
            "limits": {"memory_mb": 300, "max_fds": 4_100},
        }
        return render(template, fields)

    def start(self):
        """Start the process, or start it again."""
        role = self.deployment.roles[self.role]
        template = (ROOT / role["template"]).read_text()
        path = self.deployment.folder / f"{self.name}.conf"
        path.write_text(self._settings(template))
        words = role["run"].replace(SETTINGS_PATH, str(path)).split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors,  # noqa: PLW1509
            )

    def _limit_descriptors(self):
        """Limit the descriptors of the process, as its machine does."""
        if self.max_fds is not None:
            limits = self.max_fds, self.max_fds
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def open_descriptors(self):
        """Return how many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def signal(self, number):
        """Send the process a signal."""
        self.process.send_signal(number)

    def events(self, kind):
        """Return the log events of a kind."""
        found = []
        for line in self.log_path.read_text().splitlines():
            if line.startswith("{"):
                event = json.loads(line)
                if event.get("message_type") == kind:
                    found.append(event)
        return found

    def end(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """Daemons of both roles, in a temporary folder of their own."""

    def __init__(self, store_address, bounds=None):
        self.store_address = store_address
        self.bounds = bounds or {}
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.daemons = []
        # A block of the loopback network that other runs hardly share.
        first, second = random.randint(2, 250), random.randint(2, 250)
        self.block = f"127.{first}.{second}"
        self.last_ip = 0

    def next_ip(self):
        """Return a loopback address for one more daemon."""
        self.last_ip += 1
        return f"{self.block}.{self.last_ip}"

    def add(self, role, name, zone="norte-a", max_fds=None):
        """Start a daemon and return it."""
        daemon = Daemon(self, role, name, zone, max_fds)
        self.daemons.append(daemon)
        daemon.start()
        return daemon

    async def await_ready(self, timeout_s=25):
        """Wait until all daemons for clients say that they are ready."""
        until_s = time.monotonic() + timeout_s
        for daemon in self.daemons:
            if "front" not in self.roles[daemon.role]["serves"]:
                continue
            while True:
                answer = await call(
                    (daemon.ip, daemon.ready), "GET", "/poplarloft/ready"
                )
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > until_s:
                    last = daemon.log_path.read_text()[-300:]
                    raise CannotRunError(f"{daemon.name} is not ready: {last}")
                await asyncio.sleep(0.1)

    def end(self):
        """End all processes and remove the folder."""
        for daemon in self.daemons:
            daemon.end()
        self.temporary.cleanup()


class Answer:
    """The answer to a call."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def call(
    address, method, path, body=b"", headers=(), timeout_s=CALL_TIMEOUT_S
):
    """Send one request on a new channel; None without a whole answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, path, body, headers)
    except (OSError, TimeoutError, EOFError, ValueError):
        return None


async def _call(address, method, path, body, headers):
    reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
    try:
        rows = [("Host", HOST), ("Content-Length", len(body)), *headers]
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in rows)
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        status, found = await read_head(reader)
        content = await read_body(reader, found)
        return Answer(status, found, content)
    finally:
        writer.transport.abort()


async def read_head(reader):
    """Return the status and the headers of an answer."""
    first, *rows = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
    headers = {}
    for row in filter(None, rows):
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return int(first.split()[1]), headers


async def read_body(reader, headers):
    """Return the whole body of an answer; raises EOFError if it is cut."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers["content-length"]))
    pieces = []
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        pieces.append((await reader.readexactly(size + 2))[:-2])
        if not size:
            return b"".join(pieces)


class Record:
    """What was sent, answered and run, for `record.txt`."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.started_s = time.monotonic()
        self.lines = []

    def add(self, *words):
        """Add a line with the time since the start."""
        now_s = time.monotonic() - self.started_s
        self.lines.append(f"{now_s:8.3f} " + " ".join(map(str, words)))

    def write(self):
        """Write all lines."""
        self.path.write_text("\n".join(self.lines) + "\n")


def run(case_file, play, limit_s=110):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, or 2.

    `play` gets a record and whether there is trouble; it returns the ways
    in which the rule was broken.
    """
    record = Record(pathlib.Path(case_file).parent)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("trouble" if has_trouble else "no trouble")
    try:
        broken = asyncio.run(
            asyncio.wait_for(play(record, has_trouble), limit_s)
        )
    except Exception as error:
        record.add("could not run:", repr(error))
        record.write()
        print("could not run:", repr(error))
        sys.exit(2)
    for row in broken:
        record.add("BROKEN", row)
        print("broken:", row)
    if not broken:
        record.add("held")
        print("held")
    record.write()
    sys.exit(1 if broken else 0)
