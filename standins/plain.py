"""Stand-in for a plain service that counts executions by key."""

import asyncio
import collections
import random

from poplarloft.protocol import http
from poplarloft import state
from standins import serving

__all__ = ["PlainServer"]

MS_PER_S = 1_000


class PlainServer(serving.StandIn):
    """Runs each request and echoes its body.

    Executions are counted by the header ``x-request-key`` or, without
    it, by the body.
    """

    def __init__(
        self,
        upstream: state.Upstream,
        rng: random.Random | None = None,
        work_ms: float = 2.0,
    ) -> None:
        super().__init__(rng)
        self.upstream = upstream
        self.work_ms = work_ms
        self.runs: collections.Counter[str] = collections.Counter()
        self.leaving = False
        self.last_start_ms = 0
        self.clock = state.MonotonicClock()

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Count and execute one request; refuse it unexecuted when leaving."""
        if request.path == "/control/runs":
            return serving.json_response(dict(self.runs))
        if self.leaving:
            headers = (
                (http.NOT_EXECUTED_HEADER, "true"),
                (http.LEAVING_HEADER, "true"),
            )
            return http.HttpResponse(503, headers)
        key = request.headers.get("x-request-key") or request.body.decode()
        self.runs[key] += 1
        self.last_start_ms = self.clock.now_ms()
        await asyncio.sleep(self.work_ms / MS_PER_S)
        return serving.json_response(
            {"ran": key, "echo": request.body.decode("utf-8", "replace")}
        )
