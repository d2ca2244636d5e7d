"""Callers and trainers, and the records of what they received."""

import asyncio
import base64
import dataclasses
import json
import random

from returns import result

from poplarloft import state
from poplarloft.transport import http_client
from poplarloft_soak import world as worlds

__all__ = [
    "CallRecord",
    "Callers",
    "LotRecord",
    "POISON_PREFIX",
    "StreamRecord",
]

MAX_BODY_BYTES = 1_000_000
CALL_INTERVAL_S = 0.04
POISON_INTERVAL_S = 0.5
POISON_PREFIX = "poison-"
CALL_TIMEOUT_MS = 2_500
LOT_TIMEOUT_S = 60
GROUPS = 2
STREAM_EVENTS = 30
STREAM_ATTEMPTS = 6


@dataclasses.dataclass
class CallRecord:
    """One attempt of a caller; status 0 means no complete response."""

    id: str
    repeatable: bool
    status: int
    body: bytes
    stamp: str
    at_s: float


@dataclasses.dataclass
class LotRecord:
    """One lot as its trainer saw it.

    Attributes
    ----------
    items : dict of str to int
        Number of events of each item.
    statuses : list of int
        Statuses of submissions; those of failed reads are negated.
    results, reread : list of dict
        All results, read before and after the lot was ended.
    ended_at_s : float or None
        Time of the confirmed end.
    """

    id: str
    items: dict[str, int]
    min_version: int
    statuses: list[int] = dataclasses.field(default_factory=list)
    results: list[dict] = dataclasses.field(default_factory=list)
    reread: list[dict] = dataclasses.field(default_factory=list)
    ended_at_s: float | None = None

    @property
    def was_accepted(self) -> bool:
        """Whether a submission was confirmed."""
        return 202 in self.statuses


@dataclasses.dataclass
class StreamRecord:
    """One stream as its client saw it, over all its attempts.

    `first_attempt` is the identifier of the attempt that brought its first
    event, empty before that.
    """

    id: str
    events: list[str] = dataclasses.field(default_factory=list)
    first_attempt: str = ""


class Callers:
    """All clients of a world; they keep using open connections.

    Parameters
    ----------
    world : worlds.World
        The world whose entry daemons are called.
    seed : int
        Seed of the random choices.
    """

    def __init__(self, world: worlds.World, seed: int) -> None:
        self.world = world
        self.rng = random.Random(seed)
        self.client = http_client.HttpClient()
        self.calls: list[CallRecord] = []
        self.lots: list[LotRecord] = []
        self.streams: list[StreamRecord] = []
        self.is_stopping = False

    async def send_calls(self, number: int) -> None:
        """Send single requests until `is_stopping` is set."""
        count = 0
        while not self.is_stopping:
            await asyncio.sleep(CALL_INTERVAL_S)
            count += 1
            repeatable = self.rng.random() < 0.5
            path = "/p/1" if repeatable else "/once/1"
            await self._call(f"c{number}-{count}", path, repeatable)

    async def run_streams(self, number: int) -> None:
        """Begin streams, leave them and take them up elsewhere."""
        count = 0
        while not self.is_stopping:
            count += 1
            stream = StreamRecord(f"s{number}-{count}")
            self.streams.append(stream)
            for attempt in range(1, STREAM_ATTEMPTS + 1):
                if len(stream.events) < STREAM_EVENTS:
                    await self._read_stream(stream, attempt)
                    await asyncio.sleep(CALL_INTERVAL_S)

    async def _read_stream(self, stream: StreamRecord, attempt: int) -> None:
        """Read some more events of a stream."""
        attempt_id = f"{stream.id}-{attempt}"
        headers = [
            ("host", worlds.HOST),
            ("x-request-id", attempt_id),
            ("x-model", worlds.MODEL),
            ("x-token-counts", f"10,{71 * STREAM_EVENTS}"),
            ("x-deadline-ms", "2000"),
        ]
        if stream.first_attempt:
            headers.append(("last-event-id", str(len(stream.events))))
            headers.append(("resumes", stream.first_attempt))
        sent = await self.client.send(
            self.rng.choice(self.world.entries()).request_address,
            "POST",
            "/r/1",
            headers,
            stream.id.encode(),
            CALL_TIMEOUT_MS,
        )
        match sent:
            case result.Success(response):
                if response.status == 200:
                    await self._read_events(stream, attempt_id, response)
                response.close()

    async def _read_events(
        self,
        stream: StreamRecord,
        attempt_id: str,
        response: http_client.UpstreamResponse,
    ) -> None:
        most = len(stream.events) + self.rng.randint(1, STREAM_EVENTS)
        buffer = b""
        try:
            async for piece in response.chunks():
                *blocks, buffer = (buffer + piece).split(b"\n\n")
                for block in blocks:
                    stream.events.append(block.decode().rpartition(" ")[2])
                    stream.first_attempt = stream.first_attempt or attempt_id
                if len(stream.events) >= most:
                    return
        except http_client.TruncatedResponseError:
            return

    async def send_poison(self) -> None:
        """Send a request that crashes upstreams until `is_stopping`."""
        count = 0
        while not self.is_stopping:
            count += 1
            headers = (
                ("x-request-id", f"{POISON_PREFIX}{count}"),
                ("x-deadline-ms", "2000"),
            )
            await self.send("POST", "/p/1", worlds.CRASH_MARKER, headers)
            await asyncio.sleep(POISON_INTERVAL_S)

    async def run_lots(self, number: int) -> None:
        """Submit, read and end lots until `is_stopping` is set."""
        step = 0
        while not self.is_stopping:
            step += 1
            lengths = [self.rng.randint(1, 60) for _ in range(6)]
            lot = LotRecord(
                f"lot-{number}-{step}",
                {
                    f"i{number}-{step}-{n}": length
                    for n, length in enumerate(lengths)
                },
                max(1, self.world.weight_version - 1),
            )
            self.lots.append(lot)
            try:
                async with asyncio.timeout(LOT_TIMEOUT_S):
                    await self._run_lot(lot)
            except TimeoutError:
                continue

    async def _run_lot(self, lot: LotRecord) -> None:
        headers = (("x-request-id", lot.id),)
        while not lot.was_accepted:
            status, _, _ = await self.send(
                "POST", "/l/x", _lot_body(lot), headers
            )
            lot.statuses.append(status)
            await asyncio.sleep(CALL_INTERVAL_S)
        lot.results = await self.read_all(lot)
        while lot.ended_at_s is None:
            path = f"/poplarloft/lots/{lot.id}"
            status, _, _ = await self.send("DELETE", path)
            if status == 200:
                lot.ended_at_s = asyncio.get_running_loop().time()
        lot.reread = await self.read_all(lot)

    async def read_all(self, lot: LotRecord) -> list[dict]:
        """Read all results of a lot from the first one on."""
        found: list[dict] = []
        while len(found) < len(lot.items):
            status, _, body = await self.send(
                "GET",
                f"/poplarloft/lots/{lot.id}?after={len(found)}",
                headers=(("x-wait-ms", "500"),),
            )
            if status == 200:
                found += json.loads(body)["results"]
            else:
                lot.statuses.append(-status)
                await asyncio.sleep(CALL_INTERVAL_S)
        return found

    async def send(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> tuple[int, dict[str, str], bytes]:
        """Send to a random entry; status 0 without a complete response."""
        entry = self.rng.choice(self.world.entries())
        outcome = await self.client.send(
            state.Address(
                entry.request_address.host, entry.request_address.port
            ),
            method,
            target,
            (("host", worlds.HOST), *headers),
            body,
            CALL_TIMEOUT_MS,
        )
        match outcome:
            case result.Success(response):
                try:
                    return (
                        response.status,
                        response.headers,
                        await response.read(MAX_BODY_BYTES),
                    )
                except http_client.TruncatedResponseError:
                    return 0, {}, b""
        return 0, {}, b""

    async def _call(self, call_id: str, path: str, repeatable: bool) -> None:
        headers = (("x-request-id", call_id), ("x-deadline-ms", "2000"))
        at_s = asyncio.get_running_loop().time()
        status, response, body = await self.send(
            "POST", path, call_id.encode(), headers
        )
        stamp = response.get("x-server-stamp", "")
        self.calls.append(
            CallRecord(call_id, repeatable, status, body, stamp, at_s)
        )


def _lot_body(lot: LotRecord) -> bytes:
    return json.dumps(
        {
            "step": 0,
            "model": worlds.MODEL,
            "min_version": lot.min_version,
            "group_count": 1,
            "items": [
                {
                    "id": item,
                    "path": "/l/1",
                    "headers": {
                        "X-Model": worlds.MODEL,
                        "X-Token-Counts": f"10,{71 * events}",
                    },
                    "body": base64.b64encode(item.encode()).decode(),
                    "tokens": 10 + 71 * events,
                    "group": f"{lot.id}-{number % GROUPS}",
                    "scorer": {
                        "id": f"r-{item}",
                        "host": worlds.HOST,
                        "path": "/p/score",
                        "body": "",
                    },
                }
                for number, (item, events) in enumerate(lot.items.items())
            ],
        }
    ).encode()
