"""Stand-in of the platform's lagging list of instances."""

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
        """Add or replace one entry."""
        self.current[upstream.name] = upstream
        self._remember()

    def remove(self, name: str) -> None:
        """Take an entry off the list."""
        self.current.pop(name, None)
        self._remember()

    def publish_now(self) -> None:
        """Let the current list be seen without lag."""
        self.history = [(-self.lag_ms, tuple(self.current.values()))]

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Return the list, or take an entry that registers itself."""
        if request.method == "POST":
            for upstream in platform.decode_instances(request.body):
                self.put(upstream)
            return serving.json_response({})
        if request.method == "DELETE":
            self.remove(request.path.rpartition("/")[2])
            return serving.json_response({})
        body = platform.encode_instances(self._lagging())
        return http.HttpResponse(200, (), body)

    def _remember(self) -> None:
        now_ms = self.clock.now_ms()
        self.history.append((now_ms, tuple(self.current.values())))

    def _lagging(self) -> tuple[state.Upstream, ...]:
        seen_until_ms = self.clock.now_ms() - self.lag_ms
        seen = [row for row in self.history if row[0] <= seen_until_ms]
        if not seen:
            return ()
        self.history = self.history[len(seen) - 1 :]
        return seen[-1][1]
