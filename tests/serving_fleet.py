"""Stand-ins and daemons of both roles in one event loop."""

import asyncio
import base64
import json

from poplarloft.daemon.serving import bulk
from poplarloft.daemon.serving import entry
from poplarloft.protocol import serving_settings
from poplarloft import state
from poplarloft.transport import http_client
from standins import revision_store
from standins import sampler

MAX_BODY_BYTES = 1_000_000
HOST = "h.example"
SHORT_MS = 1.0
CHANGE_BOUND_MS = 2_000


def configuration(version=1, attempts=3, target_ms=5_000):
    """Return a configuration with an engine pool and a plain service."""
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": "plain",
                    "host": HOST,
                    "prefix": "/p/",
                    "kind": "idempotent",
                    "timeout_ms": target_ms,
                    "slo_ms": 300,
                    "service": "app",
                    "max_attempts": attempts,
                },
                {
                    "name": "once",
                    "host": HOST,
                    "prefix": "/once/",
                    "kind": "non_idempotent",
                    "timeout_ms": target_ms,
                    "slo_ms": 300,
                    "service": "app",
                    "max_attempts": attempts,
                },
                {
                    "name": "stream",
                    "host": HOST,
                    "prefix": "/s/",
                    "kind": "stream",
                    "timeout_ms": target_ms,
                    "slo_ms": 300,
                    "service": "app",
                    "max_attempts": attempts,
                },
                {
                    "name": "resumable",
                    "host": HOST,
                    "prefix": "/r/",
                    "kind": "stream",
                    "resumable": True,
                    "timeout_ms": target_ms,
                    "slo_ms": 300,
                    "service": "app",
                    "max_attempts": attempts,
                },
                {
                    "name": "lots",
                    "host": HOST,
                    "prefix": "/l/",
                    "kind": "rollout",
                    "timeout_ms": 10_000,
                    "slo_ms": 400,
                    "service": "pool",
                    "max_attempts": attempts,
                    "due_ms": 7_500,
                    "item_ttl_s": 40,
                },
            ],
            "services": [
                {"name": "app", "max_conns": 50},
                {
                    "name": "pool",
                    "max_conns": 50,
                    "engine": {"slots": 4, "models": [{"name": "m"}]},
                },
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 1_000_000,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
        }
    ).encode()


def lot_body(items, groups=1, events=10, min_version=1, wanted=1):
    """Return the body of a lot of `items` items in `groups` groups."""
    return json.dumps(
        {
            "step": 0,
            "model": "m",
            "min_version": min_version,
            "group_count": wanted,
            "items": [
                {
                    "id": f"item-{n}",
                    "path": f"/l/{n}",
                    "headers": {
                        "X-Model": "m",
                        "X-Token-Counts": f"10,{71 * events}",
                    },
                    "body": base64.b64encode(b"prompt %d" % n).decode(),
                    "tokens": 10 + 71 * events,
                    "group": f"g{n % groups}",
                    "scorer": {
                        "id": f"reward-{n}",
                        "host": HOST,
                        "path": "/p/score",
                        "body": "",
                    },
                }
                for n in range(items)
            ],
        }
    ).encode()


class Fleet:
    """A store, two engines, two services and any number of daemons.

    With `uses_change_feed`, entry daemons read store changes from each
    other. With `order_turn_ms`, engines check no fencing tokens. With
    `has_members`, daemons register in the store and list each other.
    `extra` has more flags for all daemons. All must be set before `start`.
    """

    def __init__(self, services=2, engines=2):
        self.store = revision_store.RevisionStoreStandin()
        self.engines = [
            sampler.SamplerStandin(f"e{n}") for n in range(engines)
        ]
        self.services = [
            sampler.SamplerStandin(f"s{n}") for n in range(services)
        ]
        self.entries = []
        self.bulks = []
        self.client = http_client.HttpClient()
        self.uses_change_feed = False
        self.change_bound_ms = CHANGE_BOUND_MS
        self.order_turn_ms = None
        self.grace_s = None
        self.has_members = False
        self.extra = []

    async def start(self, entries=1, bulks=1):
        """Start stand-ins and daemons; return when entry daemons are ready."""
        self.store_address = await self.store.start()
        for upstream in (*self.engines, *self.services):
            await upstream.start()
            await self.announce(upstream)
        await self.store.put("op/config", configuration())
        for n in range(bulks):
            await self.add_bulk(f"bulk-{n}")
        for n in range(entries):
            await self.add_entry(f"entry-{n}")

    async def announce(self, upstream, is_leaving=False):
        """Write the store entry of an upstream."""
        service = "pool" if upstream in self.engines else "app"
        await self.store.put(
            f"servers/{upstream.name}",
            upstream.announcement(service, is_leaving),
        )

    async def add_bulk(self, name):
        """Start and return a daemon that schedules lots."""
        daemon = bulk.BulkDaemon(self._settings(name, "bulk"))
        await daemon.start()
        self.bulks.append(daemon)
        return daemon

    async def add_entry(self, name, store=None):
        """Start a daemon that serves clients; return it when ready."""
        daemon = entry.EntryDaemon(self._settings(name, "entry", store))
        await daemon.start()
        self.entries.append(daemon)
        await eventually(lambda: daemon.is_ready)
        return daemon

    async def kill(self, daemon):
        """End a daemon abruptly, as a crash does."""
        if isinstance(daemon, entry.EntryDaemon):
            await daemon.request_server.drain(0)
            await daemon.readiness_server.drain(0)
            await daemon.lot_service.stop()
        await daemon.task_set.cancel_all()
        scheduler = getattr(
            getattr(daemon, "election", None), "scheduler", None
        )
        if scheduler is not None:
            await scheduler.stop()
        daemon.peers.close()
        daemon.client.close()
        for daemons in (self.entries, self.bulks):
            if daemon in daemons:
                daemons.remove(daemon)

    async def stop(self):
        """End all daemons and stand-ins."""
        for daemon in (*self.entries, *self.bulks):
            await self.kill(daemon)
        for upstream in (*self.engines, *self.services):
            await upstream.stop()
        await self.store.stop()
        self.client.close()

    async def call(
        self, method, target, body=b"", headers=(), daemon=None, timeout=5_000
    ):
        """Return status, headers and body of a daemon's response."""
        daemon = daemon or self.entries[0]
        port = daemon.request_server.address.port
        result = await self.client.send(
            state.Address("127.0.0.1", port),
            method,
            target,
            (("host", HOST), *headers),
            body,
            timeout,
        )
        response = result.unwrap()
        return (
            response.status,
            response.headers,
            await response.read(MAX_BODY_BYTES),
        )

    async def submit(self, lot_id, body, daemon=None):
        """Submit a lot; return the status."""
        headers = (("x-request-id", lot_id),)
        status, _, _ = await self.call("POST", "/l/x", body, headers, daemon)
        return status

    async def read(self, lot_id, after=0, daemon=None, wait_ms=300):
        """Return the status and, if 200, one page of a lot's results."""
        status, _, body = await self.call(
            "GET",
            f"/poplarloft/lots/{lot_id}?after={after}",
            headers=(("x-wait-ms", str(wait_ms)),),
            daemon=daemon,
        )
        return status, json.loads(body) if status == 200 else None

    async def read_all(self, lot_id, timeout_s=15, daemon=None):
        """Wait for all results of a lot and return them in order."""
        results = []
        async with asyncio.timeout(timeout_s):
            while True:
                status, page = await self.read(lot_id, len(results), daemon)
                if status == 200:
                    results += page["results"]
                    if len(results) >= page["total"]:
                        return results
                else:
                    await asyncio.sleep(0.05)

    def _settings(self, name, role, store=None):
        arguments = [
            f"--name={name}",
            f"--duty={role}",
            "--region=r",
            "--data-centre=z",
            f"--store={store or self.store_address}",
            "--drain-notice-ms=50",
            *self.extra,
        ]
        if role == "entry":
            arguments += [
                "--listen=127.0.0.1:0",
                "--ready-listen=127.0.0.1:0",
            ]
        if role == "bulk" or self.uses_change_feed or self.has_members:
            arguments.append("--peer-listen=127.0.0.1:0")
        if self.has_members:
            arguments.append("--relay-listen=127.0.0.1:0")
        if self.grace_s is not None:
            arguments.append(f"--grace-s={self.grace_s}")
        if self.order_turn_ms is not None:
            arguments += [
                "--engines-check-fence=false",
                f"--order-turn-ms={self.order_turn_ms}",
            ]
        if self.uses_change_feed:
            arguments += [
                f"--leaving-bound-ms={self.change_bound_ms}",
                f"--configuration-bound-ms={self.change_bound_ms}",
            ]
        return serving_settings.load_serving_settings(arguments)


async def eventually(predicate, timeout_s=10):
    """Wait until `predicate` returns true; raise TimeoutError if not."""
    async with asyncio.timeout(timeout_s):
        while not predicate():
            await asyncio.sleep(0.01)
