"""Client of the platform's key-value service."""

from collections import abc
import typing
import urllib.parse

import msgspec
from returns import result

from poplarloft.protocol import platform
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["HttpKeyValueStore"]

WATCH_WAIT_MS = 25_000
OK = 200
MAX_ANSWER_BYTES = 16_777_216
CONFLICT = 409


class HttpKeyValueStore:
    """`state.KeyValueStore` over HTTP.

    Parameters
    ----------
    client : http_client.HttpClient
        Client with the connections to the service.
    address : state.Address
        Address of the service.
    timeout_ms : int
        Timeout of each call; a watch adds its own wait.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        address: state.Address,
        timeout_ms: int = 1_000,
    ) -> None:
        self.client = client
        self.address = address
        self.timeout_ms = timeout_ms
        self.calls = 0

    async def get(
        self, key: str
    ) -> result.Result[state.Versioned, state.Refusal]:
        """Return the value and version of `key`."""
        return await self._read(_target(key), self.timeout_ms)

    async def compare_and_swap(
        self, key: str, value: bytes, expected_version: int
    ) -> state.WriteResult:
        """Write `value` if `key` is still at `expected_version`."""
        self.calls += 1
        sent = await self.client.send(
            self.address,
            "PUT",
            _target(key),
            [("if-match", str(expected_version))],
            value,
            self.timeout_ms,
        )
        match sent:
            case result.Success(response):
                return await _write_result(response)
        return state.WriteResult(state.WriteOutcome.UNKNOWN)

    async def lease(
        self, name: str, holder: str, ttl_ms: int
    ) -> result.Result[state.Lease, state.Refusal]:
        """Acquire or renew the lease `name`; a conflict names its holder."""
        self.calls += 1
        request = platform.LeaseRequest(holder=holder, ttl_ms=ttl_ms)
        sent = await self.client.send(
            self.address,
            "POST",
            f"/v1/leases/{urllib.parse.quote(name)}",
            body=msgspec.json.encode(request),
            timeout_ms=self.timeout_ms,
        )
        match sent:
            case result.Success(response):
                return await _lease(response, name, holder, ttl_ms)
            case result.Failure(failure):
                return _unavailable(failure.detail)
        raise AssertionError(sent)

    async def watch(
        self, key: str, after_version: int
    ) -> abc.AsyncIterator[state.Versioned]:
        """Yield each newer value of `key`; stop when a call fails."""
        while True:
            query = f"?after={after_version}&wait_ms={WATCH_WAIT_MS}"
            found = await self._read(
                _target(key) + query, WATCH_WAIT_MS + self.timeout_ms
            )
            match found:
                case result.Success(versioned):
                    if versioned.version > after_version:
                        after_version = versioned.version
                        yield versioned
                case _:
                    return

    async def _read(
        self, target: str, timeout_ms: int
    ) -> result.Result[state.Versioned, state.Refusal]:
        self.calls += 1
        sent = await self.client.send(
            self.address, "GET", target, timeout_ms=timeout_ms
        )
        match sent:
            case result.Success(response):
                return await _versioned(response)
            case result.Failure(failure):
                return _unavailable(failure.detail)
        raise AssertionError(sent)


async def _versioned(
    response: http_client.UpstreamResponse,
) -> result.Result[state.Versioned, state.Refusal]:
    try:
        body = await response.read(MAX_ANSWER_BYTES)
        if response.status != OK:
            return _unavailable(f"status {response.status}")
        return result.Success(platform.decode_key_value(body))
    except (OSError, msgspec.MsgspecError) as error:
        return _unavailable(str(error))


async def _write_result(
    response: http_client.UpstreamResponse,
) -> state.WriteResult:
    unknown = state.WriteResult(state.WriteOutcome.UNKNOWN)
    try:
        body = await response.read(MAX_ANSWER_BYTES)
        if response.status == CONFLICT:
            return state.WriteResult(state.WriteOutcome.CONFLICT)
        if response.status != OK:
            return unknown
        version = platform.decode_key_value(body).version
    except (OSError, msgspec.MsgspecError):
        return unknown
    return state.WriteResult(state.WriteOutcome.APPLIED, version)


async def _lease(
    response: http_client.UpstreamResponse, name: str, holder: str, ttl_ms: int
) -> result.Result[state.Lease, state.Refusal]:
    try:
        body = await response.read(MAX_ANSWER_BYTES)
        if response.status not in (OK, CONFLICT):
            return _unavailable(f"status {response.status}")
        lease = platform.decode_lease(body)
    except (OSError, msgspec.MsgspecError) as error:
        return _unavailable(str(error))
    if response.status == CONFLICT:
        return result.Failure(
            state.Refusal(
                state.Reason.CONFLICT, state.Verdict.NOT_RUN, lease.holder
            )
        )
    return result.Success(state.Lease(name, holder, lease.fence, ttl_ms))


def _target(key: str) -> str:
    return f"/v1/keys/{urllib.parse.quote(key)}"


def _unavailable(
    detail: str,
) -> result.Result[typing.Any, state.Refusal]:
    return result.Failure(
        state.Refusal(
            state.Reason.NOT_READY,
            state.Verdict.MAY_HAVE_RUN,
            f"key-value service: {detail}",
        )
    )
