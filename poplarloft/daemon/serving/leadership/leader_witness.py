"""Tells standbys how long ago this instance heard from the leader."""

from poplarloft.daemon.serving.fleet import peer_link
from poplarloft import state

__all__ = ["LeaderWitness"]


class LeaderWitness:
    """Gets the leader's heartbeats on an instance that never leads.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    name : str
        Name of this instance.
    peers : peer_link.PeerLink
        Messages from and to other instances.
    """

    def __init__(
        self, clock: state.Clock, name: str, peers: peer_link.PeerLink
    ) -> None:
        self.clock = clock
        self.name = name
        self.peers = peers
        self.heard_at_ms: int | None = None
        peers.on(state.Heartbeat, self._on_heartbeat)
        peers.on(state.Ping, self._on_ping)

    def _on_heartbeat(self, heartbeat: state.Heartbeat) -> None:
        self.heard_at_ms = self.clock.now_ms()

    def _on_ping(self, ping: state.Ping) -> None:
        silent_ms = None
        if self.heard_at_ms is not None:
            silent_ms = self.clock.now_ms() - self.heard_at_ms
        self.peers.send(ping.address, state.Pong(self.name, False, silent_ms))
