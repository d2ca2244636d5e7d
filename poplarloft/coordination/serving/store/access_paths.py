"""Selection of the path of a store call: direct or through a peer."""

from collections import abc
import random

from poplarloft import state

__all__ = ["AccessPathSelector", "DIRECT"]

DIRECT = ""
BACKOFF_MS = 3_000
MAX_BACKOFF_MS = 60_000
UNAVAILABLE_MS = 700
MAX_PEERS = 2
SILENT_CALLS = 2  # in a row; a single answer may be lost


class AccessPathSelector:
    """Prefer the direct path, and avoid paths that failed recently.

    When all paths that were tried fail, the store itself is considered
    unavailable, and for a while only the direct path is tried, because
    each call is charged, even one that is refused.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    rng : random.Random
        Chooses among peers.
    """

    def __init__(self, clock: state.Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.peers: tuple[str, ...] = ()
        self.backoff_until_ms: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.silent_calls: dict[str, int] = {}
        self.working_peer = ""
        self.unavailable_until_ms = 0

    def update_peers(self, peers: abc.Iterable[str]) -> None:
        """Replace the names of the peers that can relay calls."""
        self.peers = tuple(peers)

    def paths_to_try(self) -> list[str]:
        """Return the paths to try for one call, in order."""
        now_ms = self.clock.now_ms()
        if now_ms < self.unavailable_until_ms:
            return [DIRECT]
        usable = [peer for peer in self.peers if self.is_usable(peer)]
        self.rng.shuffle(usable)
        usable.sort(key=lambda peer: peer != self.working_peer)
        paths = usable[:MAX_PEERS]
        if self.is_usable(DIRECT):
            return [DIRECT, *paths]
        return [*paths, DIRECT]

    def on_answer(self, path: str) -> None:
        """Record that the store answered through a path."""
        self.backoff_until_ms.pop(path, None)
        self.failures.pop(path, None)
        self.silent_calls.pop(path, None)
        self.unavailable_until_ms = 0
        if path != DIRECT:
            self.working_peer = path

    def on_failure(self, path: str) -> None:
        """Record a call that was refused or not answered.

        The backoff of a peer doubles with each failure in a row. That of
        the direct path doesn't, since peers replace it in the meantime.
        """
        count = 0 if path == DIRECT else self.failures.get(path, 0)
        self.failures[path] = count + 1
        backoff_ms = min(MAX_BACKOFF_MS, BACKOFF_MS * 2**count)
        self.backoff_until_ms[path] = self.clock.now_ms() + backoff_ms

    def on_no_answer(self, path: str) -> None:
        """Record that a call, which has failed, got no answer."""
        self.silent_calls[path] = self.silent_calls.get(path, 0) + 1

    def is_silent(self, path: str) -> bool:
        """Return whether watches should leave a path.

        A watch waits for seconds, and can't tell a path that is silent from
        one on which nothing changes; other calls can, within their timeout.
        """
        return self.silent_calls.get(path, 0) >= SILENT_CALLS

    def is_usable(self, path: str) -> bool:
        """Return whether a path is not backing off."""
        return self.backoff_until_ms.get(path, 0) <= self.clock.now_ms()

    def on_all_failed(self) -> None:
        """Record a call that failed on each path tried."""
        self.unavailable_until_ms = self.clock.now_ms() + UNAVAILABLE_MS
