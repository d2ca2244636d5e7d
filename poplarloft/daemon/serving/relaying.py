"""Calls to the store through peers, for daemons that it turns away."""

import asyncio
from collections import abc
import typing

import eliot
from returns import result

from poplarloft.coordination import retries
from poplarloft.coordination import serving
from poplarloft.daemon.serving import feed_link
from poplarloft.daemon import tasks
from poplarloft.platform import store as platform_store
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.protocol import lot_records
from poplarloft.protocol import serving_messages
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import http_server

__all__ = ["CallRelay", "RelayedStore"]

LIST_MS = 20_000
FIRST_LIST_MS = 3_000  # all daemons of a fleet have started by then
RETRY_MS = 1_000
MAX_WAIT_MS = 11_000
ANSWER_MARGIN_MS = 100  # the answer must reach the daemon that waits
WAIT_HEADER = "poplarloft-wait-ms"
MAX_CALL_BYTES = 2_000_000
UNAVAILABLE = 503
UNANSWERED = 504
MS_PER_S = 1_000
FailureKind = state.StoreFailureKind
REFUSED = (FailureKind.NOT_DONE, FailureKind.NO_ANSWER)
T = typing.TypeVar("T")
Read = result.Result[T, state.StoreFailure]


class RelayedStore:
    """A store that is reached directly or through peers.

    Parameters
    ----------
    client : http_client.HttpClient
        Connections to the store and the peers.
    address : state.Address
        The store.
    choice : serving.AccessPathSelector
        Decides which way a call takes.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        address: state.Address,
        choice: serving.AccessPathSelector,
    ) -> None:
        self.client = client
        self.choice = choice
        self.direct = platform_store.PlatformStore(client, address)
        self.by_way = {serving.DIRECT: self.direct}
        self.answered = asyncio.Event()

    async def wait_until_available(self, timeout_ms: float) -> None:
        """Wait until the store answers any call, at most so long."""
        self.answered.clear()
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await self.answered.wait()
        except TimeoutError:
            pass

    @property
    def calls(self) -> int:
        """Return how many calls were made on all ways."""
        return sum(store.calls for store in self.by_way.values())

    def update_peers(self, peers: dict[str, state.Address]) -> None:
        """Take the addresses at which peers carry calls."""
        by_way = {serving.DIRECT: self.direct}
        for name, address in peers.items():
            known = self.by_way.get(name)
            if known is None or known.address != address:
                known = platform_store.PlatformStore(
                    self.client, address, wait_header=WAIT_HEADER
                )
            by_way[name] = known
        self.by_way = by_way
        self.choice.update_peers(peers)

    async def get(self, key: str) -> Read[state.Entry | None]:
        """Return the entry of `key`, or None."""
        return await self._read(lambda store: store.get(key))

    async def list_page(
        self, prefix: str, after_key: str = "", allow_stale: bool = False
    ) -> Read[state.Page]:
        """Return entries under `prefix`, those after `after_key`."""
        return await self._read(
            lambda store: store.list_page(prefix, after_key, allow_stale)
        )

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Read[state.Changes]:
        """Return changes under `prefix`, waiting until there is one."""
        return await self._read(
            lambda store: store.watch(prefix, after_revision, wait_ms),
            (FailureKind.NOT_DONE,),
        )

    async def grant_lease(self, ttl_ms: int) -> Read[int]:
        """Return a new lease."""
        return await self._read(lambda store: store.grant_lease(ttl_ms))

    async def renew_lease(self, lease: int) -> Read[int]:
        """Renew a lease; return its duration in milliseconds."""
        return await self._read(lambda store: store.renew_lease(lease))

    async def revoke_lease(self, lease: int) -> Read[int]:
        """End a lease and remove its keys."""
        return await self._read(lambda store: store.revoke_lease(lease))

    async def write(
        self,
        expected: abc.Sequence[state.Expectation],
        puts: abc.Sequence[state.Put],
        deletes: abc.Sequence[str] = (),
    ) -> state.WriteAnswer:
        """Make all changes if all expectations hold, else none.

        Only a write that was surely not done is tried on another way.
        """
        for way in self.choice.paths_to_try():
            answer = await self.by_way[way].write(expected, puts, deletes)
            match answer.status:
                case state.WriteStatus.NOT_DONE:
                    self._on_refused(way, answer.detail)
                case state.WriteStatus.UNKNOWN:
                    self._on_refused(way, answer.detail)
                    return answer
                case _:
                    self._on_answer(way)
                    return answer
        self.choice.on_all_failed()
        return answer

    async def _read(
        self,
        call: abc.Callable[
            [platform_store.PlatformStore], abc.Awaitable[Read[T]]
        ],
        elsewhere: tuple[FailureKind, ...] = REFUSED,
    ) -> Read[T]:
        """Try one way after the other while calls fail in such a way."""
        for way in self.choice.paths_to_try():
            answer = await call(self.by_way[way])
            match answer:
                case result.Failure(state.StoreFailure() as failure) if (
                    failure.kind in REFUSED
                ):
                    self._on_refused(way, failure.detail)
                    if failure.kind not in elsewhere:
                        return answer
                case _:
                    self._on_answer(way)
                    return answer
        self.choice.on_all_failed()
        return answer

    def _on_answer(self, way: str) -> None:
        self.choice.on_answer(way)
        self.answered.set()

    def _on_refused(self, way: str, detail: str) -> None:
        self.choice.on_failure(way)
        eliot.log_message(
            "store-call-refused", way=way or "direct", detail=detail[:200]
        )


class CallRelay:
    """Carries peers' calls to the store, and learns of the peers.

    Parameters
    ----------
    client : http_client.HttpClient
        Connections to the store.
    store : RelayedStore
        Keeps the addresses of all daemons.
    name : str
        This daemon.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        store: RelayedStore,
        name: str,
    ) -> None:
        self.client = client
        self.store = store
        self.name = name
        self.feed: feed_link.FeedLink | None = None
        self.members: dict[str, state.PeerRecord] = {}
        self.relayed_calls = 0
        self.server = http_server.HttpServer(
            self.handle,
            http_server.ServerLimits(),
            lambda path: MAX_CALL_BYTES,
            cancels=True,
        )

    async def start(
        self, listen: state.Address, task_set: tasks.TaskSet
    ) -> None:
        """Listen for peers, and follow who they are."""
        bound = await self.server.start(listen)
        task_set.spawn(self._follow_peers(bound))

    async def stop(self) -> None:
        """Cut the calls that are carried; their senders try others."""
        await self.server.drain(0)

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Carry one call to the store and return its answer."""
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
            _wait_ms(request) - ANSWER_MARGIN_MS,
        )
        match sent:
            case result.Success(answer):
                try:
                    body = await answer.read()
                except http_client.AnswerCut:
                    return http.HttpResponse(UNANSWERED)
                return http.HttpResponse(answer.status, (), body)
            case result.Failure(failure):
                if retries.verdict_of(failure.kind) is (state.Verdict.NOT_RUN):
                    return http.HttpResponse(UNAVAILABLE)
        return http.HttpResponse(UNANSWERED)

    async def _follow_peers(self, bound: state.Address) -> None:
        """Write our address once; list all addresses now and then."""
        feed = None if self.feed is None else self.feed.reader.address
        put = state.Put(
            lot_records.member_key(self.name),
            serving_messages.encode_member(state.PeerRecord(bound, feed)),
        )
        while True:
            answer = await self.store.write([], [put])
            if answer.status is state.WriteStatus.APPLIED:
                break
            await asyncio.sleep(RETRY_MS / MS_PER_S)
        await asyncio.sleep(FIRST_LIST_MS / MS_PER_S)
        while True:
            await self._list_peers()
            await asyncio.sleep(LIST_MS / MS_PER_S)

    async def _list_peers(self) -> None:
        entries: list[state.Entry] = []
        has_more = True
        while has_more:
            after = entries[-1].key if entries else ""
            page = await self.store.list_page(
                lot_records.MEMBERS_PREFIX, after, allow_stale=True
            )
            match page:
                case result.Success(state.Page() as found):
                    entries += found.entries
                    has_more = found.has_more and bool(found.entries)
                case _:
                    return
        self._take_peers(entries)

    def _take_peers(self, entries: list[state.Entry]) -> None:
        members = {}
        for entry in entries:
            name = entry.key.removeprefix(lot_records.MEMBERS_PREFIX)
            try:
                members[name] = serving_messages.decode_member(entry.value)
            except errors.ProtocolError as error:
                eliot.log_message(
                    "entry-unreadable",
                    key=entry.key,
                    error=str(error),
                )
        self.members = members
        if self.feed is not None:
            self.feed.update_members(members)
        self.store.update_peers(
            {
                name: member.relay
                for name, member in members.items()
                if name != self.name
            }
        )


def _wait_ms(request: http.HttpRequest) -> int:
    """Return how long the daemon that asks waits for an answer."""
    text = request.headers.get(WAIT_HEADER, "")
    return min(MAX_WAIT_MS, int(text)) if text.isdecimal() else MAX_WAIT_MS
