"""Stand-ins and process control that the scripts of the review share.

The store, the samplers and the clients are small servers and callers of
this process, on loopback addresses. The daemons are processes of their own,
started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST = "ficu95.example"
MODEL = "daka510000"
VALUE_BYTES = 1_048_576
HEARTBEAT_S = 1.2
STABLE_S = 4.0
CONFIG_S = 3.0
PAGE_ITEMS = 500
LEADER_KEY = "cells/0/runner"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()
HELD, BROKEN, NOT_RUN = 0, 1, 2
USED_PORTS = set()


def now():
    """Return the seconds since the script was started."""
    return time.monotonic() - STARTED


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w")

    def write(self, *words):
        """Write one line with the time."""
        print(f"{now():9.3f}", *words, file=self.file, flush=True)


async def until(check, pause_s=0.1):
    """Wait until a check returns true."""
    while True:
        if check():
            return
        await asyncio.sleep(pause_s)


def free_port():
    """Return a port on the loopback address that nobody listens on.

    It lies below those that the kernel gives to outgoing channels.
    """
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port


class Request:
    """One request as a server has read it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(parse.parse_qsl(query))
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *rows = head.decode("latin-1").split("\r\n")
    pairs = (row.partition(":") for row in rows if row)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader):
    """Yield the pieces of a chunked body."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader, headers):
    """Return a whole body."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([piece async for piece in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head_bytes(first, headers):
    """Return the bytes of a head."""
    rows = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(rows) + "\r\n\r\n").encode("latin-1")


class Server:
    """A server for HTTP/1.1 that runs each request as a task.

    A task is cancelled when the channel of its request closes.
    """

    def __init__(self):
        self.port = free_port()
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        """Listen on this server's port."""
        self.server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, limit=2**22
        )

    async def stop(self):
        """Close the listener, and reset all channels."""
        if self.server is None:
            return
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.server = None

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        first, headers = head
        method, target, _ = first.split(" ", 2)
        if headers.get("expect"):
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body = await read_body(reader, headers)
        request = Request(method, target, headers, body)
        task = asyncio.ensure_future(self.handle(request, writer))
        self.tasks.add(task)
        closed = asyncio.ensure_future(_wait_closed(reader, writer))
        try:
            await asyncio.wait(
                {task, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                return False
            await task
            return True
        except asyncio.CancelledError:
            return False
        finally:
            closed.cancel()
            self.tasks.discard(task)

    async def handle(self, request, writer):
        """Answer one request."""
        raise NotImplementedError


async def _wait_closed(reader, writer):
    """Return when the peer has closed the channel."""
    while not reader.at_eof() and not writer.is_closing():
        if reader.exception() is not None:
            return
        await asyncio.sleep(0.01)


def answer(writer, status, headers=(), body=b""):
    """Write a whole answer."""
    rows = [*headers, ("Content-Length", str(len(body)))]
    writer.write(head_bytes(f"HTTP/1.1 {status} X", rows) + body)


def answer_json(writer, value, status=200):
    """Write an answer with a JSON body."""
    body = json.dumps(value).encode()
    answer(writer, status, [("Content-Type", "application/json")], body)


class Store(Server):
    """The platform's metadata store, as PROTOCOL.md tells it."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.log = []
        self.revision = 100
        self.leases = {}
        self.lease_count = 0
        self.changed = asyncio.Condition()
        self.is_down = False
        self.refused = []

    async def handle(self, request, writer):
        """Answer one call."""
        if self.is_down:
            answer(writer, 503)
            return
        name = request.path.removeprefix("/poplarloft/")
        call, _, rest = name.partition("/")
        match call:
            case "kv-key":
                item = self.items.get(request.query["key"])
                if item is None:
                    answer(writer, 404)
                else:
                    answer_json(writer, self._with_revision(item))
            case "kv-range":
                self._range(request.query, writer)
            case "kv-watch":
                await self._watch(request.query, writer)
            case "kv-txn":
                await self._write(json.loads(request.body), writer)
            case "kv-lease":
                ttl_ms = json.loads(request.body)["ttl_ms"]
                self.lease_count += 1
                self.leases[self.lease_count] = (ttl_ms, None)
                self._renew(self.lease_count)
                lease = {"lease": self.lease_count, "ttl_ms": ttl_ms}
                answer_json(writer, lease)
            case "kv-keep":
                ttl_ms = self._renew(int(rest))
                if ttl_ms is None:
                    answer(writer, 404)
                else:
                    answer_json(writer, {"ttl_ms": ttl_ms})
            case "kv-lease-end":
                found = int(rest) in self.leases
                await self._end_lease(int(rest))
                answer(writer, 200 if found else 404)
            case _:
                answer(writer, 404)

    async def put(self, key, value):
        """Write a key, as the operator or a sampler does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return await self._apply([{"key": key, "value": text}], [])

    async def remove(self, key):
        """Remove a key."""
        return await self._apply([], [key])

    def value(self, key):
        """Return the bytes of a key, None if there is none."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def _with_revision(self, item):
        return {**item, "current_rev": self.revision}

    def _range(self, query, writer):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        rows, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            rows.append(self.items[key])
            size += len(self.items[key]["value"])
            if size > 1_000_000:
                break
        answer_json(
            writer,
            {
                "items": rows,
                "has_more": len(rows) < len(keys),
                "current_rev": self.revision,
            },
        )

    async def _watch(self, query, writer):
        prefix, after = query["prefix"], int(query["after"])
        end_s = now() + int(query["wait_ms"]) / 1_000
        while True:
            events = [
                row
                for row in self.log
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            left_s = end_s - now()
            if events or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s), self.changed:
                    await self.changed.wait()
        answer_json(writer, {"events": events, "current_rev": self.revision})

    async def _write(self, call, writer):
        expected = call.get("expected", [])
        puts, deletes = call.get("puts", []), call.get("deletes", [])
        sizes = [len(base64.b64decode(row["value"])) for row in puts]
        if max(sizes, default=0) > VALUE_BYTES:
            self.refused.append((now(), puts[0]["key"], max(sizes)))
            answer(writer, 400)
            return
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [r["key"] for r in expected if r["key"] in self.items]
                rows = [self.items[key] for key in keys]
                answer_json(writer, {"items": rows}, 412)
                return
        if any(
            row.get("lease") and row["lease"] not in self.leases
            for row in puts
        ):
            answer(writer, 404)
            return
        revision = await self._apply(puts, deletes)
        answer_json(writer, {"revision": revision})

    async def _apply(self, puts, deletes):
        self.revision += 1
        revision = self.revision
        for row in puts:
            before = self.items.get(row["key"])
            item = {
                "key": row["key"],
                "value": row["value"],
                "revision": revision,
                "create_rev": before["create_rev"] if before else revision,
                "lease": row.get("lease", 0),
            }
            self.items[row["key"]] = item
            self.log.append(item)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.log.append(
                    {"key": key, "revision": revision, "removed": True}
                )
        async with self.changed:
            self.changed.notify_all()
        return revision

    def _renew(self, lease):
        if lease not in self.leases:
            return None
        ttl_ms, timer = self.leases[lease]
        if timer is not None:
            timer.cancel()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            ttl_ms / 1_000,
            lambda: asyncio.ensure_future(self._end_lease(lease)),
        )
        self.leases[lease] = (ttl_ms, timer)
        return ttl_ms

    async def _end_lease(self, lease):
        found = self.leases.pop(lease, None)
        if found is None:
            return
        found[1].cancel()
        keys = [k for k, row in self.items.items() if row["lease"] == lease]
        if keys:
            await self._apply([], keys)


class Sampler(Server):
    """A sampler: an engine if it has models, else a plain service.

    Each run is a row of `runs`. Events are named by the software version
    and the boot that made them.
    """

    def __init__(self, name, service, store, record, **options):
        super().__init__()
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.software = options.get("software", "v1")
        self.models = dict(options.get("models", {}))
        self.slots = options.get("slots", 8)
        self.event_ms = options.get("event_ms", 30.0)
        self.events = options.get("events", 20)
        self.data_bytes = options.get("data_bytes", 0)
        self.work_ms = options.get("work_ms", 30.0)
        self.runs = []
        self.running = 0
        self.orders = 0
        self.fence = 0
        self.born = 0
        self.boot = 0
        self.state = "ready"
        self.beating = None

    async def boot_up(self, first_beat_s=0.0):
        """Start, and write the entry to the store from `first_beat_s` on."""
        self.born = time.time_ns() // 1_000_000
        self.boot += 1
        self.orders = self.fence = self.running = 0
        await self.start()
        self.record.write("boot", self.name, self.software, self.boot)
        self.beating = asyncio.ensure_future(self._beat(first_beat_s))

    async def kill(self):
        """End at once: channels are reset, and nothing is said."""
        self.record.write("killed", self.name, self.software, self.boot)
        self.beating.cancel()
        await self.stop()

    async def announce(self):
        """Write this sampler's entry to the store."""
        entry = {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": "norte-a",
            "version": self.software,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "born": self.born,
            "stage": "prefill_decode",
            "models": self._models(),
            "sequence": self.orders,
        }
        await self.store.put(f"servers/{self.name}", entry)

    async def _beat(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    def _models(self):
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]

    async def handle(self, request, writer):
        """Answer one request, a report or an order."""
        headers = request.headers
        if headers.get("x-expect-instance", self.name) != self.name:
            answer(writer, 421, [("X-Instance-Id", self.name)])
            return
        if request.path == "/poplarloft/report":
            answer_json(
                writer,
                {
                    "stage": "prefill_decode",
                    "models": self._models(),
                    "busy": False,
                    "sequence": self.orders,
                    "born": self.born,
                    "num_waiting": 0,
                    "num_running": self.running,
                },
            )
            return
        if request.path == "/poplarloft/order":
            self._order(json.loads(request.body), writer)
            return
        request_id = headers.get("x-request-id", "")
        if not request_id:
            answer(writer, 400, [("X-Not-Run", "1")])
            return
        echo = ("X-Request-Id", request_id)
        if self.running >= self.slots:
            answer(writer, 503, [echo, ("X-Not-Run", "1")])
            return
        await self._run(request, request_id, writer)

    def _order(self, order, writer):
        if order["fence"] < self.fence:
            answer(writer, 412)
        elif order.get("expected", self.orders) != self.orders:
            answer(writer, 409)
        else:
            self.fence = order["fence"]
            self.orders += 1
            self.models[order["model"]] = order["version"]
            answer(writer, 202)

    async def _run(self, request, request_id, writer):
        row = {
            "at": now(),
            "id": request_id,
            "path": request.path,
            "sampler": self.name,
            "service": self.service,
            "software": self.software,
            "boot": self.boot,
            "after": int(request.headers.get("last-event-id") or 0),
            "end": None,
            "how": "running",
        }
        self.runs.append(row)
        self.running += 1
        self.record.write(
            "run", self.name, self.service, self.software, request_id,
            f"after={row['after']}",
        )  # fmt: skip
        try:
            await self.work(request, row, writer)
            row["how"] = "whole"
        except BaseException:
            row["how"] = "broken off"
            raise
        finally:
            row["end"] = now()
            self.running = max(0, self.running - 1)
            self.record.write(
                "end", self.name, request_id, row["how"],
                f"after {row['end'] - row['at']:.3f} s",
            )  # fmt: skip

    async def work(self, request, row, writer):
        """Run a request: events where it asks for tokens, else a body."""
        headers = [
            ("X-Request-Id", row["id"]),
            ("X-Server-Stamp", f"{self.name}.{self.boot}.{row['id']}"),
        ]
        if "x-token-counts" not in request.headers:
            await asyncio.sleep(self.work_ms / 1_000)
            answer(writer, 200, headers, b"answer to " + request.body)
            await writer.drain()
            return
        model = request.headers["x-model"]
        headers += [
            ("X-Weight-Versions", str(self.models[model])),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(head_bytes("HTTP/1.1 200 OK", headers))
        for number in range(row["after"] + 1, self.events + 1):
            await asyncio.sleep(self.event_ms / 1_000)
            filling = "x" * self.data_bytes
            data = f"{number}@{self.software}@{self.name}.{self.boot}{filling}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Channel:
    """A client's channel."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def open(self):
        """Open the channel."""
        self.reader, self.writer = await asyncio.open_connection(
            LOOPBACK, self.port, limit=2**24
        )

    def reset(self):
        """Reset the channel."""
        if self.writer is not None:
            self.writer.transport.abort()

    async def send(self, method, target, headers, body=b"", chunked=False):
        """Send a request, with a length or in chunks."""
        rows = list(headers)
        data = body
        if chunked:
            rows.append(("Transfer-Encoding", "chunked"))
            data = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        elif body or method == "POST":
            rows.append(("Content-Length", str(len(body))))
        self.writer.write(
            head_bytes(f"{method} {target} HTTP/1.1", rows) + data
        )
        await self.writer.drain()

    async def head(self):
        """Return the status and the headers of the answer."""
        while True:
            head = await read_head(self.reader)
            if head is None:
                raise ConnectionResetError("closed before an answer")
            first, headers = head
            status = int(first.split(" ")[1])
            if status >= 200:
                return status, headers


async def call(port, method, target, headers, body=b"", timeout_s=10.0):
    """Return the status, the headers and the body of a call; 0 if none."""
    channel = Channel(port)
    try:
        async with asyncio.timeout(timeout_s):
            await channel.open()
            await channel.send(method, target, headers, body)
            status, found = await channel.head()
            return status, found, await read_body(channel.reader, found)
    except (OSError, EOFError, TimeoutError):
        return 0, {}, b""
    finally:
        channel.reset()


class Daemon:
    """One process of the system, with the command of the deploy file."""

    def __init__(self, name, duty, store, folder, record):
        self.name = name
        self.duty = duty
        self.record = record
        self.folder = pathlib.Path(folder)
        self.port = free_port()
        self.ready_port = free_port()
        self.settings_file = self.folder / f"{name}.conf"
        is_entry = duty == "entry"
        listen = f"{LOOPBACK}:{self.port}" if is_entry else ""
        ready = f"{LOOPBACK}:{self.ready_port}" if is_entry else ""
        rows = {
            "NAME": name,
            "DUTY": duty,
            "REGION": "norte",
            "DATA_CENTRE": "norte-a",
            "REGIONS": "norte-a:norte",
            "STORE": f"{LOOPBACK}:{store.port}",
            "LISTEN": listen,
            "READY_LISTEN": ready,
            "GRACE_S": "8",
            "LOT_KEPT_S": "120",
            "PEER_LISTEN": f"{LOOPBACK}:{free_port()}",
            "RELAY_LISTEN": f"{LOOPBACK}:{free_port()}",
            "METRICS_LISTEN": f"{LOOPBACK}:{free_port()}",
            "LEAVING_BOUND_MS": "3000",
            "CONFIGURATION_BOUND_MS": "3000",
            "ENGINES_CHECK_FENCE": "true",
            "ORDER_TURN_MS": "3000",
        }
        text = "".join(f"POPLARLOFT_{k}={v}\n" for k, v in rows.items())
        self.settings_file.write_text(text)
        self.process = None

    def start(self):
        """Start the process."""
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [
                    "python3",
                    "-m",
                    "poplarloft.daemon",
                    "platform",
                    "--settings-file",
                    str(self.settings_file),
                ],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.record.write("start", self.name, self.process.pid)

    def signal(self, number):
        """Send a signal to the process."""
        self.record.write("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ended(self):
        """Wait for the end of the process."""
        await until(lambda: self.process.poll() is not None, 0.02)

    async def is_ready(self):
        """Return whether an entry says that it is ready."""
        target = "/poplarloft/ready"
        headers = [("Host", "x")]
        status, _, _ = await call(
            self.ready_port, "GET", target, headers, timeout_s=1
        )
        return status == 200


class World:
    """The store, the samplers and the daemons of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.store = Store()
        self.samplers = []
        self.daemons = []

    def daemon(self, name, duty):
        """Return a new daemon."""
        made = Daemon(name, duty, self.store, self.temporary.name, self.record)
        self.daemons.append(made)
        return made

    def sampler(self, name, service, **options):
        """Return a new sampler."""
        made = Sampler(name, service, self.store, self.record, **options)
        self.samplers.append(made)
        return made

    async def configure(self, version, routes, services):
        """Write a configuration; return when the store confirmed it."""
        await self.store.put(
            "op/config",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": {
                    "max_header_bytes": 16_384,
                    "max_body_bytes": 33_554_432,
                    "header_timeout_ms": 3_000,
                    "idle_timeout_ms": 15_000,
                },
            },
        )
        self.record.write("configuration", version, json.dumps(routes))

    async def wait_ready(self, timeout_s=30.0):
        """Wait until all entries are ready."""
        async with asyncio.timeout(timeout_s):
            entries = [d for d in self.daemons if d.duty == "entry"]
            while True:
                ready = [await daemon.is_ready() for daemon in entries]
                if all(ready):
                    return
                await asyncio.sleep(0.1)

    async def wait_leader(self, timeout_s=30.0):
        """Wait until a daemon holds the duty of running batch jobs."""
        async with asyncio.timeout(timeout_s):
            await until(lambda: self.store.value(LEADER_KEY) is not None)

    async def end(self):
        """End all daemons and stand-ins."""
        for daemon in self.daemons:
            daemon.end()
        for sampler in self.samplers:
            if sampler.beating is not None:
                sampler.beating.cancel()
            await sampler.stop()
        await self.store.stop()
        self.temporary.cleanup()


def route(name, prefix, kind, service, **more):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 12_000,
        "slo_ms": 400,
        "priority": 1,
        "max_attempts": 3,
        **more,
    }


def pool(name, slots=8):
    """Return a service of engines of a configuration."""
    engine = {"slots": slots, "models": [{"name": MODEL}]}
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 140,
        "engine": engine,
    }


def batch_job(prefix, name, count, min_version=1, groups=4, tokens=1_500):
    """Return the body of a batch job of `count` items in `groups` groups."""
    items = [
        {
            "id": f"{name}-{n:03d}",
            "path": f"{prefix}{name}/{n}",
            "headers": {
                "X-Model": MODEL,
                "X-Token-Counts": f"16,{tokens}",
                "X-Prompt-Prefix": f"9c2e41:300,5d07b8:{n}",
            },
            "body": base64.b64encode(f"prompt {n}".encode()).decode(),
            "tokens": 16 + tokens,
            "group": f"{name}-g{n % groups}",
        }
        for n in range(count)
    ]
    return json.dumps(
        {
            "step": 0,
            "model": MODEL,
            "min_version": min_version,
            "group_count": groups,
            "items": items,
        }
    ).encode()


async def submit(record, port, prefix, name, body):
    """Submit a batch job; return the status."""
    headers = [
        ("Host", HOST),
        ("X-Request-Id", name),
        ("Content-Type", "application/json"),
    ]
    status, _, _ = await call(port, "POST", f"{prefix}{name}", headers, body)
    record.write("batch job", name, "answered", status)
    return status


async def read_results(record, port, name, timeout_s):
    """Return the results of a batch job that come in time."""
    results, total = [], None
    end_s = now() + timeout_s
    while now() < end_s and (total is None or len(results) < total):
        target = f"/poplarloft/lots/{name}?after={len(results)}"
        headers = [("Host", HOST), ("X-Wait-Ms", "1000")]
        status, _, body = await call(port, "GET", target, headers, timeout_s=4)
        if status == 200:
            page = json.loads(body)
            total = page["total"]
            results += page["results"]
            record.write("read", name, "total", total, "results", len(results))
        await asyncio.sleep(0.3)
    return total, results


def run(main, folder):
    """Run a case; exit with 1 if the rule was broken, 2 if it couldn't run."""

    async def play():
        world = World(folder)
        try:
            async with asyncio.timeout(110):
                await world.store.start()
                return await main(world)
        finally:
            await world.end()

    try:
        status = asyncio.run(play())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = NOT_RUN
    sys.exit(status)
