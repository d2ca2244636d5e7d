"""Stand-in for the platform's samplers: engines and plain services."""

import asyncio
from collections import abc
import dataclasses
import time
import typing

import msgspec

from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_server
from standins import rate_check

__all__ = ["SamplerStandin"]

MS_PER_S = 1_000
MISDIRECTED = 421


class SamplerStandin:
    """One upstream that records each request it runs.

    Parameters
    ----------
    name : str
        Identifier of the upstream.
    slots : int
        Maximum number of concurrent streams; further requests are
        refused without being run.
    event_ms : float
        Time between two events of an output.

    Attributes
    ----------
    runs : list of str
        Identifiers of the requests that started to run.
    headers : dict of str to dict
        Headers of these requests, by identifier.
    breaks_after : int or None
        Number of events after which the next output is cut off.
    resets : int
        Number of next requests that run but get no response.
    failing : int
        Number of next requests that get status 500.
    silent : bool
        Whether requests run without ever getting a response.
    unfinished_event : bytes
        If not empty, outputs consist of this without end, which completes
        no event.
    padding : str
        Text at the end of each event's data.
    work_ms : float
        Time to a response that is no output.
    crash_marker : bytes
        Requests whose body contains it crash the upstream, which starts
        again after `down_s`; empty for none.
    crashes : list of (str, float)
        The request that caused each crash, and its monotonic time in
        seconds.
    on_restart : callable
        Awaited after each restart.
    software_version : str
        Version of the upstream's software, as announced.
    names_version : bool
        Whether each event names that version at its end.
    queue : int
        Number of requests that wait while all slots are taken.
    waiting : list of asyncio.Future
        Done when it is the turn of a request that waits.
    leaving_headers : tuple of (str, str)
        Headers of all its responses that tell whether it leaves.
    leaving_since : float or None
        Monotonic time in seconds of the first response with them.
    checks_fence : bool
        Whether orders with an older fencing token are refused.
    order_times : list of float
        Monotonic time at which each order was accepted, in seconds.
    rate : rate_check.RateCheck
        The limit that responses to requests name, and whether it is kept.
    limit_headers : tuple of (str, str)
        Headers that are sent instead of those of `rate`, if not empty.
    """

    def __init__(
        self, name: str, slots: int = 4, event_ms: float = 1.0
    ) -> None:
        self.name = name
        self.slots = slots
        self.event_ms = event_ms
        self.running = 0
        self.queue = 0
        self.waiting: list[asyncio.Future[None]] = []
        self.runs: list[str] = []
        self.run_times: list[tuple[str, float]] = []
        self.headers: dict[str, dict[str, str]] = {}
        self.born_ms = 1
        self.advertised: state.Address | None = None
        self.resumed: list[tuple[str, int]] = []
        self.versions = {"m": 1}
        self.orders: list[dict[str, object]] = []
        self.order_times: list[float] = []
        self.software_version = "v1"
        self.names_version = False
        self.leaving_headers: http.Headers = ()
        self.leaving_since: float | None = None
        self.checks_fence = True
        self.fence = 0
        self.rate = rate_check.RateCheck()
        self.limit_headers: http.Headers = ()
        self.breaks_after: int | None = None
        self.failing = 0
        self.resets = 0
        self.silent = False
        self.unfinished_event = b""
        self.padding = ""
        self.work_ms = 0.0
        self.crash_marker = b""
        self.crashes: list[tuple[str, float]] = []
        self.down_s = 1.0
        self.on_restart: abc.Callable[[], abc.Awaitable[None]] = _do_nothing
        self.restarting: asyncio.Task[None] | None = None
        self.server = self._make_server()
        self.address = state.Address("127.0.0.1", 0)

    def _make_server(self) -> http_server.HttpServer:
        return http_server.HttpServer(
            self._handle,
            http_server.ServerLimits(),
            lambda path: 1_000_000,
            cancel_on_disconnect=True,
        )

    async def start(self) -> state.Address:
        """Listen on a free port; return its address."""
        self.server = self._make_server()
        self.address = await self.server.start(self.address)
        return self.address

    async def stop(self) -> None:
        """Stop at once, cutting all connections."""
        if self.restarting is not None:
            self.restarting.cancel()
        await self.server.drain(0)

    def crash(self, request_id: str = "") -> None:
        """Cut all connections at once, and start again after `down_s`."""
        if self.restarting is None or self.restarting.done():
            self.crashes.append((request_id, time.monotonic()))
            self.restarting = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        await self.server.drain(0)
        await asyncio.sleep(self.down_s)
        self.born_ms = time.time_ns() // 1_000_000
        self.orders.clear()
        self.fence = 0
        self.running = 0
        await self.start()
        await self.on_restart()

    def announcement(self, service: str, is_leaving: bool = False) -> bytes:
        """Return the entry that the upstream writes to the store."""
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]
        return msgspec.json.encode(
            {
                "service": service,
                "address": str(self.advertised or self.address),
                "zone": "z",
                "version": self.software_version,
                "slots": self.slots,
                "state": "draining" if is_leaving else "ready",
                "cold_left_ms": 0,
                "born": self.born_ms,
                "models": models,
                "sequence": len(self.orders),
            }
        )

    async def _handle(self, request: http.HttpRequest) -> http.HttpResponse:
        response = await self._respond(request)
        if not self.leaving_headers or response.status == MISDIRECTED:
            return response
        self.leaving_since = self.leaving_since or time.monotonic()
        headers = (*response.headers, *self.leaving_headers)
        return dataclasses.replace(response, headers=headers)

    async def _respond(self, request: http.HttpRequest) -> http.HttpResponse:
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            return http.HttpResponse(
                MISDIRECTED, (("X-Instance-Id", self.name),)
            )
        if request.path == "/poplarloft/report":
            return self._report()
        if request.path == "/poplarloft/order":
            return self._order(msgspec.json.decode(request.body))
        self.rate.on_request(request.headers.get("x-request-id", ""))
        limit = self.limit_headers or self.rate.headers()
        if not await self._has_slot():
            return http.HttpResponse(503, (("X-Not-Run", "1"), *limit))
        response = await self._run(request)
        return dataclasses.replace(
            response, headers=(*response.headers, *limit)
        )

    async def _has_slot(self) -> bool:
        """Return whether there is a slot, after a wait in the queue."""
        if self.running < self.slots:
            return True
        if len(self.waiting) >= self.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        finally:
            if turn in self.waiting:
                self.waiting.remove(turn)
        return True

    async def _run(self, request: http.HttpRequest) -> http.HttpResponse:
        request_id = request.headers.get("x-request-id", "")
        self.runs.append(request_id)
        self.run_times.append((request_id, time.monotonic()))
        self.headers[request_id] = request.headers
        if self.crash_marker and self.crash_marker in request.body:
            self.crash(request_id)
            await asyncio.Event().wait()
        if self.silent:
            await asyncio.Event().wait()
        if self.resets > 0:
            self.resets -= 1
            raise ConnectionResetError("response lost on demand")
        if self.failing > 0:
            self.failing -= 1
            return http.HttpResponse(500, (("X-Request-Id", request_id),))
        headers = (
            ("X-Request-Id", request_id),
            ("X-Server-Stamp", f"{self.name}.{request_id}"),
        )
        counts = request.headers.get("x-token-counts")
        if counts is None:
            await asyncio.sleep(self.work_ms / MS_PER_S)
            body = b"answer to " + request.body
            return http.HttpResponse(200, headers, body)
        count = int(counts.split(",")[1]) // 71
        last_event_id = int(request.headers.get("last-event-id", "0"))
        if last_event_id:
            self.resumed.append((request_id, last_event_id))
        version = str(self.versions[request.headers["x-model"]])
        return http.HttpResponse(
            200,
            (
                *headers,
                ("X-Weight-Versions", version),
                ("Content-Type", "text/event-stream"),
            ),
            self._events(request_id, last_event_id, count),
        )

    async def _events(
        self, request_id: str, last_event_id: int, count: int
    ) -> abc.AsyncIterator[bytes]:
        self.running += 1
        breaks_after, self.breaks_after = self.breaks_after, None
        try:
            while self.unfinished_event:
                await asyncio.sleep(self.event_ms / MS_PER_S)
                yield self.unfinished_event
            for number in range(last_event_id + 1, count + 1):
                if (
                    breaks_after is not None
                    and number > last_event_id + breaks_after
                ):
                    raise ConnectionResetError("output cut off on demand")
                await asyncio.sleep(self.event_ms / MS_PER_S)
                data = f"{request_id}-{number}{self.padding}"
                if self.names_version:
                    data = f"{data}@{self.software_version}"
                yield f"id: {number}\ndata: {data}\n\n".encode()
        finally:
            self.running -= 1
            self._call_next()

    def _call_next(self) -> None:
        """Give the slot that has become free to who has waited longest."""
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return

    def _report(self) -> http.HttpResponse:
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]
        return _json(
            {
                "stage": "prefill_decode",
                "models": models,
                "busy": False,
                "sequence": len(self.orders),
                "born": self.born_ms,
                "num_waiting": len(self.waiting),
                "num_running": self.running,
            }
        )

    def _order(self, order: dict[str, typing.Any]) -> http.HttpResponse:
        if self.checks_fence and order["fence"] < self.fence:
            return http.HttpResponse(412)
        if order.get("expected", len(self.orders)) != len(self.orders):
            return http.HttpResponse(409)
        self.fence = order["fence"]
        self.orders.append(order)
        self.order_times.append(time.monotonic())
        self.versions[order["model"]] = order["version"]
        return http.HttpResponse(202)


async def _do_nothing() -> None:
    pass


def _json(body: object) -> http.HttpResponse:
    headers = (("content-type", "application/json"),)
    return http.HttpResponse(200, headers, msgspec.json.encode(body))
