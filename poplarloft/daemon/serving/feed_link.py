"""News of the store from other daemons, and for them."""

import asyncio
from collections import abc

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon import tasks
from poplarloft.protocol import errors
from poplarloft.protocol import feeds
from poplarloft import state
from poplarloft.transport import peers

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
    """

    def __init__(
        self, clock: state.Clock, name: str, change_bound_ms: int
    ) -> None:
        self.clock = clock
        self.name = name
        self.own_wait_ms = int(OWN_WAIT_SHARE * change_bound_ms)
        self.hub_wait_ms = int(HUB_WAIT_SHARE * change_bound_ms)
        self.hub_pause_ms = int(HUB_PAUSE_SHARE * change_bound_ms)
        self.reader = serving.FeedReader(
            clock, name, int(BOUND_SHARE * change_bound_ms)
        )
        self.sockets = peers.PeerSockets(self._on_message)
        self.books: dict[str, serving.PrefixBook] = {}
        self.waiting: dict[str, asyncio.Future[state.FeedPart]] = {}
        self.asked: dict[str, state.Address] = {}

    def start(self, listen: state.Address, task_set: tasks.TaskSet) -> None:
        """Listen for other daemons, and ask them from now on."""
        self.reader.address = self.sockets.bind(listen)
        self.sockets.start()
        task_set.spawn(self._ask())

    def close(self) -> None:
        """Close all sockets."""
        self.sockets.close()

    def see_members(self, members: abc.Mapping[str, state.PeerRecord]) -> None:
        """Take the daemons that may be asked."""
        self.reader.see_members(members)
        there = {hub.address for hub in self.reader.hubs.values()}
        for name, address in list(self.asked.items()):
            if address not in there:
                del self.asked[name]
                self.sockets.forget(address)

    def register(self, book: serving.PrefixBook) -> None:
        """Ask for news under a book's prefix too, and answer from it."""
        self.books[book.prefix] = book

    async def next_part(
        self, prefix: str, timeout_ms: int
    ) -> state.FeedPart | None:
        """Return the next news under a prefix, None if none comes."""
        future = asyncio.get_running_loop().create_future()
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
                self.sockets.send(asked[0], feeds.encode_feed(asked[1]))
            await asyncio.sleep(ASK_MS / MS_PER_S)

    def _on_message(self, data: bytes) -> None:
        try:
            message = feeds.decode_feed(data)
        except errors.FieldError as error:
            eliot.log_message("peer-message-unreadable", error=str(error))
            return
        match message:
            case state.FeedRequest():
                self._answer(message)
            case state.FeedAnswer():
                for part in self.reader.on_answer(message):
                    self._pass_on(part)

    def _answer(self, request: state.FeedRequest) -> None:
        if not self.reader.is_asked:
            eliot.log_message("feed-hub", asked_by=request.name)
        self.reader.on_asked()
        self.asked[request.name] = request.address
        parts = tuple(
            self.books[prefix].part(position)
            for prefix, position in request.positions.items()
            if prefix in self.books and self.books[prefix].revision
        )
        answer = state.FeedAnswer(self.name, request.sent_at_ms, parts)
        self.sockets.send(request.address, feeds.encode_feed(answer))

    def _pass_on(self, part: state.FeedPart) -> None:
        future = self.waiting.pop(part.prefix, None)
        if future is not None and not future.done():
            future.set_result(part)
