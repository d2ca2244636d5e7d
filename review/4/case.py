"""Streams of two software versions are taken up after store machines ended."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

PREFIX = "/lohu930/"
SERVICE = "modelo-pool"
STREAMS = 24
EVENTS = 100
EVENT_MS = 100.0
AGE_S = 8.0  # at which the channels of the first machine are reset


class Stream:
    """A client's stream, and what it has got of it."""

    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.events = []
        self.first_id = None
        self.channel = None

    async def attempt(self, number, port):
        """Read the stream over a new channel; return the status."""
        request_id = f"{self.name}-{number}"
        headers = [
            ("Host", harness.HOST),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", "12000"),
            ("X-Model", harness.MODEL),
            ("X-Token-Counts", f"16,{71 * EVENTS}"),
            ("X-Prompt-Prefix", f"9c2e41:300,{self.name}:16"),
        ]
        if self.events:
            headers.append(("Last-Event-Id", str(len(self.events))))
            headers.append(("Resumes", self.first_id))
        self.channel = harness.Channel(port)
        status = 0
        try:
            await self.channel.open()
            target = f"{PREFIX}{self.name}"
            await self.channel.send("POST", target, headers, b"prompt")
            status, _ = await self.channel.head()
            if status == 200:
                await self._read(request_id)
        except (OSError, EOFError):
            pass
        finally:
            self.channel.reset()
        self.record.write(
            "attempt", request_id, "status", status, "events",
            len(self.events),
        )  # fmt: skip
        return status

    async def _read(self, request_id):
        buffer = b""
        async for piece in harness.read_chunks(self.channel.reader):
            *blocks, buffer = (buffer + piece).split(b"\n\n")
            for block in blocks:
                self.first_id = self.first_id or request_id
                self.events.append(block.decode())


async def take_up(record, streams, port):
    """Take streams up at an entry; return how many go on."""
    counts = [len(stream.events) for stream in streams]
    await asyncio.gather(*(stream.attempt(2, port) for stream in streams))
    return sum(
        len(stream.events) > count
        for stream, count in zip(streams, counts, strict=True)
    )


async def main(world):
    """Begin streams, kill the store machines' processes, cut the streams."""
    record = world.record
    for number in range(4):
        sampler = world.sampler(
            f"i-{number}",
            SERVICE,
            models={harness.MODEL: 1},
            software=f"v{1 + number % 2}",
            slots=30,
            events=EVENTS,
            event_ms=EVENT_MS,
        )
        await sampler.boot_up()
    more = {"resumable": True, "sticky": True}
    routes = [harness.route("streams", PREFIX, "stream", SERVICE, **more)]
    await world.configure(1, routes, [harness.pool(SERVICE, 30)])
    first = world.daemon("front-norte-a-1", "entry")
    second = world.daemon("front-norte-a-2", "entry")
    stores = [world.daemon(f"store-norte-a-{n}", "bulk") for n in (1, 2, 3)]
    for daemon in world.daemons:
        daemon.start()
    await world.wait_ready()
    await world.wait_leader()
    # The daemons list each other 3 s after their start.
    await asyncio.sleep(harness.STABLE_S + 2)

    streams = [Stream(f"s{n:02d}", record) for n in range(STREAMS)]
    readers = [
        asyncio.ensure_future(stream.attempt(1, first.port))
        for stream in streams
    ]
    begun_s = harness.now()
    await asyncio.sleep(1.0)
    if harness.TROUBLE:
        for daemon in stores:
            daemon.signal(signal.SIGKILL)
        for daemon in stores:
            await daemon.ended()
        await asyncio.sleep(0.5)
        for daemon in stores:
            daemon.start()
    await asyncio.sleep(begun_s + AGE_S - harness.now())
    started = sum(bool(stream.events) for stream in streams)
    for stream in streams:
        stream.channel.reset()
    await asyncio.gather(*readers)
    record.write("channels of", first.name, "reset")

    fresh = [Stream(f"n{n:02d}", record) for n in range(STREAMS)]
    went_on, begin = await asyncio.gather(
        take_up(record, streams, second.port),
        take_up(record, fresh, second.port),
    )
    versions = [
        {event.split("@")[1] for event in stream.events} for stream in streams
    ]
    joined = sum(len(found) > 1 for found in versions)
    summary = (
        f"{started} streams taken up {AGE_S:.0f} s after their start: "
        f"{went_on} went on, {joined} hold two versions; "
        f"of {STREAMS} new streams {begin} began"
    )
    record.write(summary)
    print(summary)
    if started < 12 or not begin:
        return harness.NOT_RUN
    is_lost = went_on / started < 0.5 * begin / STREAMS
    return harness.BROKEN if is_lost else harness.HELD


if __name__ == "__main__":
    harness.run(main, FOLDER)
