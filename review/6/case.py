"""Two clients read a large lot at a daemon that has not read it before."""

import asyncio

import harness_2
from standins import sampler
import standins_2

ITEMS = 200
EVENTS = 20
EVENT_MS = 40.0
PADDING = "x" * 1_800
SLOW = 60.0  # peritos-central.toml: platform_slow, x = 60.0
SLOW_S = 4.5  # for_s = 4.5
SLOW_AT_S = 6.2
STABLE_S = 4.0
SETTLE_S = 1.0
SECOND_AFTER_S = 0.8
LOT = "7c41e09b52d6a3f8"


class Reader:
    """A client that reads the results of the lot at one daemon."""

    def __init__(self, name, daemon, record):
        self.name = name
        self.address = daemon.ip, daemon.front
        self.record = record
        self.found = []

    async def read(self, position, wait_ms=1_000):
        """Return the results from a position on, None without an answer."""
        answer = await harness_2.call(
            self.address,
            "GET",
            f"/poplarloft/lots/{LOT}?after={position}",
            headers=[("X-Wait-Ms", wait_ms)],
            timeout_s=1.5 + wait_ms / 1_000,
        )
        status = None if answer is None else answer.status
        rows = answer.json()["results"] if status == 200 else []
        self.record.add(
            f"{self.name} read from {position}: {status}, {len(rows)} results"
        )
        return rows if status == 200 else None

    async def read_on(self, total, until_s):
        """Read about twice a second until there is nothing more."""
        loop = asyncio.get_running_loop()
        while len(self.found) < total and loop.time() < until_s:
            self.found += await self.read(len(self.found)) or []
            await asyncio.sleep(0.5)


async def play(record, has_trouble):
    """Play the case; return the ways in which a rule was broken."""
    store = standins_2.Store()
    address = str(await store.start())
    upstreams = []
    for number in range(4):
        upstream = sampler.SamplerStandin(
            f"i-{number}", slots=8, event_ms=EVENT_MS
        )
        upstream.padding = PADDING
        await upstream.start()
        service = "pool" if number < 2 else "app"
        await store.put(
            f"servers/{upstream.name}", upstream.announcement(service)
        )
        upstreams.append(upstream)
    await store.put("op/config", standins_2.configuration(harness_2.HOST))
    deployment = harness_2.Deployment(lambda daemon: address)
    try:
        return await _play(record, has_trouble, store, deployment)
    finally:
        deployment.end()
        for upstream in upstreams:
            await upstream.stop()
        await store.stop()


async def _play(record, has_trouble, store, deployment):
    deployment.add("bulk", "store-norte-a-1")
    fronts = [
        deployment.add("entry", f"front-norte-a-{n}") for n in range(1, 4)
    ]
    await deployment.await_ready()
    await asyncio.sleep(4)  # the daemons list each other
    loop = asyncio.get_running_loop()
    body = standins_2.lot_body(harness_2.HOST, ITEMS, 8, EVENTS)
    answer = await harness_2.call(
        (fronts[0].ip, fronts[0].front),
        "POST",
        "/l/7c41e0",
        body,
        [("X-Request-Id", LOT)],
    )
    if answer is None or answer.status != 202:
        raise harness_2.CannotRunError("the lot was not accepted")
    began_s = loop.time()
    record.add(f"lot of {ITEMS} items accepted")
    trainer = Reader("trainer at front 1", fronts[0], record)
    reading = loop.create_task(trainer.read_on(ITEMS, began_s + 60))
    await asyncio.sleep(SLOW_AT_S)
    if has_trouble:
        record.add(f"the store's answers take {SLOW} times as long")
        store.slowness = SLOW
    await asyncio.sleep(0.2)
    others = [
        Reader(f"client at front {n}", fronts[n - 1], record) for n in (2, 3)
    ]
    known = len(trainer.found)
    record.add(f"the trainer has read {known} results")
    first = [loop.create_task(other.read(0)) for other in others]
    await asyncio.sleep(SECOND_AFTER_S)
    second = [loop.create_task(other.read(known)) for other in others]
    await asyncio.gather(*first, *second)
    await asyncio.sleep(max(0.0, began_s + SLOW_AT_S + SLOW_S - loop.time()))
    if has_trouble:
        record.add("the store's answers take as long as before")
        store.slowness = 1.0
    await reading
    if len(trainer.found) < ITEMS:
        raise harness_2.CannotRunError("the trainer got no whole lot")
    record.add("the trainer has read all results")
    await asyncio.sleep(STABLE_S + SETTLE_S)
    await asyncio.gather(
        *(other.read_on(ITEMS, loop.time() + 8) for other in others)
    )
    broken = []
    for other in others:
        broken += _compare(trainer.found, other)
    return broken


def _compare(known, other):
    """Return how a client's results differ from those read before."""
    broken = []
    ids = [row["id"] for row in other.found]
    differing = [
        position
        for position, (before, now) in enumerate(
            zip(known, other.found, strict=False)
        )
        if before != now
    ]
    if differing:
        broken.append(
            f"TWICE: {other.name}: {len(differing)} positions, from "
            f"{differing[0]} on, hold another result than before"
        )
    if len(set(ids)) < len(ids):
        broken.append(f"TWICE: {other.name}: an item at two positions")
    if len(ids) < len(known):
        broken.append(
            f"LOST: {other.name}: nothing at positions {len(ids)} to "
            f"{len(known) - 1}, which were read before"
        )
    return broken


if __name__ == "__main__":
    harness_2.run(__file__, play)
