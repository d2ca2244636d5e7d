"""What a runner of lots tells its standbys, and what they keep of it."""

import asyncio
from collections import abc

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving import peer_link
from poplarloft import state

__all__ = ["StandbyLink"]

HEARTBEAT_INTERVAL_MS = 150
SUBSCRIBE_MS = 500
SUBSCRIPTION_MS = 2_000
COPIES_VALID_MS = 1_500
INFORMED = 2  # the runner and its heir may end together
PONG_MS = 500  # to another region and back, over a new connection
GENERATION_MS = 10_000  # each sends all texts again
MAX_COPIES_BYTES = 500_000
MS_PER_S = 1_000


class StandbyLink:
    """Messages of one daemon with the others of its cell.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    name, region : str
        This daemon, and where it is.
    succession : serving.FailoverDetector
        Told of beats.
    link : peer_link.PeerLink
        Messages of other daemons.
    """

    def __init__(
        self,
        clock: state.Clock,
        name: str,
        region: str,
        succession: serving.FailoverDetector,
        link: peer_link.PeerLink,
    ) -> None:
        self.clock = clock
        self.name = name
        self.region = region
        self.succession = succession
        self.link = link
        self.subscribers: dict[str, tuple[state.Subscribe, int]] = {}
        self.checkpoint_receivers: tuple[str, ...] = ()
        self.copy_plan = serving.CheckpointPlan(clock, 1, GENERATION_MS)
        self.inheritance = serving.CheckpointCollector()
        self.copied_at_ms: int | None = None
        self.other_standbys: tuple[state.Address, ...] = ()
        link.on(state.Subscribe, self._on_subscribe)
        link.on(state.Heartbeat, succession.on_heartbeat)
        link.on(state.CheckpointBatch, self._on_copies)
        link.on(state.Ping, self._on_ping)
        link.on(state.Pong, self._on_pong)
        self.pong: asyncio.Future[state.Pong] | None = None
        self.is_running = False

    @property
    def is_synced(self) -> bool:
        """Tell whether the runner's texts were all known just now."""
        at_ms = self.copied_at_ms
        if at_ms is None:
            return False
        return self.succession.heard_at_ms - at_ms < COPIES_VALID_MS

    async def subscribe(self, runner: state.LeaderRecord) -> None:
        """Ask a runner for beats until cancelled."""
        message = state.Subscribe(self.name, self.link.address, self.region)
        try:
            while True:
                self.link.send(runner.address, message)
                # Their connections are open when they are needed.
                self._ping()
                await asyncio.sleep(SUBSCRIBE_MS / MS_PER_S)
        finally:
            self.link.forget(runner.address)

    async def send_heartbeats(
        self,
        fence: abc.Callable[[], int],
        open_texts: abc.Callable[[], abc.Iterable[serving.ItemOutput]],
    ) -> None:
        """Send beats to all standbys, and copies to one, until cancelled."""
        self.subscribers.clear()
        self.checkpoint_receivers = ()
        self.is_running = True
        try:
            await self._beat_on(fence, open_texts)
        finally:
            self.is_running = False

    async def _beat_on(
        self,
        fence: abc.Callable[[], int],
        open_texts: abc.Callable[[], abc.Iterable[serving.ItemOutput]],
    ) -> None:
        while True:
            self._forget_subscribers()
            self._choose_informed()
            heir = (
                self.checkpoint_receivers[0]
                if self.checkpoint_receivers
                else ""
            )
            addresses = [row.address for row, _ in self.subscribers.values()]
            # Those that the runner before knew must hear of this one.
            for address in addresses or self.other_standbys:
                self.link.send(address, state.Heartbeat(fence(), heir))
            self._send_copies(fence(), open_texts, tuple(addresses))
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / MS_PER_S)

    async def may_start_early(self) -> bool:
        """Tell whether another standby answers, and doesn't run the lots."""
        self.pong = asyncio.get_running_loop().create_future()
        self._ping()
        try:
            async with asyncio.timeout(PONG_MS / MS_PER_S):
                pong = await self.pong
        except TimeoutError:
            return False
        return not pong.is_running

    def _ping(self) -> None:
        for address in self.other_standbys:
            self.link.send(address, state.Ping(self.link.address))

    def _send_copies(
        self,
        fence: int,
        open_texts: abc.Callable[[], abc.Iterable[serving.ItemOutput]],
        standbys: tuple[state.Address, ...],
    ) -> None:
        is_first = self.copy_plan.begin_generation_if_due()
        pieces = self.copy_plan.pieces(open_texts())
        for number, some in enumerate(_split(pieces)):
            message = state.CheckpointBatch(
                fence, is_first and not number, some, standbys
            )
            for name in self.checkpoint_receivers:
                self.link.send(self.subscribers[name][0].address, message)

    def _choose_informed(self) -> None:
        """Choose who gets copies: the heir, of this region if possible."""
        usual = sorted(
            self.subscribers,
            key=lambda name: (
                self.subscribers[name][0].region != self.region,
                name,
            ),
        )
        kept = [
            name
            for name in self.checkpoint_receivers
            if name in self.subscribers
        ]
        added = [name for name in usual if name not in kept]
        informed = tuple((kept + added)[:INFORMED])
        if informed != self.checkpoint_receivers:
            self.checkpoint_receivers = informed
            self.copy_plan.restart_generation()

    def _forget_subscribers(self) -> None:
        oldest_ms = self.clock.now_ms() - SUBSCRIPTION_MS
        for name, (row, seen_ms) in list(self.subscribers.items()):
            if seen_ms < oldest_ms:
                del self.subscribers[name]
                self.link.forget(row.address)

    def _on_subscribe(self, message: state.Subscribe) -> None:
        self.subscribers[message.name] = (message, self.clock.now_ms())

    def _on_ping(self, message: state.Ping) -> None:
        self.link.send(message.address, state.Pong(self.name, self.is_running))

    def _on_pong(self, message: state.Pong) -> None:
        if self.pong is not None and not self.pong.done():
            self.pong.set_result(message)

    def _on_copies(self, message: state.CheckpointBatch) -> None:
        if message.is_first:
            if self.copied_at_ms is None:
                eliot.log_message("heir", fence=message.fence)
            self.inheritance = serving.CheckpointCollector()
            self.copied_at_ms = self.clock.now_ms()
        elif self.copied_at_ms is not None:
            self.copied_at_ms = self.clock.now_ms()
        for piece in message.pieces:
            self.inheritance.add(piece)
        self.other_standbys = tuple(
            address
            for address in message.standbys
            if address != self.link.address
        )


def _split(
    pieces: abc.Iterable[state.OutputCheckpoint],
) -> abc.Iterator[tuple[state.OutputCheckpoint, ...]]:
    """Yield pieces in messages of a bounded size, at least one message."""
    some: list[state.OutputCheckpoint] = []
    size = 0
    for piece in pieces:
        some.append(piece)
        size += sum(len(event) for event in piece.events)
        if size > MAX_COPIES_BYTES:
            yield tuple(some)
            some, size = [], 0
    yield tuple(some)
