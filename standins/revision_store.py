"""Stand-in for the platform's metadata store, with injected faults."""

import asyncio
import base64
import collections
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
PAGE_BYTES = 1_000_000
MAX_ENCODED_BYTES = 1_398_104  # 1 MiB in Base64


@dataclasses.dataclass(slots=True)
class _Entry:
    value: str
    revision: int
    created: int
    lease: int


class RevisionStoreStandin:
    """A linearizable in-memory store served over HTTP.

    Attributes
    ----------
    is_down : bool
        Whether each call gets status 503.
    drops_watch_events : bool
        Whether watches report no change.
    lost_writes : int
        Number of next writes that are applied but get no response.
    late_writes : int
        Number of next writes that get no response and are applied after
        `late_ms`, if their conditions hold then.
    calls_by_kind : collections.Counter
        Number of calls by the last part of their path.
    too_large : int
        Number of writes that were refused as a value was over 1 MiB.
    delay_ms : int
        Time that each call takes.
    refusing_address : state.Address
        A second address, which answers each call with status 503.
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
        self.delay_ms = 0
        self.calls = 0
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.too_large = 0
        self.server = self._make_server(self._handle)
        self.refusing_server = self._make_server(self._refuse)

    async def start(self) -> state.Address:
        """Listen on a free port; return its address."""
        self.refusing_address = await self.refusing_server.start(
            state.Address("127.0.0.1", 0)
        )
        return await self.server.start(state.Address("127.0.0.1", 0))

    async def stop(self) -> None:
        """Stop at once, cutting all connections."""
        for handle in self.leases.values():
            handle.cancel()
        await self.server.drain(0)
        await self.refusing_server.drain(0)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as an operator or a sampler does."""
        encoded = base64.b64encode(value).decode()
        return await self._apply([(key, encoded, lease)], [])

    async def remove(self, key: str) -> int:
        """Remove a key."""
        return await self._apply([], [key])

    def compact_history(self) -> None:
        """Drop the history; watches from an older revision get status 410."""
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
        await asyncio.sleep(self.delay_ms / MS_PER_S)
        name = request.path.removeprefix("/poplarloft/")
        query = dict(parse.parse_qsl(request.query))
        call, _, rest = name.partition("/")
        self.calls_by_kind[call] += 1
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
                return self._grant_lease(body["ttl_ms"])
            case "kv-keep":
                return self._renew_lease(int(rest))
            case "kv-lease-end":
                await self._revoke_lease(int(rest))
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
        page = self._page(keys)
        return _json(
            {
                "items": [_row(key, self.entries[key]) for key in page],
                "has_more": len(keys) > len(page),
                "current_rev": self.revision,
            }
        )

    def _page(self, keys: list[str]) -> list[str]:
        """Return the keys of the first page, at least one."""
        page: list[str] = []
        page_bytes = 0
        for key in keys[:PAGE_ENTRIES]:
            page_bytes += len(self.entries[key].value)
            if page and page_bytes > PAGE_BYTES:
                break
            page.append(key)
        return page

    async def _watch(self, query: dict[str, str]) -> http.HttpResponse:
        prefix, after = query["prefix"], int(query["after"])
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / MS_PER_S):
                async with self.changed:
                    await self.changed.wait_for(
                        lambda: (
                            after < self.oldest
                            or self._events_since(prefix, after)
                        )
                    )
        except TimeoutError:
            pass
        if after < self.oldest:
            return http.HttpResponse(410)
        events = self._events_since(prefix, after)
        return _json({"events": events, "current_rev": self.revision})

    def _events_since(
        self, prefix: str, after: int
    ) -> list[dict[str, object]]:
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
            await self._apply_transaction(call)
            raise ConnectionResetError("response lost on demand")
        response = await self._apply_transaction(call)
        if self.lost_writes > 0:
            self.lost_writes -= 1
            raise ConnectionResetError("response lost on demand")
        return response

    async def _apply_transaction(
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
        if any(len(value) > MAX_ENCODED_BYTES for _, value, _ in puts):
            self.too_large += 1
            return http.HttpResponse(413)
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return http.HttpResponse(404)
        revision = await self._apply(puts, call["deletes"])
        return _json({"revision": revision})

    def _conflict(self, rows: list[dict[str, str]]) -> http.HttpResponse:
        current = [
            _row(row["key"], self.entries[row["key"]])
            for row in rows
            if row["key"] in self.entries
        ]
        return _json({"items": current}, 412)

    async def _apply(
        self, puts: list[tuple[str, str, int]], deletes: list[str]
    ) -> int:
        self.revision += 1
        for key, value, lease in puts:
            previous = self.entries.get(key)
            created = previous.created if previous else self.revision
            entry = _Entry(value, self.revision, created, lease)
            self.entries[key] = entry
            self.log.append((self.revision, key, entry))
        for key in deletes:
            if self.entries.pop(key, None) is not None:
                self.log.append((self.revision, key, None))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    def _grant_lease(self, ttl_ms: int) -> http.HttpResponse:
        lease = self.revision * 1_000 + len(self.lease_ms) + 1
        self.lease_ms[lease] = ttl_ms
        self._schedule_expiry(lease)
        return _json({"lease": lease, "ttl_ms": ttl_ms})

    def _renew_lease(self, lease: int) -> http.HttpResponse:
        handle = self.leases.get(lease)
        if handle is None:
            return http.HttpResponse(404)
        handle.cancel()
        self._schedule_expiry(lease)
        return _json({"ttl_ms": self.lease_ms[lease]})

    def _schedule_expiry(self, lease: int) -> None:
        loop = asyncio.get_running_loop()
        self.leases[lease] = loop.call_later(
            self.lease_ms[lease] / MS_PER_S,
            lambda: loop.create_task(self._revoke_lease(lease)),
        )

    async def _revoke_lease(self, lease: int) -> None:
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
