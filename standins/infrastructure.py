"""Stand-in for the platform's interface for metering and capacity."""

import dataclasses
import time
import typing

import msgspec

from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_server

__all__ = ["CallRecord", "InfrastructureStandin"]

MAX_BODY_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """A call that was carried out."""

    path: str
    holder: str
    fence: int
    body: dict[str, typing.Any]
    at_s: float


class InfrastructureStandin:
    """Records the calls that it carries out.

    Attributes
    ----------
    calls : list of CallRecord
        The calls, in order.
    is_down : bool
        Whether each call gets status 503 without effect.
    lost_answers : int
        Number of next calls that are carried out without an answer.
    none_left : set of str
        Data centres in which no engines can be had.
    """

    def __init__(self) -> None:
        self.calls: list[CallRecord] = []
        self.is_down = False
        self.lost_answers = 0
        self.none_left: set[str] = set()
        self.server = http_server.HttpServer(
            self._handle,
            http_server.ServerLimits(),
            lambda path: MAX_BODY_BYTES,
        )

    async def start(self) -> state.Address:
        """Listen on a free port; return the address."""
        return await self.server.start(state.Address("127.0.0.1", 0))

    async def stop(self) -> None:
        """Stop at once."""
        await self.server.drain(0)

    def bodies(self, path: str) -> list[dict[str, typing.Any]]:
        """Return the bodies of the calls to a path."""
        return [call.body for call in self.calls if call.path == path]

    async def _handle(self, request: http.HttpRequest) -> http.HttpResponse:
        if self.is_down:
            return http.HttpResponse(503)
        body = msgspec.json.decode(request.body)
        if body.get("zone") in self.none_left:
            return http.HttpResponse(409)
        self.calls.append(
            CallRecord(
                request.path,
                request.headers["x-duty-holder"],
                int(request.headers["x-fence-token"]),
                body,
                time.monotonic(),
            )
        )
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise ConnectionResetError("answer lost on demand")
        return http.HttpResponse(200)
