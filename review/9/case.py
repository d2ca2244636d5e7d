"""Store machines are added and others retired, before an ordinary day."""

import asyncio
import base64
import json
import signal
import time

import harness_2
from standins import sampler
import standins_2

ROUNDS = 9  # in each of them, each of the three store machines is replaced
OVER_S = 9  # peritos-central.toml: retire, for_s = 9.0
RECOVERY_S = 12.0  # peritos-central.toml: recovery_s
LISTED_S = 22.0  # daemons list each other each 20 s
VERSIONS = ["5.0", "6.0"]
SAMPLERS = 4  # two of each software version
ENGINES = 4
SLOTS = 8
SERVER_LIMIT = 5.0  # requests a second that each engine takes
ITEMS = 64
GROUP = 8
ITEM_EVENTS = 25
IDLE_S = 5.0  # "has been at no sampler for 5 s of steady state"
STEP_S = 12.0  # peritos-central.toml: deadline_ms = 12000
STEP = "5b1d07c9e2a84f60"
STREAMS = 24
EVENTS = 60
READ_EVENTS = 10
EVENT_MS = 40.0
PAUSE_S = 1.5  # before a client connects anew
DEADLINE_MS = 9_000


class Stream:
    """A client's stream, whose channel breaks once on the client's side."""

    def __init__(self, name, fronts):
        self.name = name
        self.fronts = fronts
        self.events = []
        self.statuses = []

    async def attempt(self, number, most):
        """Read up to `most` events of an attempt."""
        rows = [
            ("Host", harness_2.HOST),
            ("X-Request-Id", f"{self.name}a{number}"),
            ("X-Deadline-Ms", DEADLINE_MS),
            ("X-Model", "m"),
            ("X-Token-Counts", f"10,{71 * EVENTS}"),
            ("Content-Length", 6),
        ]
        if number > 1:
            rows.append(("Last-Event-Id", len(self.events)))
            rows.append(("Resumes", f"{self.name}a1"))
        front = self.fronts[number - 1]
        status = "no answer"
        try:
            async with asyncio.timeout(DEADLINE_MS / 1_000):
                status = await self._exchange(front, rows, most)
        except (OSError, EOFError, TimeoutError) as error:
            status = repr(error)
        self.statuses.append(status)

    async def _exchange(self, front, rows, most):
        head = "POST /r/1 HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in rows)
        reader, writer = await asyncio.open_connection(front.ip, front.front)
        try:
            writer.write(head.encode() + b"\r\nprompt")
            status, _ = await harness_2.read_head(reader)
            if status == 200:
                await self._read_events(reader, most)
            return status
        finally:
            writer.transport.abort()

    async def _read_events(self, reader, most):
        buffer = b""
        while most > 0:
            size = int(await reader.readuntil(b"\r\n"), 16)
            buffer += (await reader.readexactly(size + 2))[:-2]
            *blocks, buffer = buffer.split(b"\n\n")
            for block in blocks[:most]:
                self.events.append(block.decode())
            most -= len(blocks)
            if not size:
                return


async def play(record, has_trouble):
    """Play the case; return the ways in which a rule was broken."""
    store = standins_2.Store()
    address = str(await store.start())
    samplers = []
    for number in range(SAMPLERS):
        made = sampler.SamplerStandin(
            f"i-{number}", slots=32, event_ms=EVENT_MS
        )
        made.names_version = True
        made.software_version = VERSIONS[number % 2]
        await made.start()
        await store.put(f"servers/{made.name}", made.announcement("app"))
        samplers.append(made)
    route = {
        "name": "stream",
        "host": harness_2.HOST,
        "prefix": "/r/",
        "kind": "stream",
        "resumable": True,
        "timeout_ms": 10_000,
        "slo_ms": 400,
        "service": "app",
        "max_attempts": 3,
        "priority": 1,
    }
    engines = []
    for number in range(ENGINES):
        made = sampler.SamplerStandin(
            f"e-{number}", slots=SLOTS, event_ms=EVENT_MS
        )
        await made.start()
        await store.put(f"servers/{made.name}", made.announcement("pool"))
        engines.append(made)
    usual = standins_2.configuration(harness_2.HOST)
    routes = [*json.loads(usual)["routes"], route]
    await store.put(
        "op/config",
        standins_2.configuration(harness_2.HOST, routes=routes),
    )
    deployment = harness_2.Deployment(lambda daemon: address)
    try:
        await _replace_all(record, has_trouble, store, deployment)
        return [
            *await _take_up_streams(record, deployment),
            *await _run_step(record, deployment, engines),
        ]
    finally:
        deployment.end()
        for made in (*samplers, *engines):
            await made.stop()
        await store.stop()


async def _replace(record, store, deployment, old, name):
    """Add a store machine, then retire the one that it replaces."""
    new = deployment.add("bulk", name, old.zone)
    await harness_2.until(lambda: f"members/{name}" in store.entries, 10)
    request = json.dumps({"over_s": OVER_S}).encode()
    await store.put(f"op/retire/{old.name}", request)
    status = f"status/retire/{old.name}"
    await harness_2.until(
        lambda: _is_completed(store.entries.get(status)), OVER_S
    )
    old.signal(signal.SIGTERM)
    await harness_2.until(
        lambda: old.process.poll() is not None, harness_2.BOUNDS["grace_s"]
    )
    await store.remove(f"op/retire/{old.name}")
    record.add(f"{name} is added, {old.name} is retired and taken away")
    return new


def _is_completed(entry):
    if entry is None:
        return False
    return json.loads(base64.b64decode(entry.value))["state"] == "completed"


async def _replace_all(record, has_trouble, store, deployment):
    """Start the deployment, and replace its store machines for a while."""
    zones = list(harness_2.ZONES)
    stores = [deployment.add("bulk", f"store-{z}-1", z) for z in zones]
    for zone in zones:
        deployment.add("entry", f"front-{zone}-1", zone)
    await deployment.await_ready()
    await asyncio.sleep(4)
    if has_trouble:
        for number in range(2, ROUNDS + 2):
            for place, old in enumerate(stores):
                stores[place] = await _replace(
                    record,
                    store,
                    deployment,
                    old,
                    f"store-{zones[place]}-{number}",
                )
    await asyncio.sleep(max(RECOVERY_S, LISTED_S))


def _fronts(deployment):
    return [d for d in deployment.daemons if d.role == "entry"]


async def _take_up_streams(record, deployment):
    """Let streams break on the clients' side and be taken up."""
    fronts = _fronts(deployment)
    turns = [fronts[n:] + fronts[:n] for n in range(3)]
    streams = [Stream(f"stream{n:02d}", turns[n % 3]) for n in range(STREAMS)]
    await asyncio.gather(*(s.attempt(1, READ_EVENTS) for s in streams))
    begun = [s for s in streams if s.statuses[0] == 200]
    record.add(f"{len(begun)} of {STREAMS} streams have begun")
    if len(begun) < STREAMS / 2:
        raise harness_2.CannotRunError("the streams have not begun")
    await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*(s.attempt(2, EVENTS) for s in begun))
    going = [s for s in begun if s.statuses[1] == 200]
    for stream in begun:
        record.add(
            f"{stream.name} began at {stream.fronts[0].name}, was taken up "
            f"at {stream.fronts[1].name}: {stream.statuses[1]}, "
            f"{len(stream.events)} events"
        )
    record.add(f"{len(going)} of {len(begun)} streams go on")
    share_new = len(begun) / STREAMS
    share_on = len(going) / len(begun)
    if share_on >= share_new / 2:
        return []
    return [
        f"LOST: {len(going)} of {len(begun)} streams that were taken up "
        f"again go on, {len(begun)} of {STREAMS} new ones have begun"
    ]


async def _run_step(record, deployment, engines):
    """Submit a trainer's step while engines name a limit."""
    for made in engines:
        made.rate.set_limit(SERVER_LIMIT)
    loop = asyncio.get_running_loop()
    front, other = _fronts(deployment)[:2]
    body = standins_2.lot_body(harness_2.HOST, ITEMS, GROUP, ITEM_EVENTS)
    answer = await harness_2.call(
        (front.ip, front.front),
        "POST",
        "/l/5b1d07",
        body,
        [("X-Request-Id", STEP)],
    )
    if answer is None or answer.status != 202:
        raise harness_2.CannotRunError("the step was not accepted")
    until_s = loop.time() + STEP_S
    record.add(f"a step of {ITEMS} items is accepted")
    found = []
    while len(found) < ITEMS and loop.time() < until_s:
        answer = await harness_2.call(
            (other.ip, other.front),
            "GET",
            f"/poplarloft/lots/{STEP}?after={len(found)}",
            headers=[("X-Wait-Ms", 1_000)],
        )
        if answer is not None and answer.status == 200:
            found += answer.json()["results"]
        begun = {item for made in engines for item in made.runs}
        running = sum(made.running for made in engines)
        record.add(
            f"{len(begun)} items have begun, {running} run in "
            f"{ENGINES * SLOTS} slots, {len(found)} are listed"
        )
        await asyncio.sleep(0.5)
    last_s = max(at_s for made in engines for _, at_s in made.run_times)
    idle_s = time.monotonic() - last_s
    waiting = ITEMS - len({item for made in engines for item in made.runs})
    record.add(
        f"the step has {len(found)} of {ITEMS} results; {waiting} items "
        f"have been at no engine; the last one began {idle_s:.1f} s ago"
    )
    for made in engines:
        count = len(made.run_times)
        record.add(f"{made.name} got {count} requests, limit {SERVER_LIMIT}")
    # The rule asks for all of these.
    is_idle = idle_s > IDLE_S and 2 * running < ENGINES * SLOTS
    if not waiting or waiting == ITEMS or not is_idle:
        return []
    return [
        f"LOST: the step ran out of time with {waiting} of {ITEMS} items at "
        f"no sampler for {STEP_S} s"
    ]


if __name__ == "__main__":
    harness_2.run(__file__, play, 118)
