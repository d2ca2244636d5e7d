"""Random faults from a seed, injected in concurrent series."""

import asyncio
from collections import abc
import random
import signal
import time

from poplarloft_soak import processes
from poplarloft_soak import world as worlds
from standins import proxy

__all__ = ["FaultPlan"]

CONCURRENT_SERIES = 2
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 1.5
RESTART_DELAY_S = 0.4
LIMITS_PER_S = (0.5, 1.0, 2.0, 5.0)
Fault = abc.Callable[[], abc.Awaitable[None]]


class FaultPlan:
    """Choose and inject random faults for a given time.

    Parameters
    ----------
    world : worlds.World
        The processes, links and stand-ins that get the faults.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, world: worlds.World, seed: int) -> None:
        self.world = world
        self.rng = random.Random(seed)
        # later series have their own, so that known seeds keep their faults
        self.limit_rng = random.Random(f"limits {seed}")
        self.leave_rng = random.Random(f"leaves {seed}")
        self.replace_rng = random.Random(f"replacements {seed}")
        self.replaced = 0
        self.injected: list[tuple[float, str]] = []
        self.kinds: dict[str, Fault] = {
            "daemon-killed": self._kill_daemon,
            "daemon-stopped": self._terminate_daemon,
            "daemon-paused": self._pause_daemon,
            "daemon-reload": self._reload_daemon,
            "herd-killed": self._kill_all_daemons,
            "store-down": self._stop_store,
            "store-answers-lost": self._lose_write_responses,
            "store-answers-late": self._delay_writes,
            "store-history-lost": self._compact_history,
            "link-cut": self._cut_link,
            "link-silent": self._partition_link,
            "link-one-way": self._drop_link_responses,
            "link-slow": self._delay_link,
            "link-refused": self._refuse_connections,
            "upstream-crash": self._crash_upstream,
            "texts-broken": self._truncate_outputs,
            "upstream-errors": self._fail_requests,
            "configuration": self.world.configure,
            "version-named": self.world.announce_version,
        }

    async def run(self, seconds: float) -> None:
        """Inject faults for `seconds`, then end those that still last."""
        end_s = time.monotonic() + seconds
        await asyncio.gather(
            self._limit_upstreams(end_s),
            self._let_services_leave(end_s),
            self._replace_store_machines(end_s),
            *(self._run_series(end_s) for _ in range(CONCURRENT_SERIES)),
        )
        self.heal()

    def heal(self) -> None:
        """End all faults that last; start daemons that do not run."""
        self.world.store.is_down = False
        self.world.store.delay_ms = 0
        self.world.store.lost_writes = 0
        self.world.store.late_writes = 0
        for upstream in self.world.upstreams():
            upstream.rate.set_limit(None)
        for link in self.world.links.values():
            link.set_faults(proxy.LinkFaults())
        for daemon in self.world.daemons:
            daemon.send(signal.SIGCONT)
            daemon.start()

    async def _run_series(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await self._sleep(MIN_PAUSE_S, MAX_PAUSE_S)
            kind = self.rng.choice(sorted(self.kinds))
            self.injected.append((time.monotonic(), kind))
            await self.kinds[kind]()

    async def _sleep(self, least: float, most: float) -> None:
        await asyncio.sleep(self.rng.uniform(least, most))

    async def _limit_upstreams(self, end_s: float) -> None:
        """Let one upstream after the other name a limit."""
        while time.monotonic() < end_s:
            upstream = self.limit_rng.choice(self.world.upstreams())
            upstream.rate.set_limit(self.limit_rng.choice(LIMITS_PER_S))
            self.world.excuse_senders()
            self.injected.append((time.monotonic(), "upstream-limited"))
            await asyncio.sleep(self.limit_rng.uniform(4.0, 12.0))
            upstream.rate.set_limit(None)
            await asyncio.sleep(self.limit_rng.uniform(0.0, 4.0))

    async def _let_services_leave(self, end_s: float) -> None:
        """Let a service say that it leaves, then start it anew."""
        while time.monotonic() < end_s:
            await asyncio.sleep(self.leave_rng.uniform(2.0, 8.0))
            service = self.leave_rng.choice(self.world.services)
            service.leaving_headers = (("Server-Leaving", "1"),)
            self.injected.append((time.monotonic(), "upstream-leaves"))
            await asyncio.sleep(self.leave_rng.uniform(3.0, 6.0))
            await self.world.restart(service, RESTART_DELAY_S)

    async def _replace_store_machines(self, end_s: float) -> None:
        """Replace bulk daemons, also all at once, beside a slow store."""
        rng = self.replace_rng
        while time.monotonic() < end_s:
            await asyncio.sleep(rng.uniform(1.0, 5.0))
            self.world.store.delay_ms = rng.choice([0, 0, 60, 200])
            bulks = [d for d in self.world.daemons if d.role == "bulk"]
            chosen = rng.sample(bulks, rng.randint(1, len(bulks)))
            by_plan = rng.random() < 0.5
            self.injected.append((time.monotonic(), "bulk-replaced"))
            await asyncio.gather(
                *(self._replace(daemon, by_plan) for daemon in chosen)
            )
            self.world.store.delay_ms = 0

    async def _replace(
        self, old: processes.DaemonProcess, by_plan: bool
    ) -> None:
        """Replace a daemon by one under another name, for good."""
        self.replaced += 1
        new = await self.world.add_daemon(f"bulk-r{self.replaced}", "bulk")
        self.world.excuse_senders()
        new.start()
        if by_plan:
            await self.world.retire(old.name)
        self.world.daemons.remove(old)
        old.send(signal.SIGTERM if by_plan else signal.SIGKILL)
        for _ in range(80):
            if not old.is_running:
                break
            await asyncio.sleep(0.1)
        old.end()
        self.world.excuse_senders()

    def _choose_daemon(self) -> processes.DaemonProcess:
        return self.rng.choice(self.world.daemons)

    def _choose_link(self) -> proxy.FaultProxy:
        return self.world.links[self.rng.choice(sorted(self.world.links))]

    async def _kill_daemon(self) -> None:
        daemon = self._choose_daemon()
        self.world.excuse_senders()
        daemon.send(signal.SIGKILL)
        await asyncio.sleep(RESTART_DELAY_S)
        daemon.start()

    async def _kill_all_daemons(self) -> None:
        self.world.excuse_senders()
        for daemon in self.world.daemons:
            daemon.send(signal.SIGKILL)
        await asyncio.sleep(RESTART_DELAY_S)
        for daemon in self.world.daemons:
            daemon.start()

    async def _terminate_daemon(self) -> None:
        daemon = self._choose_daemon()
        self.world.excuse_senders()
        daemon.send(signal.SIGTERM)
        for _ in range(80):
            if not daemon.is_running:
                break
            await asyncio.sleep(0.1)
        daemon.end()
        self.world.excuse_senders()
        daemon.start()

    async def _pause_daemon(self) -> None:
        daemon = self._choose_daemon()
        daemon.send(signal.SIGSTOP)
        await self._sleep(0.3, 3.5)
        self.world.excuse_senders()
        daemon.send(signal.SIGCONT)

    async def _reload_daemon(self) -> None:
        self._choose_daemon().send(signal.SIGHUP)

    async def _stop_store(self) -> None:
        self.world.store.is_down = True
        await self._sleep(0.5, 4.0)
        self.world.store.is_down = False

    async def _lose_write_responses(self) -> None:
        self.world.store.lost_writes = self.rng.randint(1, 5)

    async def _delay_writes(self) -> None:
        self.world.store.late_ms = self.rng.randint(100, 3_000)
        self.world.store.late_writes = self.rng.randint(1, 3)

    async def _compact_history(self) -> None:
        self.world.store.compact_history()

    async def _cut_link(self) -> None:
        self._choose_link().cut()

    async def _inject_for_a_time(self, faults: proxy.LinkFaults) -> None:
        link = self._choose_link()
        link.set_faults(faults)
        await self._sleep(0.5, 4.0)
        link.set_faults(proxy.LinkFaults())

    async def _partition_link(self) -> None:
        await self._inject_for_a_time(proxy.LinkFaults(partitioned=True))

    async def _drop_link_responses(self) -> None:
        await self._inject_for_a_time(proxy.LinkFaults(drop_answers=True))

    async def _delay_link(self) -> None:
        delay_ms = self.rng.randint(20, 300)
        await self._inject_for_a_time(proxy.LinkFaults(delay_ms=delay_ms))

    async def _refuse_connections(self) -> None:
        await self._inject_for_a_time(proxy.LinkFaults(refuse=True))

    async def _crash_upstream(self) -> None:
        upstream = self.rng.choice([*self.world.engines, *self.world.services])
        await self.world.restart(upstream, self.rng.uniform(0.3, 3.0))

    async def _truncate_outputs(self) -> None:
        for engine in self.world.engines:
            engine.breaks_after = self.rng.randint(0, 20)

    async def _fail_requests(self) -> None:
        upstream = self.rng.choice([*self.world.engines, *self.world.services])
        upstream.failing = self.rng.randint(1, 2)
