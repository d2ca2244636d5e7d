"""Stand-in for the platform's instance list, which lags behind."""

import random

from poplarloft.protocol import http
from poplarloft.protocol import platform
from poplarloft import state
from standins import serving

__all__ = ["InstanceListServer"]


class InstanceListServer(serving.StandIn):
    """Serves the list as it was `lag_ms` ago."""

    def __init__(
        self, rng: random.Random | None = None, lag_ms: int = 500
    ) -> None:
        super().__init__(rng)
        self.clock = state.MonotonicClock()
        self.lag_ms = lag_ms
        self.current: dict[str, state.Upstream] = {}
        self.history: list[tuple[int, tuple[state.Upstream, ...]]] = []

    def put(self, upstream: state.Upstream) -> None:
        """Add or replace the entry of an upstream."""
        self.current[upstream.name] = upstream
        self._record_current()

    def remove(self, name: str) -> None:
        """Remove an entry from the list, if it is there."""
        self.current.pop(name, None)
        self._record_current()

    def publish_now(self) -> None:
        """Publish the current list without lag and drop older lists."""
        self.history = [(-self.lag_ms, tuple(self.current.values()))]

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Return the lagging list, or add or remove an entry."""
        if request.method == "POST":
            for upstream in platform.decode_instances(request.body):
                self.put(upstream)
            return serving.json_response({})
        if request.method == "DELETE":
            self.remove(request.path.rpartition("/")[2])
            return serving.json_response({})
        body = platform.encode_instances(self._lagged_list())
        return http.HttpResponse(200, (), body)

    def _record_current(self) -> None:
        now_ms = self.clock.now_ms()
        self.history.append((now_ms, tuple(self.current.values())))

    def _lagged_list(self) -> tuple[state.Upstream, ...]:
        visible_until_ms = self.clock.now_ms() - self.lag_ms
        visible = [
            entry for entry in self.history if entry[0] <= visible_until_ms
        ]
        if not visible:
            return ()
        self.history = self.history[len(visible) - 1 :]
        return visible[-1][1]
