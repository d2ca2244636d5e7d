"""Stand-ins of this review: the platform's store, slow on demand.

They are the project's own, with what the pages say beyond them.
"""

import asyncio
import base64
import json

from poplarloft.protocol import http
from standins import revision_store

ANSWER_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Store(revision_store.RevisionStoreStandin):
    """A store with pages of at most 500 items or 1 MB.

    Attributes
    ----------
    slowness : float
        Factor by which its answers take longer than usual.
    """

    def __init__(self):
        super().__init__()
        self.slowness = 1.0

    async def _handle(self, request):
        response = await super()._handle(request)
        await asyncio.sleep(ANSWER_S * self.slowness)
        return response

    def _range(self, prefix, after):
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(prefix) and key > after
        )
        items, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            entry = self.entries[key]
            size += len(entry.value)
            if items and size > PAGE_BYTES:
                break
            items.append(
                {
                    "key": key,
                    "value": entry.value,
                    "revision": entry.revision,
                    "create_rev": entry.created,
                    "lease": entry.lease,
                }
            )
        body = {
            "items": items,
            "has_more": len(keys) > len(items),
            "current_rev": self.revision,
        }
        headers = (("content-type", "application/json"),)
        return http.HttpResponse(200, headers, json.dumps(body).encode())


def configuration(host, **changes):
    """Return a configuration with an engine pool and a plain service."""
    rollout = {
        "name": "rollout",
        "host": host,
        "prefix": "/l/",
        "kind": "rollout",
        "timeout_ms": 10_000,
        "slo_ms": 400,
        "service": "pool",
        "max_attempts": 3,
        "due_ms": 7_500,
        "item_ttl_s": 40,
        "priority": 1,
    }
    plain = {
        "name": "plain",
        "host": host,
        "prefix": "/p/",
        "kind": "idempotent",
        "timeout_ms": 5_000,
        "slo_ms": 300,
        "service": "app",
        "max_attempts": 4,
        "priority": 2,
    }
    once = {
        **plain,
        "name": "once",
        "prefix": "/once/",
        "kind": "non_idempotent",
    }
    document = {
        "version": 1,
        "routes": [rollout, plain, once],
        "services": [
            {"name": "app", "max_conns": 100},
            {
                "name": "pool",
                "max_conns": 140,
                "engine": {"slots": 8, "models": [{"name": "m"}]},
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 33_554_432,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }
    return json.dumps({**document, **changes}).encode()


def lot_body(host, count, size, events, min_version=1, first=0, step=0):
    """Return the body of a lot of `count` items in groups of `size`."""
    items = [
        {
            "id": f"item{n:05d}",
            "path": f"/l/{n}",
            "headers": {
                "X-Model": "m",
                "X-Token-Counts": f"10,{71 * events}",
            },
            "body": base64.b64encode(b"prompt %d" % n).decode(),
            "tokens": 10 + 71 * events,
            "group": f"g{n // size}",
            "scorer": {
                "id": f"reward{n:05d}",
                "host": host,
                "path": f"/p/{n}",
                "body": "",
            },
        }
        for n in range(first, first + count)
    ]
    return json.dumps(
        {
            "step": step,
            "model": "m",
            "min_version": min_version,
            "group_count": count // size,
            "items": items,
        }
    ).encode()


class PlainSampler:
    """A sampler of a plain service, with slots and a queue.

    Parameters
    ----------
    name : str
        Its identifier.
    slots : int
        Number of requests that it works on at once.
    work_s : float
        Time for which it works on a request.
    max_conns : int
        Number of channels that it accepts; it resets further ones.
    limit : float or None
        Requests a second that it says it takes; None if it says nothing.

    Attributes
    ----------
    arrivals : list of (float, str)
        When each request came, on the event loop's clock, and its id.
    named_s : float or None
        When it first named its limit.
    """

    def __init__(self, name, slots=8, work_s=0.1, max_conns=140, limit=None):
        self.limit = limit
        self.arrivals = []
        self.named_s = None
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.max_conns = max_conns
        self.free = asyncio.Semaphore(slots)
        self.writers = set()
        self.served = 0
        self.server = None
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self):
        """End as a process does: nobody listens, and channels are closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def announcement(self, state="ready"):
        """Return the entry that it writes to the platform's store."""
        return json.dumps(
            {
                "service": "app",
                "address": self.address,
                "zone": "norte-a",
                "version": "5.0",
                "slots": self.slots,
                "state": state,
                "cold_left_ms": 0,
                "born": 1,
                "sequence": 0,
            }
        ).encode()

    async def _serve(self, reader, writer):
        if len(self.writers) >= self.max_conns:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        _, *rows = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        headers = {}
        for row in filter(None, rows):
            name, _, value = row.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers.get("x-request-id", "")
        loop = asyncio.get_running_loop()
        self.arrivals.append((loop.time(), request_id))
        async with self.free:
            await asyncio.sleep(self.work_s)
        self.served += 1
        body = b"answer of " + self.name.encode()
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Instance-Id: {self.name}\r\n"
            f"X-Server-Stamp: {self.name}.{request_id}\r\n"
        )
        if self.limit is not None:
            self.named_s = self.named_s or loop.time()
            head += f"Server-Limit: {self.limit}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
