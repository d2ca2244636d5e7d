"""Exchanges store updates with other daemons."""

import asyncio
from collections import abc
import dataclasses

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft.daemon import tasks
from poplarloft import state

__all__ = ["FeedLink"]

REQUEST_INTERVAL_MS = 250
MAX_AGE_SHARE = 0.7  # the rest is left for a listing of the store
OWN_WAIT_SHARE = 0.7  # peers may start to rely on this daemon meanwhile
SOURCE_WAIT_SHARE = 0.3
SOURCE_PAUSE_SHARE = 0.1
MS_PER_S = 1_000


def _no_digest() -> int:
    return 0


def _ignore_digest(digest: int) -> None:
    pass


class FeedLink:
    """Requests store updates from peers, and answers their requests.

    Requests and answers carry a digest of what their sender knows of
    crashes; `digest` returns this daemon's, and `on_digest` is called with
    those of others.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    name : str
        Name of this daemon.
    max_change_delay_ms : int
        Time within which a change in the store must take effect.
    peers : peer_link.PeerLink
        Messages from and to other daemons.
    """

    def __init__(
        self,
        clock: state.Clock,
        name: str,
        max_change_delay_ms: int,
        peers: peer_link.PeerLink,
    ) -> None:
        self.clock = clock
        self.name = name
        self.peers = peers
        self.own_wait_ms = int(OWN_WAIT_SHARE * max_change_delay_ms)
        self.source_wait_ms = int(SOURCE_WAIT_SHARE * max_change_delay_ms)
        self.source_pause_ms = int(SOURCE_PAUSE_SHARE * max_change_delay_ms)
        self.reader = serving.FeedReader(
            clock, name, int(MAX_AGE_SHARE * max_change_delay_ms)
        )
        peers.on(state.FeedRequest, self._on_request)
        peers.on(state.FeedAnswer, self._on_answer)
        self.histories: dict[str, serving.PrefixHistory] = {}
        self.pending_parts: dict[
            str, asyncio.Future[state.FeedPart | None]
        ] = {}
        self.requesters: dict[str, state.Address] = {}
        self.digest: abc.Callable[[], int] = _no_digest
        self.on_digest: abc.Callable[[int], None] = _ignore_digest

    def start(self, task_set: tasks.TaskSet) -> None:
        """Start requesting updates from peers."""
        self.reader.address = self.peers.address
        task_set.supervise(self._send_requests)

    def update_members(
        self, members: abc.Mapping[str, state.PeerRecord]
    ) -> None:
        """Set the daemons that may be sources; disconnect the others."""
        self.reader.update_members(members)
        addresses = {source.address for source in self.reader.sources.values()}
        for name, address in list(self.requesters.items()):
            if address not in addresses:
                del self.requesters[name]
                self.peers.disconnect(address)

    def set_single_source(self, leader: state.LeaderRecord | None) -> None:
        """Use the leader as the only source; none if this daemon leads."""
        self.reader.set_single_source(leader)
        if leader is None:
            for future in self.pending_parts.values():
                if not future.done():
                    future.set_result(None)

    def register(self, history: serving.PrefixHistory) -> None:
        """Request updates under a history's prefix, and serve it to peers."""
        self.histories[history.prefix] = history

    async def next_part(
        self, prefix: str, timeout_ms: int
    ) -> state.FeedPart | None:
        """Return the next update under a prefix, or None on time-out."""
        future: asyncio.Future[state.FeedPart | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_parts[prefix] = future
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await future
        except TimeoutError:
            return None

    async def _send_requests(self) -> None:
        while True:
            positions = {
                prefix: history.revision
                for prefix, history in self.histories.items()
            }
            outgoing = self.reader.next_request(positions)
            if outgoing is not None:
                address, request = outgoing
                request = dataclasses.replace(request, digest=self.digest())
                self.peers.send(address, request)
            await asyncio.sleep(REQUEST_INTERVAL_MS / MS_PER_S)

    def _on_answer(self, answer: state.FeedAnswer) -> None:
        self.on_digest(answer.digest)
        for part in self.reader.on_answer(answer):
            future = self.pending_parts.pop(part.prefix, None)
            if future is not None and not future.done():
                future.set_result(part)

    def _on_request(self, request: state.FeedRequest) -> None:
        if not self.reader.is_source:
            eliot.log_message("feed-hub", asked_by=request.name)
        self.reader.on_request()
        self.on_digest(request.digest)
        self.requesters[request.name] = request.address
        parts = tuple(
            self.histories[prefix].part_after(position)
            for prefix, position in request.positions.items()
            if prefix in self.histories and self.histories[prefix].revision
        )
        answer = state.FeedAnswer(
            self.name, request.sent_at_ms, parts, self.digest()
        )
        self.peers.send(request.address, answer)
