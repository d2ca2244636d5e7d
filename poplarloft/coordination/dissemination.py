"""Dissemination of gossip updates, piggybacked on protocol messages.

Each message carries a few updates, the newest first, and each update is
sent a bounded number of times. Lost updates are repaired by digests that
instances compare at intervals: a hash per bucket shows where two instances
differ, and only the updates of those buckets are sent.
"""

from collections import abc
import dataclasses
import math

import xxhash

from poplarloft import state

__all__ = ["DisseminationSettings", "UpdateStore"]


@dataclasses.dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """Limits of the dissemination.

    Parameters
    ----------
    per_message : int
        Maximum number of updates piggybacked on one message.
    repeat_factor : float
        An update is sent this many times the logarithm of the fleet's
        size.
    buckets : int
        Number of hashes in a digest.
    per_repair : int
        Maximum number of updates in one reply to a digest.
    """

    per_message: int = 4
    repeat_factor: float = 3.0
    buckets: int = 64
    per_repair: int = 64


@dataclasses.dataclass(slots=True)
class _Entry:
    update: state.GossipUpdate
    send_count: int = 0


class UpdateStore:
    """Gossip updates known to one instance, the newest one per key.

    Parameters
    ----------
    settings : DisseminationSettings
        Limits.
    """

    def __init__(self, settings: DisseminationSettings | None = None) -> None:
        self.settings = settings or DisseminationSettings()
        self.entries: dict[tuple[str, str], _Entry] = {}
        self.hashes = [0] * self.settings.buckets
        self.bucket_keys: list[dict[tuple[str, str], None]] = [
            {} for _ in range(self.settings.buckets)
        ]
        self.pending: dict[tuple[str, str], None] = {}

    def put(self, update: state.GossipUpdate) -> bool:
        """Store an update newer than the known one; return whether stored."""
        known = self.entries.get(update.key)
        if known is not None and known.update.order >= update.order:
            return False
        if known is not None:
            self._toggle_hash(known.update)
        self.entries[update.key] = _Entry(update)
        self._toggle_hash(update)
        self.pending.pop(update.key, None)
        self.pending[update.key] = None
        return True

    def drop(self, key: tuple[str, str]) -> None:
        """Remove the update of a key that is no longer of interest."""
        known = self.entries.pop(key, None)
        if known is None:
            return
        self._toggle_hash(known.update)
        del self.bucket_keys[_bucket(key, self.settings.buckets)][key]
        self.pending.pop(key, None)

    def get(self, key: tuple[str, str]) -> state.GossipUpdate | None:
        """Return the update stored under a key, if any."""
        known = self.entries.get(key)
        return None if known is None else known.update

    def select(self, fleet_size: int) -> list[state.GossipUpdate]:
        """Return updates for the next message, the newest first.

        Each call counts as one transmission of the returned updates.
        """
        limit = self._repeat_limit(fleet_size)
        chosen = []
        for key in list(reversed(self.pending))[: self.settings.per_message]:
            entry = self.entries[key]
            entry.send_count += 1
            chosen.append(entry.update)
            if entry.send_count >= limit:
                del self.pending[key]
        return chosen

    def digest(self) -> tuple[int, ...]:
        """Return the hash of each bucket."""
        return tuple(self.hashes)

    def differing(self, digest: tuple[int, ...]) -> list[state.GossipUpdate]:
        """Return updates of the buckets in which `digest` differs."""
        updates: list[state.GossipUpdate] = []
        for bucket, value in enumerate(digest):
            if value != self.hashes[bucket]:
                keys = self.bucket_keys[bucket]
                updates += [self.entries[key].update for key in keys]
        return updates[: self.settings.per_repair]

    def iter_topic(self, topic: str) -> abc.Iterator[state.GossipUpdate]:
        """Yield the updates whose key begins with `topic`."""
        for key, entry in self.entries.items():
            if key[0] == topic:
                yield entry.update

    def _repeat_limit(self, fleet_size: int) -> int:
        growth = math.log2(max(2, fleet_size) + 1)
        return math.ceil(self.settings.repeat_factor * growth)

    def _toggle_hash(self, update: state.GossipUpdate) -> None:
        """XOR an update into its bucket's hash, which adds or removes it."""
        bucket = _bucket(update.key, self.settings.buckets)
        text = f"{update.key}{update.order}"
        self.hashes[bucket] ^= xxhash.xxh32_intdigest(text.encode())
        self.bucket_keys[bucket][update.key] = None


def _bucket(key: tuple[str, str], buckets: int) -> int:
    return xxhash.xxh32_intdigest("/".join(key).encode(), 1) % buckets
