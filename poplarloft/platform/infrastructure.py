"""Calls to the platform's interface for metering and capacity."""

from collections import abc

import msgspec
from returns import result

from poplarloft.platform import names
from poplarloft.platform import samplers
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["InfrastructureClient"]

NO_ANSWER = 0


class InfrastructureClient:
    """Client of the interface, for calls that one holder at a time makes.

    Methods return the status of the answer, `NO_ANSWER` without one; the
    call may then still be carried out.

    Parameters
    ----------
    client : http_client.HttpClient
        Pooled connections.
    address : state.Address
        Address of the interface.
    name : str
        Name of this daemon, sent with each call.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        address: state.Address,
        name: str,
    ) -> None:
        self.client = client
        self.address = address
        self.name = name

    async def report_usage(
        self,
        window: int,
        counts: abc.Mapping[str, int],
        fence: int,
        timeout_ms: int,
    ) -> int:
        """Report the requests that each account began in a window."""
        body = {"window": window, "counts": counts}
        return await self._call(names.USAGE_PATH, body, fence, timeout_ms)

    async def order_engines(
        self, order: state.EngineOrder, fence: int, timeout_ms: int
    ) -> int:
        """Order a number of engines of a service in a data centre."""
        body: dict[str, object] = {
            "service": order.pool.service,
            "zone": order.pool.data_centre,
            "group_count": order.count,
        }
        if order.pool.is_reclaimable:
            body["spot"] = True
        return await self._call(names.SCALE_PATH, body, fence, timeout_ms)

    async def _call(
        self,
        path: str,
        body: abc.Mapping[str, object],
        fence: int,
        timeout_ms: int,
    ) -> int:
        headers = (
            ("content-type", "application/json"),
            (names.HOLDER, self.name),
            (names.FENCE, str(fence)),
        )
        sent = await self.client.send(
            self.address,
            "POST",
            path,
            headers,
            msgspec.json.encode(body),
            timeout_ms,
        )
        match sent:
            case result.Success(response):
                await samplers.discard(response)
                return response.status
        return NO_ANSWER
