"""Stand-ins of the platform, and the daemons that run on it."""

import asyncio
import functools
import json
import pathlib
import time

from poplarloft import state
from poplarloft_soak import processes
from standins import proxy
from standins import revision_store
from standins import sampler

__all__ = ["CRASH_MARKER", "HOST", "MODEL", "World"]

HOST = "h.example"
MODEL = "m"
MS_PER_S = 1_000
ENGINE_EVENT_MS = 12.0
EXPIRY_DELAY_S = 1.0
SENDER_SETTLING_S = 4.0
RETIREMENT_CHECKS = 80
RETIREMENT_CHECK_S = 0.05
CRASH_MARKER = b"poison"
VERSIONS = ("v1", "v2")


class World:
    """Stand-ins, daemons and the fault-injecting links between them.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the logs.
    entries, bulks, engines, services : int
        Number of daemons of each role, and of upstreams of each kind.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int = 3,
        bulks: int = 2,
        engines: int = 3,
        services: int = 2,
    ) -> None:
        self.folder = folder
        self.counts = {"entry": entries, "bulk": bulks}
        self.store = revision_store.RevisionStoreStandin()
        self.engines = [
            sampler.SamplerStandin(f"e{n}", 4, ENGINE_EVENT_MS)
            for n in range(engines)
        ]
        self.services = [
            sampler.SamplerStandin(f"s{n}", 8) for n in range(services)
        ]
        self.links: dict[str, proxy.FaultProxy] = {}
        self.daemons: list[processes.DaemonProcess] = []
        self.configuration_version = 0
        self.weight_version = 1
        self.releases = 0
        self.stopped_upstreams: set[str] = set()

    async def start(self) -> None:
        """Start the stand-ins and links, then the daemons."""
        self.store_address = await self.store.start()
        for upstream in (*self.engines, *self.services):
            await upstream.start()
            await self._start_link(upstream.name, upstream.address)
            upstream.advertised = self.links[upstream.name].address
            upstream.names_version = True
            await self.announce(upstream)
        for upstream in (*self.engines[1:], *self.services[1:]):
            upstream.software_version = VERSIONS[1]
            await self.announce(upstream)
        for service in self.services:
            service.crash_marker = CRASH_MARKER
            service.on_restart = functools.partial(self.announce, service)
        await self.configure()
        for role, count in self.counts.items():
            for number in range(count):
                await self.add_daemon(f"{role}-{number}", role)
        for daemon in self.daemons:
            daemon.start()

    async def add_daemon(
        self, name: str, role: str
    ) -> processes.DaemonProcess:
        """Return a new daemon, which is not started yet."""
        await self._start_link(name, self.store_address)
        daemon = processes.DaemonProcess(
            name, role, self.links[name].address, self.folder
        )
        self.daemons.append(daemon)
        return daemon

    async def retire(self, name: str) -> None:
        """Ask for the retirement of a daemon, and wait for its end."""
        status = f"status/retire/{name}"
        await self.store.put(f"op/retire/{name}", b'{"over_s": 9.0}')
        for _ in range(RETIREMENT_CHECKS):
            if status in self.store.entries:
                break
            await asyncio.sleep(RETIREMENT_CHECK_S)
        await self.store.remove(f"op/retire/{name}")

    async def stop(self) -> None:
        """End all daemons, links and stand-ins."""
        for daemon in self.daemons:
            daemon.end()
        for link in self.links.values():
            await link.stop()
        for upstream in (*self.engines, *self.services):
            await upstream.stop()
        await self.store.stop()

    async def announce(self, upstream: sampler.SamplerStandin) -> None:
        """Write the store entry of an upstream."""
        service = "pool" if upstream in self.engines else "app"
        await self.store.put(
            f"servers/{upstream.name}", upstream.announcement(service)
        )

    async def restart(
        self, upstream: sampler.SamplerStandin, down_s: float
    ) -> None:
        """Crash an upstream and start it again under the same name.

        Nothing happens if an earlier call has not started it again yet:
        two overlapping crashes would start it twice.
        """
        if upstream.name in self.stopped_upstreams:
            return
        self.stopped_upstreams.add(upstream.name)
        await upstream.stop()
        self.links[upstream.name].cut()
        await asyncio.sleep(min(down_s, EXPIRY_DELAY_S))
        await self.store.remove(f"servers/{upstream.name}")
        await asyncio.sleep(max(0.0, down_s - EXPIRY_DELAY_S))
        upstream.orders.clear()
        upstream.fence = 0
        upstream.running = 0
        upstream.born_ms = int(time.time() * MS_PER_S)
        upstream.leaving_headers, upstream.leaving_since = (), None
        # The next run under its name has the other software version.
        self.releases += 1
        upstream.software_version = VERSIONS[self.releases % len(VERSIONS)]
        await upstream.start()
        await self.announce(upstream)
        self.stopped_upstreams.discard(upstream.name)

    async def configure(self) -> None:
        """Write the next version of the configuration."""
        self.configuration_version += 1
        await self.store.put(
            "op/config", _configuration(self.configuration_version)
        )

    async def announce_version(self) -> None:
        """Announce the next weight version to the daemons."""
        self.weight_version += 1
        value = json.dumps({"model": MODEL, "version": self.weight_version})
        await self.store.put(f"op/version/{MODEL}", value.encode())

    def upstreams(self) -> list[sampler.SamplerStandin]:
        """Return the stand-ins of engines and plain services."""
        return [*self.engines, *self.services]

    def excuse_senders(self) -> None:
        """Let limits settle, since a sender is started, ended or stopped."""
        for upstream in self.upstreams():
            upstream.rate.settle(SENDER_SETTLING_S)

    def entries(self) -> list[processes.DaemonProcess]:
        """Return the daemons with the role `entry`, which serve clients."""
        return [d for d in self.daemons if d.role == "entry"]

    async def _start_link(self, name: str, address: state.Address) -> None:
        self.links[name] = proxy.FaultProxy(address)
        await self.links[name].start()


def _configuration(version: int) -> bytes:
    def route(
        name: str, prefix: str, kind: str, service: str
    ) -> dict[str, object]:
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "service": service,
            "timeout_ms": 2_000,
            "slo_ms": 300,
            "max_attempts": 3,
            "due_ms": 7_500,
            "item_ttl_s": 60,
        }

    return json.dumps(
        {
            "version": version,
            "routes": [
                route("plain", "/p/", "idempotent", "app"),
                route("once", "/once/", "non_idempotent", "app"),
                {
                    **route("resumable", "/r/", "stream", "app"),
                    "resumable": True,
                },
                route("lots", "/l/", "rollout", "pool"),
            ],
            "services": [
                {"name": "app", "max_conns": 200},
                {
                    "name": "pool",
                    "max_conns": 200,
                    "engine": {"slots": 4, "models": [{"name": MODEL}]},
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
