"""Stand-in of the platform's metadata store, with faults on demand."""

import asyncio
import base64
import dataclasses
import typing
from urllib import parse

import msgspec

from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_server

__all__ = ["RevisionStoreStandin"]

MS_PER_S = 1_000
PAGE_ENTRIES = 50


@dataclasses.dataclass(slots=True)
class _Entry:
    value: str
    revision: int
    created: int
    lease: int


class RevisionStoreStandin:
    """A linearizable store in memory behind HTTP.

    Attributes
    ----------
    is_down : bool
        Each call gets 503.
    drops_watch_events : bool
        Watches hear of no change.
    lost_writes : int
        So many of the next writes are done without an answer.
    late_writes : int
        So many of the next writes get no answer and are done after
        `late_ms`, if their conditions hold then.
    """

    def __init__(self) -> None:
        self.entries: dict[str, _Entry] = {}
        self.log: list[tuple[int, str, _Entry | None]] = []
        self.revision = 1
        self.oldest = 0
        self.leases: dict[int, asyncio.TimerHandle] = {}
        self.lease_ms: dict[int, int] = {}
        self.changed = asyncio.Condition()
        self.is_down = False
        self.drops_watch_events = False
        self.lost_writes = 0
        self.late_writes = 0
        self.late_ms = 300
        self.calls = 0
        self.server = self._make_server(self._handle)
        self.refusing_server = self._make_server(self._refuse)

    async def start(self) -> state.Address:
        """Listen on a free port; return it."""
        self.refusing_address = await self.refusing_server.start(
            state.Address("127.0.0.1", 0)
        )
        return await self.server.start(state.Address("127.0.0.1", 0))

    async def stop(self) -> None:
        """Stop at once."""
        for handle in self.leases.values():
            handle.cancel()
        await self.server.drain(0)
        await self.refusing_server.drain(0)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the operator or a sampler would."""
        encoded = base64.b64encode(value).decode()
        return await self._apply([(key, encoded, lease)], [])

    async def remove(self, key: str) -> int:
        """Remove a key."""
        return await self._apply([], [key])

    def compact_history(self) -> None:
        """Drop the history; watches from before get 410."""
        self.oldest = self.revision
        self.log.clear()

    def _make_server(
        self, handler: http_server.Handler
    ) -> http_server.HttpServer:
        return http_server.HttpServer(
            handler, http_server.ServerLimits(), lambda path: 4_000_000
        )

    async def _refuse(self, request: http.HttpRequest) -> http.HttpResponse:
        return http.HttpResponse(503)

    async def _handle(self, request: http.HttpRequest) -> http.HttpResponse:
        self.calls += 1
        if self.is_down:
            return http.HttpResponse(503)
        name = request.path.removeprefix("/poplarloft/")
        query = dict(parse.parse_qsl(request.query))
        call, _, rest = name.partition("/")
        match call:
            case "kv-key":
                return self._get(query["key"])
            case "kv-range":
                return self._range(query["prefix"], query.get("after", ""))
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return await self._write(request.body)
            case "kv-lease":
                body = msgspec.json.decode(request.body)
                return self._grant(body["ttl_ms"])
            case "kv-keep":
                return self._keep(int(rest))
            case "kv-lease-end":
                await self._end_lease(int(rest))
                return _json({})
        return http.HttpResponse(404)

    def _get(self, key: str) -> http.HttpResponse:
        entry = self.entries.get(key)
        if entry is None:
            return http.HttpResponse(404)
        return _json({**_row(key, entry), "current_rev": self.revision})

    def _range(self, prefix: str, after: str) -> http.HttpResponse:
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(prefix) and key > after
        )
        page = keys[:PAGE_ENTRIES]
        return _json(
            {
                "items": [_row(key, self.entries[key]) for key in page],
                "has_more": len(keys) > len(page),
                "current_rev": self.revision,
            }
        )

    async def _watch(self, query: dict[str, str]) -> http.HttpResponse:
        prefix, after = query["prefix"], int(query["after"])
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / MS_PER_S):
                async with self.changed:
                    await self.changed.wait_for(
                        lambda: (
                            after < self.oldest or self._since(prefix, after)
                        )
                    )
        except TimeoutError:
            pass
        if after < self.oldest:
            return http.HttpResponse(410)
        events = self._since(prefix, after)
        return _json({"events": events, "current_rev": self.revision})

    def _since(self, prefix: str, after: int) -> list[dict[str, object]]:
        if self.drops_watch_events:
            return []
        found: list[dict[str, object]] = []
        for revision, key, entry in self.log:
            if revision <= after or not key.startswith(prefix):
                continue
            if entry is None:
                found.append(
                    {"key": key, "revision": revision, "removed": True}
                )
            else:
                found.append(_row(key, entry))
        return found

    async def _write(self, body: bytes) -> http.HttpResponse:
        call = msgspec.json.decode(body)
        if self.late_writes > 0:
            self.late_writes -= 1
            await asyncio.sleep(self.late_ms / MS_PER_S)
            await self._write_now(call)
            raise ConnectionResetError("the answer is lost")
        answer = await self._write_now(call)
        if self.lost_writes > 0:
            self.lost_writes -= 1
            raise ConnectionResetError("the answer is lost")
        return answer

    async def _write_now(
        self, call: dict[str, typing.Any]
    ) -> http.HttpResponse:
        for row in call["expected"]:
            entry = self.entries.get(row["key"])
            if (entry.revision if entry else 0) != row["revision"]:
                return self._conflict(call["expected"])
        puts = [
            (row["key"], row["value"], row.get("lease", 0))
            for row in call["puts"]
        ]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return http.HttpResponse(404)
        revision = await self._apply(puts, call["deletes"])
        return _json({"revision": revision})

    def _conflict(self, rows: list[dict[str, str]]) -> http.HttpResponse:
        held = [
            _row(row["key"], self.entries[row["key"]])
            for row in rows
            if row["key"] in self.entries
        ]
        return _json({"items": held}, 412)

    async def _apply(
        self, puts: list[tuple[str, str, int]], deletes: list[str]
    ) -> int:
        self.revision += 1
        for key, value, lease in puts:
            before = self.entries.get(key)
            created = before.created if before else self.revision
            entry = _Entry(value, self.revision, created, lease)
            self.entries[key] = entry
            self.log.append((self.revision, key, entry))
        for key in deletes:
            if self.entries.pop(key, None) is not None:
                self.log.append((self.revision, key, None))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    def _grant(self, ttl_ms: int) -> http.HttpResponse:
        lease = self.revision * 1_000 + len(self.lease_ms) + 1
        self.lease_ms[lease] = ttl_ms
        self._schedule(lease)
        return _json({"lease": lease, "ttl_ms": ttl_ms})

    def _keep(self, lease: int) -> http.HttpResponse:
        handle = self.leases.get(lease)
        if handle is None:
            return http.HttpResponse(404)
        handle.cancel()
        self._schedule(lease)
        return _json({"ttl_ms": self.lease_ms[lease]})

    def _schedule(self, lease: int) -> None:
        loop = asyncio.get_running_loop()
        self.leases[lease] = loop.call_later(
            self.lease_ms[lease] / MS_PER_S,
            lambda: loop.create_task(self._end_lease(lease)),
        )

    async def _end_lease(self, lease: int) -> None:
        handle = self.leases.pop(lease, None)
        if handle is None:
            return
        handle.cancel()
        keys = [k for k, e in self.entries.items() if e.lease == lease]
        if keys:
            await self._apply([], keys)


def _row(key: str, entry: _Entry) -> dict[str, object]:
    return {
        "key": key,
        "value": entry.value,
        "revision": entry.revision,
        "create_rev": entry.created,
        "lease": entry.lease,
    }


def _json(body: object, status: int = 200) -> http.HttpResponse:
    headers = (("content-type", "application/json"),)
    return http.HttpResponse(status, headers, msgspec.json.encode(body))
