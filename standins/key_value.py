"""Stand-in for the platform's key-value service."""

import asyncio
import dataclasses
import random
import urllib.parse

import msgspec

from poplarloft import coordination
from poplarloft.protocol import http
from poplarloft.protocol import platform
from poplarloft import state
from standins import serving

__all__ = ["KeyValueServer", "KeyValueTable"]

MAX_VALUE_BYTES = 1_048_576
MS_PER_S = 1_000


@dataclasses.dataclass
class _LeaseRow:
    holder: str
    fence: int
    expires_at_ms: int


class KeyValueTable:
    """In-memory table of versioned values and of leases.

    Parameters
    ----------
    clock : state.Clock
        Time by which leases expire.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.values: dict[str, state.Versioned] = {}
        self.leases: dict[str, _LeaseRow] = {}

    def get(self, key: str) -> state.Versioned:
        """Return the value of `key`; its version is 0 if the key is absent."""
        return self.values.get(key, state.Versioned())

    def compare_and_swap(
        self, key: str, value: bytes, expected_version: int
    ) -> state.WriteResult:
        """Write the value if its version is `expected_version`."""
        if self.get(key).version != expected_version:
            return state.WriteResult(state.WriteOutcome.CONFLICT)
        version = expected_version + 1
        self.values[key] = state.Versioned(value, version)
        return state.WriteResult(state.WriteOutcome.APPLIED, version)

    def lease(self, name: str, holder: str, ttl_ms: int) -> state.Lease:
        """Acquire or renew a lease; return it with its current holder.

        The fencing token grows with each change of the holder.
        """
        now_ms = self.clock.now_ms()
        row = self.leases.get(name)
        if row is None or row.expires_at_ms <= now_ms:
            is_same_holder = row is not None and row.holder == holder
            fence = (row.fence if row else 0) + (0 if is_same_holder else 1)
            row = _LeaseRow(holder, fence, now_ms + ttl_ms)
            self.leases[name] = row
        elif row.holder == holder:
            row.expires_at_ms = now_ms + ttl_ms
        return state.Lease(name, row.holder, row.fence, ttl_ms)


class KeyValueServer(serving.StandIn):
    """Serves a table over HTTP with rate limits.

    Parameters
    ----------
    rng : random.Random or None
        Draws which responses are lost.
    writes_per_s, reads_per_s : float
        Rate limits; a call above them gets status 429 and has no effect.
    """

    def __init__(
        self,
        rng: random.Random | None = None,
        writes_per_s: float = 400.0,
        reads_per_s: float = 2_000.0,
    ) -> None:
        super().__init__(rng)
        clock = state.MonotonicClock()
        self.table = KeyValueTable(clock)
        self.writes = coordination.TokenBucket(
            clock, writes_per_s, writes_per_s
        )
        self.reads = coordination.TokenBucket(clock, reads_per_s, reads_per_s)
        self.changed = asyncio.Condition()
        self.calls = 0
        self.written_bytes = 0

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Respond to a read, a write, a watch or a lease request."""
        self.calls += 1
        bucket = self.reads if request.method == "GET" else self.writes
        if not bucket.take():
            return http.HttpResponse(429)
        path = urllib.parse.unquote(request.path)
        if path.startswith("/v1/keys/"):
            key = path.removeprefix("/v1/keys/")
            if request.method == "PUT":
                return await self._write(key, request)
            return await self._read(key, request.query)
        if path.startswith("/v1/leases/"):
            return self._lease(path.removeprefix("/v1/leases/"), request)
        return http.HttpResponse(404)

    async def _read(self, key: str, query: str) -> http.HttpResponse:
        options = dict(urllib.parse.parse_qsl(query))
        if "after" in options:
            await self._await_change(
                key, int(options["after"]), int(options["wait_ms"])
            )
        if self.faults.outage:
            return http.HttpResponse(503)
        return _key_value_response(self.table.get(key))

    async def _await_change(
        self, key: str, after_version: int, wait_ms: int
    ) -> None:
        try:
            async with asyncio.timeout(wait_ms / MS_PER_S):
                async with self.changed:
                    await self.changed.wait_for(
                        lambda: self.table.get(key).version > after_version
                    )
        except TimeoutError:
            pass

    async def _write(
        self, key: str, request: http.HttpRequest
    ) -> http.HttpResponse:
        if len(request.body) > MAX_VALUE_BYTES:
            return http.HttpResponse(413)
        expected = int(request.headers["if-match"])
        write = self.table.compare_and_swap(key, request.body, expected)
        if write.outcome is state.WriteOutcome.CONFLICT:
            return http.HttpResponse(409)
        self.written_bytes += len(request.body)
        async with self.changed:
            self.changed.notify_all()
        return _key_value_response(state.Versioned(b"", write.version))

    def _lease(
        self, name: str, request: http.HttpRequest
    ) -> http.HttpResponse:
        lease_request = serving.decode(request.body, platform.LeaseRequest)
        lease = self.table.lease(
            name, lease_request.holder, lease_request.ttl_ms
        )
        lease_answer = platform.LeaseAnswer(
            holder=lease.holder, fence=lease.fence
        )
        status = 200 if lease.holder == lease_request.holder else 409
        return http.json_response(status, lease_answer)


def _key_value_response(versioned: state.Versioned) -> http.HttpResponse:
    key_value_answer = platform.KeyValueAnswer(
        value=versioned.value, version=versioned.version
    )
    return http.HttpResponse(200, (), msgspec.msgpack.encode(key_value_answer))
