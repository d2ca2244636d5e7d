"""Base of the stand-ins: HTTP server, faults, JSON bodies."""

import asyncio
import dataclasses
import random
import typing

import msgspec

from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_server

__all__ = ["ResponseLost", "Faults", "StandIn", "decode", "json_response"]

MAX_BODY_BYTES = 16_777_216
MS_PER_S = 1_000
Decoded = typing.TypeVar("Decoded")


class ResponseLost(ConnectionError):
    """Closes a connection after the effect, without a response."""


@dataclasses.dataclass
class Faults:
    """Faults of a stand-in, which can change while it runs.

    Parameters
    ----------
    outage : bool
        Refuse each request with status 503, without effect.
    slow_ms : int
        Wait this long before each effect.
    lose_answers : float
        Probability that a response is lost after its effect.
    """

    outage: bool = False
    slow_ms: int = 0
    lose_answers: float = 0.0


class StandIn:
    """Base class of the stand-ins that serve HTTP.

    Parameters
    ----------
    rng : random.Random or None
        Draws which responses are lost; None seeds a new one with 0.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random(0)
        self.faults = Faults()
        self.server: http_server.HttpServer | None = None
        self.address = state.Address("127.0.0.1", 0)

    async def start(self, address: state.Address | None = None) -> None:
        """Listen on `address`, or on a free port of the loopback interface."""
        self.server = http_server.HttpServer(
            self.handle_with_faults,
            http_server.ServerLimits(
                max_head_bytes=65_536, idle_timeout_ms=600_000
            ),
            lambda path: MAX_BODY_BYTES,
        )
        self.address = await self.server.start(address or self.address)

    async def stop(self) -> None:
        """Stop at once, cutting all connections."""
        if self.server is not None:
            await self.server.drain(0)

    async def handle_with_faults(
        self, request: http.HttpRequest
    ) -> http.HttpResponse:
        """Respond to a request under the current faults.

        A request to ``/control/faults`` replaces the faults.
        """
        if request.path == "/control/faults":
            self.faults = msgspec.json.decode(request.body, type=Faults)
            return http.json_response(200, self.faults)
        if self.faults.outage:
            return http.HttpResponse(503)
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / MS_PER_S)
        response = await self.handle(request)
        if self.rng.random() < self.faults.lose_answers:
            raise ResponseLost(request.path)
        return response

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Return the response to one request; subclasses implement it."""
        raise NotImplementedError


def json_response(value: object) -> http.HttpResponse:
    """Return a response with status 200 and a JSON body."""
    return http.json_response(200, value)


def decode(data: bytes, expected_type: type[Decoded]) -> Decoded:
    """Return the JSON value in `data` as an instance of `expected_type`."""
    return msgspec.json.decode(data, type=expected_type)
