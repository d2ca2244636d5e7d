"""Counts the requests of accounts, and tells the leader."""

import asyncio

from poplarloft.coordination import metering
from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft import state

__all__ = ["UsageLink"]

NOTICE_INTERVAL_MS = 1_000  # what an instance that dies may not have told
MS_PER_S = 1_000


class UsageLink:
    """Counts the requests of this instance until the leader has them.

    Parameters
    ----------
    clock : state.Clock
        Unix time, the same on all instances.
    name : str
        Name of this instance.
    rules : metering.MeteringRules or None
        When windows are to be reported; None if they are not.
    peers : peer_link.PeerLink
        Messages from and to other instances.
    leader : serving.LeaderLocation
        Knows the leader.
    """

    def __init__(
        self,
        clock: state.Clock,
        name: str,
        rules: metering.MeteringRules | None,
        peers: peer_link.PeerLink,
        leader: serving.LeaderLocation,
    ) -> None:
        self.clock = clock
        self.peers = peers
        self.leader = leader
        self.counter: metering.UsageCounter | None = None
        if rules is not None:
            self.counter = metering.UsageCounter(
                clock, name, rules.window_ms, rules.kept_ms
            )
        peers.on(state.UsageReceipt, self._on_receipt)

    def on_run(self, account: str, at_ms: int) -> None:
        """Count a request that an upstream has begun at a Unix time."""
        if account and self.counter is not None:
            self.counter.count(account, at_ms)

    async def run(self) -> None:
        """Tell the leader of what is new, until cancelled."""
        while self.counter is not None:
            await asyncio.sleep(NOTICE_INTERVAL_MS / MS_PER_S)
            self.tell()

    def tell(self) -> None:
        """Tell the leader now what it does not have."""
        address = self.leader.address()
        if self.counter is None or address is None:
            return
        notice = self.counter.next_notice(
            self.peers.address, self.leader.fence
        )
        if notice is not None:
            self.peers.send_reliably(address, notice)

    def _on_receipt(self, receipt: state.UsageReceipt) -> None:
        if self.counter is not None:
            self.counter.on_receipt(receipt)
