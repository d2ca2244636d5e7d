"""Which way a call to the store takes: directly, or through a peer."""

from collections import abc
import random

from poplarloft import state

__all__ = ["AccessPathSelector", "DIRECT"]

DIRECT = ""
REFUSED_MS = 3_000
MAX_REFUSED_MS = 60_000
AWAY_MS = 700
MAX_PEERS = 2


class AccessPathSelector:
    """Prefers the direct way; keeps off ways that failed just now.

    When all ways that were tried fail, the store itself is taken to be
    away, and for a while only the direct way is tried: each call is
    priced, also one that is refused.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    rng : random.Random
        Chooses among peers.
    """

    def __init__(self, clock: state.Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.peers: tuple[str, ...] = ()
        self.backoff_until_ms: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.working_peer = ""
        self.unavailable_until_ms = 0

    def update_peers(self, peers: abc.Iterable[str]) -> None:
        """Take the names of the peers that may carry calls."""
        self.peers = tuple(peers)

    def paths_to_try(self) -> list[str]:
        """Return the ways to try for one call, in order."""
        now_ms = self.clock.now_ms()
        if now_ms < self.unavailable_until_ms:
            return [DIRECT]
        usable = [peer for peer in self.peers if self.is_usable(peer)]
        self.rng.shuffle(usable)
        usable.sort(key=lambda peer: peer != self.working_peer)
        ways = usable[:MAX_PEERS]
        if self.is_usable(DIRECT):
            return [DIRECT, *ways]
        return [*ways, DIRECT]

    def on_answer(self, way: str) -> None:
        """Note that the store answered."""
        self.backoff_until_ms.pop(way, None)
        self.failures.pop(way, None)
        self.unavailable_until_ms = 0
        if way != DIRECT:
            self.working_peer = way

    def on_failure(self, way: str) -> None:
        """Note a call that was refused or not answered.

        A peer that goes on refusing is tried less and less; the direct
        way is not, since peers stand in for it meanwhile.
        """
        count = 0 if way == DIRECT else self.failures.get(way, 0)
        self.failures[way] = count + 1
        rest_ms = min(MAX_REFUSED_MS, REFUSED_MS * 2**count)
        self.backoff_until_ms[way] = self.clock.now_ms() + rest_ms

    def is_usable(self, way: str) -> bool:
        """Tell whether a way has not failed just now."""
        return self.backoff_until_ms.get(way, 0) <= self.clock.now_ms()

    def on_all_failed(self) -> None:
        """Note a call that failed on each way."""
        self.unavailable_until_ms = self.clock.now_ms() + AWAY_MS
