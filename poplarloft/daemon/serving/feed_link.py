"""News of the store from other daemons, and for them."""

import asyncio
from collections import abc

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving import peer_link
from poplarloft.daemon import tasks
from poplarloft import state

__all__ = ["FeedLink"]

ASK_MS = 250
BOUND_SHARE = 0.7  # the rest is for a listing of the store itself
OWN_WAIT_SHARE = 0.7  # others may begin to ask this daemon meanwhile
HUB_WAIT_SHARE = 0.3
HUB_PAUSE_SHARE = 0.1
MS_PER_S = 1_000


class FeedLink:
    """Asks other daemons for news, and answers theirs.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    name : str
        This daemon.
    change_bound_ms : int
        Time within which a change in the store must be heeded.
    link : peer_link.PeerLink
        Messages of other daemons.
    """

    def __init__(
        self,
        clock: state.Clock,
        name: str,
        change_bound_ms: int,
        link: peer_link.PeerLink,
    ) -> None:
        self.clock = clock
        self.name = name
        self.link = link
        self.own_wait_ms = int(OWN_WAIT_SHARE * change_bound_ms)
        self.hub_wait_ms = int(HUB_WAIT_SHARE * change_bound_ms)
        self.hub_pause_ms = int(HUB_PAUSE_SHARE * change_bound_ms)
        self.reader = serving.FeedReader(
            clock, name, int(BOUND_SHARE * change_bound_ms)
        )
        link.on(state.FeedRequest, self._answer)
        link.on(state.FeedAnswer, self._on_answer)
        self.books: dict[str, serving.PrefixHistory] = {}
        self.waiting: dict[str, asyncio.Future[state.FeedPart | None]] = {}
        self.asked: dict[str, state.Address] = {}

    def start(self, task_set: tasks.TaskSet) -> None:
        """Ask other daemons from now on."""
        self.reader.address = self.link.address
        task_set.spawn(self._ask())

    def update_members(
        self, members: abc.Mapping[str, state.PeerRecord]
    ) -> None:
        """Take the daemons that may be asked."""
        self.reader.update_members(members)
        there = {hub.address for hub in self.reader.sources.values()}
        for name, address in list(self.asked.items()):
            if address not in there:
                del self.asked[name]
                self.link.forget(address)

    def set_single_source(self, runner: state.LeaderRecord | None) -> None:
        """Ask the daemon that runs the lots; none if that is this one."""
        self.reader.set_single_source(runner)
        if runner is None:
            for future in self.waiting.values():
                if not future.done():
                    future.set_result(None)

    def register(self, book: serving.PrefixHistory) -> None:
        """Ask for news under a book's prefix too, and answer from it."""
        self.books[book.prefix] = book

    async def next_part(
        self, prefix: str, timeout_ms: int
    ) -> state.FeedPart | None:
        """Return the next news under a prefix, None if none comes."""
        future: asyncio.Future[state.FeedPart | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiting[prefix] = future
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await future
        except TimeoutError:
            return None

    async def _ask(self) -> None:
        while True:
            positions = {
                prefix: book.revision for prefix, book in self.books.items()
            }
            asked = self.reader.next_request(positions)
            if asked is not None:
                self.link.send(*asked)
            await asyncio.sleep(ASK_MS / MS_PER_S)

    def _on_answer(self, answer: state.FeedAnswer) -> None:
        for part in self.reader.on_answer(answer):
            future = self.waiting.pop(part.prefix, None)
            if future is not None and not future.done():
                future.set_result(part)

    def _answer(self, request: state.FeedRequest) -> None:
        if not self.reader.is_source:
            eliot.log_message("feed-hub", asked_by=request.name)
        self.reader.on_request()
        self.asked[request.name] = request.address
        parts = tuple(
            self.books[prefix].part_after(position)
            for prefix, position in request.positions.items()
            if prefix in self.books and self.books[prefix].revision
        )
        answer = state.FeedAnswer(self.name, request.sent_at_ms, parts)
        self.link.send(request.address, answer)
