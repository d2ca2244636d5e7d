"""Heartbeats and checkpoints that a leader sends to its standbys."""

import asyncio
from collections import abc

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft import state

__all__ = ["StandbyLink"]

HEARTBEAT_INTERVAL_MS = 150
SUBSCRIBE_INTERVAL_MS = 500
SUBSCRIPTION_TTL_MS = 2_000
MAX_CHECKPOINT_LAG_MS = 1_500
MAX_RECEIVERS = 2  # the leader and its preferred standby may fail together
PONG_TIMEOUT_MS = 500  # a round trip to another region, over a new connection
CYCLE_INTERVAL_MS = 10_000  # each cycle sends all outputs in full
MS_PER_S = 1_000


class StandbyLink:
    """Exchanges messages between the daemons of a cell that may lead it.

    Standbys subscribe to the leader, which sends heartbeats to all of them
    and checkpoints of its outputs to `MAX_RECEIVERS` of them. The first
    of these is the preferred standby.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    name, region : str
        This daemon, and its region.
    failover : serving.FailoverDetector
        Receives the heartbeats.
    link : peer_link.PeerLink
        Connections to the other daemons.
    members : callable
        Return all daemons by name, empty until they are known.
    """

    def __init__(
        self,
        clock: state.Clock,
        name: str,
        region: str,
        failover: serving.FailoverDetector,
        link: peer_link.PeerLink,
        members: abc.Callable[[], abc.Mapping[str, state.PeerRecord]],
    ) -> None:
        self.members = members
        self.leader: state.LeaderRecord | None = None
        self.clock = clock
        self.name = name
        self.region = region
        self.failover = failover
        self.link = link
        self.subscribers: dict[str, tuple[state.Subscribe, int]] = {}
        self.receivers: tuple[str, ...] = ()
        self.connecting: set[str] = set()
        self.checkpoint_plan = serving.CheckpointPlan(
            clock, 1, CYCLE_INTERVAL_MS
        )
        self.checkpoints = serving.CheckpointCollector()
        self.checkpointed_at_ms: int | None = None
        self.other_standbys: tuple[state.Address, ...] = ()
        link.on(state.Subscribe, self._on_subscribe)
        link.on(state.Heartbeat, failover.on_heartbeat)
        link.on(state.CheckpointBatch, self._on_checkpoints)
        link.on(state.Ping, self._on_ping)
        link.on(state.Pong, self._on_pong)
        self.pong: asyncio.Future[state.Pong] | None = None
        self.is_leading = False

    @property
    def is_synced(self) -> bool:
        """Whether the checkpoints here are about as recent as heartbeats.

        They may be older than the last heartbeat of the leader by up to
        `MAX_CHECKPOINT_LAG_MS`.
        """
        at_ms = self.checkpointed_at_ms
        if at_ms is None:
            return False
        return self.failover.silent_since_ms - at_ms < MAX_CHECKPOINT_LAG_MS

    async def subscribe(self, leader: state.LeaderRecord) -> None:
        """Renew a subscription to the leader until cancelled."""
        message = state.Subscribe(self.name, self.link.address, self.region)
        self.leader = leader
        try:
            while True:
                self.link.send(leader.address, message)
                # Keeps the connections to the other standbys open, so that
                # nobody waits for them once the leader is silent.
                self.ask_others()
                await asyncio.sleep(SUBSCRIBE_INTERVAL_MS / MS_PER_S)
        finally:
            self.link.disconnect(leader.address)

    async def send_heartbeats(
        self,
        fence: abc.Callable[[], int],
        outputs: abc.Callable[[], abc.Iterable[serving.ItemOutput]],
    ) -> None:
        """Send heartbeats and checkpoints to the standbys until cancelled.

        Parameters
        ----------
        fence : callable
            Returns the fencing token.
        outputs : callable
            Returns the outputs of which standbys need checkpoints.
        """
        self.subscribers.clear()
        self.receivers = ()
        self.connecting.clear()
        self.is_leading = True
        try:
            await self._run_heartbeats(fence, outputs)
        finally:
            self.is_leading = False

    async def _run_heartbeats(
        self,
        fence: abc.Callable[[], int],
        outputs: abc.Callable[[], abc.Iterable[serving.ItemOutput]],
    ) -> None:
        while True:
            self._expire_subscriptions()
            self._choose_receivers()
            preferred = self.receivers[0] if self.receivers else ""
            addresses = [row.address for row, _ in self.subscribers.values()]
            # Until standbys have subscribed, heartbeats go to those that the
            # previous leader listed, so that they do not take over.
            witnesses = serving.rank_witnesses(self.name, self.members())
            for address in (*(addresses or self.other_standbys), *witnesses):
                self.link.send(address, state.Heartbeat(fence(), preferred))
            self._send_checkpoints(fence(), outputs, tuple(addresses))
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / MS_PER_S)

    async def may_start_early(self) -> bool:
        """Return whether another standby answers and does not lead itself.

        Without an answer this daemon may be cut off from all others.
        """
        self.pong = asyncio.get_running_loop().create_future()
        self.ask_others()
        try:
            async with asyncio.timeout(PONG_TIMEOUT_MS / MS_PER_S):
                pong = await self.pong
        except TimeoutError:
            return False
        return not pong.is_running

    def ask_others(self) -> None:
        """Ask others how long ago they heard from the leader."""
        others = self._others()
        self.failover.has_others = bool(others)
        for address in others:
            self.link.send(address, state.Ping(self.link.address))

    def _others(self) -> set[state.Address]:
        """Return the other standbys and the leader's witnesses."""
        members = self.members()
        others = {
            row.peers
            for row in members.values()
            if row.issues_permits and row.peers is not None
        }
        others |= {*self.other_standbys}
        if self.leader is not None:
            others |= {*serving.rank_witnesses(self.leader.name, members)}
            others.discard(self.leader.address)
        return others - {self.link.address}

    def _send_checkpoints(
        self,
        fence: int,
        outputs: abc.Callable[[], abc.Iterable[serving.ItemOutput]],
        standbys: tuple[state.Address, ...],
    ) -> None:
        self._connect_receivers(fence, standbys)
        is_first = self.checkpoint_plan.begin_cycle_if_due()
        increments = self.checkpoint_plan.next_increments(outputs())
        for number, batch in enumerate(serving.split_increments(increments)):
            message = state.CheckpointBatch(
                fence, is_first and not number, batch, standbys
            )
            for name in self.receivers:
                address = self.subscribers[name][0].address
                self.link.send(address, message, is_bulk=True)

    def _connect_receivers(
        self, fence: int, standbys: tuple[state.Address, ...]
    ) -> None:
        """Start a new cycle once a new receiver can be reached.

        Messages on a connection that is not established yet are dropped.
        """
        empty = state.CheckpointBatch(fence, False, (), standbys)
        for name in list(self.connecting):
            address = self.subscribers[name][0].address
            if self.link.send(address, empty, is_bulk=True):
                self.connecting.discard(name)
                self.checkpoint_plan.restart_cycle()

    def _choose_receivers(self) -> None:
        """Choose the standbys that get checkpoints, preferably of this region.

        Earlier receivers are kept. A new one needs a new cycle, since it has
        none of the outputs yet, once it is connected.
        """
        by_preference = sorted(
            self.subscribers,
            key=lambda name: (
                self.subscribers[name][0].region != self.region,
                name,
            ),
        )
        kept = [name for name in self.receivers if name in self.subscribers]
        added = [name for name in by_preference if name not in kept]
        chosen = tuple((kept + added)[:MAX_RECEIVERS])
        if chosen != self.receivers:
            self.receivers = chosen
            self.connecting.update(added)
        self.connecting.intersection_update(chosen)

    def _expire_subscriptions(self) -> None:
        oldest_ms = self.clock.now_ms() - SUBSCRIPTION_TTL_MS
        for name, (row, seen_ms) in list(self.subscribers.items()):
            if seen_ms < oldest_ms:
                del self.subscribers[name]
                self.link.disconnect(row.address)

    def _on_subscribe(self, message: state.Subscribe) -> None:
        self.subscribers[message.name] = (message, self.clock.now_ms())

    def _on_ping(self, message: state.Ping) -> None:
        silent_ms = 0 if self.is_leading else self.failover.silent_ms
        pong = state.Pong(self.name, self.is_leading, silent_ms)
        self.link.send(message.address, pong)

    def _on_pong(self, message: state.Pong) -> None:
        self.failover.on_report(message.name, message.silent_ms)
        if self.pong is not None and not self.pong.done():
            self.pong.set_result(message)

    def _on_checkpoints(self, message: state.CheckpointBatch) -> None:
        if message.is_first:
            if self.checkpointed_at_ms is None:
                eliot.log_message("heir", fence=message.fence)
            self.checkpoints = serving.CheckpointCollector()
            self.checkpointed_at_ms = self.clock.now_ms()
        elif self.checkpointed_at_ms is not None:
            self.checkpointed_at_ms = self.clock.now_ms()
        for increment in message.pieces:
            self.checkpoints.add(increment)
        self.other_standbys = tuple(
            address
            for address in message.standbys
            if address != self.link.address
        )
