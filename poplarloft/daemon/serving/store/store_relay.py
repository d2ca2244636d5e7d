"""Relays store calls through peers for daemons whose own calls fail."""

import asyncio
from collections import abc
import typing

import eliot
from returns import result

from poplarloft.coordination import retries
from poplarloft.coordination import serving
from poplarloft.daemon.serving.store import path_watches
from poplarloft.platform import sealing
from poplarloft.platform import store as platform_store
from poplarloft.protocol import http
from poplarloft.protocol import numbers
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import http_server

__all__ = ["CallRelay", "RelayedStore"]

MAX_WAIT_MS = 11_000
RESPONSE_MARGIN_MS = 100  # the response must reach the waiting peer in time
WAIT_HEADER = "poplarloft-wait-ms"
MAX_CALL_BYTES = 2_000_000
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
MS_PER_S = 1_000
FailureKind = state.StoreFailureKind
PATH_FAILURES = (FailureKind.NOT_DONE, FailureKind.NO_ANSWER)
T = typing.TypeVar("T")
Read = result.Result[T, state.StoreFailure]


class RelayedStore:
    """A store that is reached directly or through a peer.

    Parameters
    ----------
    client : http_client.HttpClient
        Connections to the store and to peers.
    address : state.Address
        Address of the store.
    path_selector : serving.AccessPathSelector
        Chooses the access paths of each call.

    Attributes
    ----------
    on_reached : callable
        Told the name of each peer that has relayed a call.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        address: state.Address,
        path_selector: serving.AccessPathSelector,
    ) -> None:
        self.client = client
        self.path_selector = path_selector
        self.direct = platform_store.PlatformStore(client, address)
        self.stores_by_path = {serving.DIRECT: self.direct}
        self.watches = path_watches.PathWatches()
        self.answered = asyncio.Event()
        self.on_reached: abc.Callable[[str], None] = lambda peer: None

    async def wait_until_available(self, timeout_ms: float) -> None:
        """Wait until the store answers any call, at most `timeout_ms`."""
        self.answered.clear()
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await self.answered.wait()
        except TimeoutError:
            pass

    @property
    def calls(self) -> int:
        """Number of calls made over the current access paths."""
        return sum(store.calls for store in self.stores_by_path.values())

    def update_peers(self, peers: dict[str, state.Address]) -> None:
        """Set the addresses at which peers relay calls."""
        stores_by_path = {serving.DIRECT: self.direct}
        for name, address in peers.items():
            store = self.stores_by_path.get(name)
            if store is None or store.address != address:
                store = platform_store.PlatformStore(
                    self.client, address, timeout_header=WAIT_HEADER
                )
            stores_by_path[name] = store
        self.stores_by_path = stores_by_path
        self.path_selector.update_peers(peers)

    async def get(self, key: str) -> Read[state.Entry | None]:
        """Return the entry of `key`, or None."""
        return await self._read(
            lambda path: self.stores_by_path[path].get(key)
        )

    async def list_page(
        self, prefix: str, after_key: str = "", allow_stale: bool = False
    ) -> Read[state.Page]:
        """Return a page of entries under `prefix`, after `after_key`."""
        return await self._read(
            lambda path: self.stores_by_path[path].list_page(
                prefix, after_key, allow_stale
            )
        )

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Read[state.Changes]:
        """Return changes under `prefix`, waiting until there is one."""
        return await self._read(
            lambda path: self.watches.wait(
                path,
                self.stores_by_path[path].watch(
                    prefix, after_revision, wait_ms
                ),
            ),
            (FailureKind.NOT_DONE,),
        )

    async def grant_lease(self, ttl_ms: int) -> Read[int]:
        """Grant a lease; return its id."""
        return await self._read(
            lambda path: self.stores_by_path[path].grant_lease(ttl_ms)
        )

    async def renew_lease(self, lease: int) -> Read[int]:
        """Renew a lease; return its duration in milliseconds."""
        return await self._read(
            lambda path: self.stores_by_path[path].renew_lease(lease)
        )

    async def revoke_lease(self, lease: int) -> Read[int]:
        """Revoke a lease, which removes its keys."""
        return await self._read(
            lambda path: self.stores_by_path[path].revoke_lease(lease)
        )

    async def write(
        self,
        expected: abc.Sequence[state.Expectation],
        puts: abc.Sequence[state.Put],
        deletes: abc.Sequence[str] = (),
    ) -> state.WriteAnswer:
        """Apply all changes if all expectations hold, otherwise none.

        Only a write known not to be done is retried over another path.
        """
        for path in self.path_selector.paths_to_try():
            answer = await self.stores_by_path[path].write(
                expected, puts, deletes
            )
            match answer.status:
                case state.WriteStatus.NOT_DONE:
                    self._on_path_failure(path, answer.detail)
                case state.WriteStatus.UNKNOWN:
                    self._on_path_failure(path, answer.detail)
                    self._on_no_answer(path)
                    return answer
                case _:
                    self._on_path_success(path)
                    return answer
        self.path_selector.on_all_failed()
        return answer

    async def _read(
        self,
        call: abc.Callable[[str], abc.Awaitable[Read[T]]],
        retry_kinds: tuple[FailureKind, ...] = PATH_FAILURES,
    ) -> Read[T]:
        """Try the access paths in order, until a call need not be retried.

        A call is retried over the next path if it failed with one of
        `retry_kinds`.
        """
        for path in self.path_selector.paths_to_try():
            answer = await call(path)
            match answer:
                case result.Failure(state.StoreFailure() as failure) if (
                    failure.kind in PATH_FAILURES
                ):
                    self._on_path_failure(path, failure.detail)
                    if failure.kind is FailureKind.NO_ANSWER:
                        self._on_no_answer(path)
                    if failure.kind not in retry_kinds:
                        return answer
                case _:
                    self._on_path_success(path)
                    return answer
        self.path_selector.on_all_failed()
        return answer

    def _on_path_success(self, path: str) -> None:
        self.path_selector.on_answer(path)
        self.answered.set()
        if path != serving.DIRECT:
            self.on_reached(path)

    def _on_no_answer(self, path: str) -> None:
        self.path_selector.on_no_answer(path)
        if self.path_selector.is_silent(path):
            self.watches.end(path)

    def _on_path_failure(self, path: str, detail: str) -> None:
        """Record and log a call that was refused or not answered."""
        self.path_selector.on_failure(path)
        eliot.log_message(
            "store-call-refused", way=path or "direct", detail=detail[:200]
        )


class CallRelay:
    """Relays peers' calls to the store.

    Parameters
    ----------
    client : http_client.HttpClient
        Connections to the store.
    store : RelayedStore
        The store.
    limits : http_server.ServerLimits
        Limits on the peers.

    Attributes
    ----------
    relayed_calls : int
        Number of calls that peers have made.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        store: RelayedStore,
        limits: http_server.ServerLimits,
    ) -> None:
        self.client = client
        self.store = store
        self.relayed_calls = 0
        self.server = http_server.HttpServer(
            self.handle,
            limits,
            lambda path: MAX_CALL_BYTES,
            cancel_on_disconnect=True,
        )

    async def start(self, listen: state.Address) -> state.Address:
        """Start listening for peers; return the address."""
        return await self.server.start(listen)

    async def stop(self) -> None:
        """Abort the calls in flight; their senders use other paths."""
        await self.server.drain(0)

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Relay one call to the store and return its response.

        Without a complete response, status 503 tells the calling peer that
        the call was not executed, and 504 that it may have been.
        """
        self.relayed_calls += 1
        target = request.path
        if request.query:
            target = f"{target}?{request.query}"
        sent = await self.client.send(
            self.store.direct.address,
            request.method,
            target,
            (("content-type", "application/json"),),
            request.body,
            _wait_ms(request) - RESPONSE_MARGIN_MS,
        )
        match sent:
            case result.Success(response):
                try:
                    body = await response.read(platform_store.MAX_ANSWER_BYTES)
                except http_client.TruncatedResponseError:
                    return http.HttpResponse(GATEWAY_TIMEOUT)
                body = sealing.sealed_answer(target, body)
                return http.HttpResponse(response.status, (), body)
            case result.Failure(failure):
                if retries.verdict_of(failure.kind) is (state.Verdict.NOT_RUN):
                    return http.HttpResponse(SERVICE_UNAVAILABLE)
        return http.HttpResponse(GATEWAY_TIMEOUT)


def _wait_ms(request: http.HttpRequest) -> int:
    """Return how long the calling peer waits for the response."""
    wait_ms = numbers.parse_count(request.headers.get(WAIT_HEADER, ""))
    return MAX_WAIT_MS if wait_ms is None else min(MAX_WAIT_MS, wait_ms)
