"""Random faults in series that overlap, drawn from a seed."""

import asyncio
from collections import abc
import random
import signal
import time

from poplarloft_soak import processes
from poplarloft_soak import world as worlds
from standins import proxy

__all__ = ["FaultPlan"]

SERIES = 2
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 1.5
RESTART_S = 0.4
Fault = abc.Callable[[], abc.Awaitable[None]]


class FaultPlan:
    """Draws and carries out faults until it is stopped.

    Parameters
    ----------
    world : worlds.World
        What the faults act on.
    seed : int
        Seed of all draws.
    """

    def __init__(self, world: worlds.World, seed: int) -> None:
        self.world = world
        self.rng = random.Random(seed)
        self.injected: list[tuple[float, str]] = []
        self.kinds: dict[str, Fault] = {
            "daemon-killed": self._kill_daemon,
            "daemon-stopped": self._terminate_daemon,
            "daemon-paused": self._pause_daemon,
            "daemon-reload": self._reload_daemon,
            "herd-killed": self._kill_herd,
            "store-down": self._store_down,
            "store-answers-lost": self._lose_answers,
            "store-answers-late": self._late_writes,
            "store-history-lost": self._forget_history,
            "link-cut": self._cut_link,
            "link-silent": self._silence_link,
            "link-one-way": self._one_way_link,
            "link-slow": self._slow_link,
            "link-refused": self._refuse_link,
            "upstream-crash": self._crash_upstream,
            "texts-broken": self._break_texts,
            "upstream-errors": self._fail_requests,
            "configuration": self.world.configure,
            "version-named": self.world.name_version,
        }

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, then heal everything."""
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._series(end) for _ in range(SERIES)))
        self.heal()

    def heal(self) -> None:
        """End each fault that may still hold."""
        self.world.store.is_down = False
        self.world.store.lost_writes = 0
        self.world.store.late_writes = 0
        for link in self.world.links.values():
            link.set_faults(proxy.LinkFaults())
        for daemon in self.world.daemons:
            daemon.send(signal.SIGCONT)
            daemon.start()

    async def _series(self, end: float) -> None:
        while time.monotonic() < end:
            await self._sleep(MIN_PAUSE_S, MAX_PAUSE_S)
            kind = self.rng.choice(sorted(self.kinds))
            self.injected.append((time.monotonic(), kind))
            await self.kinds[kind]()

    async def _sleep(self, least: float, most: float) -> None:
        await asyncio.sleep(self.rng.uniform(least, most))

    def _daemon(self) -> processes.DaemonProcess:
        return self.rng.choice(self.world.daemons)

    def _link(self) -> proxy.FaultProxy:
        return self.world.links[self.rng.choice(sorted(self.world.links))]

    async def _kill_daemon(self) -> None:
        daemon = self._daemon()
        daemon.send(signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        daemon.start()

    async def _kill_herd(self) -> None:
        for daemon in self.world.daemons:
            daemon.send(signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        for daemon in self.world.daemons:
            daemon.start()

    async def _terminate_daemon(self) -> None:
        daemon = self._daemon()
        daemon.send(signal.SIGTERM)
        for _ in range(80):
            if not daemon.is_running:
                break
            await asyncio.sleep(0.1)
        daemon.end()
        daemon.start()

    async def _pause_daemon(self) -> None:
        daemon = self._daemon()
        daemon.send(signal.SIGSTOP)
        await self._sleep(0.3, 3.5)
        daemon.send(signal.SIGCONT)

    async def _reload_daemon(self) -> None:
        self._daemon().send(signal.SIGHUP)

    async def _store_down(self) -> None:
        self.world.store.is_down = True
        await self._sleep(0.5, 4.0)
        self.world.store.is_down = False

    async def _lose_answers(self) -> None:
        self.world.store.lost_writes = self.rng.randint(1, 5)

    async def _late_writes(self) -> None:
        self.world.store.late_ms = self.rng.randint(100, 3_000)
        self.world.store.late_writes = self.rng.randint(1, 3)

    async def _forget_history(self) -> None:
        self.world.store.compact_history()

    async def _cut_link(self) -> None:
        self._link().cut()

    async def _hold(self, faults: proxy.LinkFaults) -> None:
        link = self._link()
        link.set_faults(faults)
        await self._sleep(0.5, 4.0)
        link.set_faults(proxy.LinkFaults())

    async def _silence_link(self) -> None:
        await self._hold(proxy.LinkFaults(partitioned=True))

    async def _one_way_link(self) -> None:
        await self._hold(proxy.LinkFaults(drop_answers=True))

    async def _slow_link(self) -> None:
        delay_ms = self.rng.randint(20, 300)
        await self._hold(proxy.LinkFaults(delay_ms=delay_ms))

    async def _refuse_link(self) -> None:
        await self._hold(proxy.LinkFaults(refuse=True))

    async def _crash_upstream(self) -> None:
        upstream = self.rng.choice([*self.world.engines, *self.world.services])
        await self.world.restart(upstream, self.rng.uniform(0.3, 3.0))

    async def _break_texts(self) -> None:
        for engine in self.world.engines:
            engine.breaks_after = self.rng.randint(0, 20)

    async def _fail_requests(self) -> None:
        upstream = self.rng.choice([*self.world.engines, *self.world.services])
        upstream.failing = self.rng.randint(1, 2)
