"""Spreads rumours: a few with each message, the newest first.

A rumour is passed on a bounded number of times. Digests, compared now and
then, mend what was lost: a hash for each of a few buckets shows where two
instances differ, and only those buckets are sent.
"""

from collections import abc
import dataclasses
import math

import xxhash

from poplarloft import state

__all__ = ["DisseminationSettings", "UpdateStore"]


@dataclasses.dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """Bounds of the gossip.

    Parameters
    ----------
    per_message : int
        Rumours on one message at most.
    repeat_factor : float
        Times the logarithm of the fleet's size that a rumour is sent.
    buckets : int
        Hashes in a digest.
    per_repair : int
        Rumours in one answer to a digest at most.
    """

    per_message: int = 4
    repeat_factor: float = 3.0
    buckets: int = 64
    per_repair: int = 64


@dataclasses.dataclass(slots=True)
class _Held:
    rumour: state.GossipUpdate
    sent: int = 0


class UpdateStore:
    """The rumours that one instance holds.

    Parameters
    ----------
    settings : DisseminationSettings
        Bounds.
    """

    def __init__(self, settings: DisseminationSettings | None = None) -> None:
        self.settings = settings or DisseminationSettings()
        self.held: dict[tuple[str, str], _Held] = {}
        self.hashes = [0] * self.settings.buckets
        self.bucket_keys: list[dict[tuple[str, str], None]] = [
            {} for _ in range(self.settings.buckets)
        ]
        self.pending: dict[tuple[str, str], None] = {}

    def put(self, rumour: state.GossipUpdate) -> bool:
        """Keep a rumour if it is news; tell whether it was."""
        known = self.held.get(rumour.key)
        if known is not None and known.rumour.order >= rumour.order:
            return False
        if known is not None:
            self._toggle_hash(known.rumour)
        self.held[rumour.key] = _Held(rumour)
        self._toggle_hash(rumour)
        self.pending.pop(rumour.key, None)
        self.pending[rumour.key] = None
        return True

    def drop(self, key: tuple[str, str]) -> None:
        """Forget a rumour whose matter has ended."""
        known = self.held.pop(key, None)
        if known is None:
            return
        self._toggle_hash(known.rumour)
        del self.bucket_keys[_bucket(key, self.settings.buckets)][key]
        self.pending.pop(key, None)

    def get(self, key: tuple[str, str]) -> state.GossipUpdate | None:
        """Return the rumour under a key."""
        known = self.held.get(key)
        return None if known is None else known.rumour

    def select(self, fleet_size: int) -> list[state.GossipUpdate]:
        """Return rumours for the next message, the newest first."""
        limit = self._repeat_limit(fleet_size)
        chosen = []
        for key in list(reversed(self.pending))[: self.settings.per_message]:
            held = self.held[key]
            held.sent += 1
            chosen.append(held.rumour)
            if held.sent >= limit:
                del self.pending[key]
        return chosen

    def digest(self) -> tuple[int, ...]:
        """Return the hash of each bucket."""
        return tuple(self.hashes)

    def differing(self, digest: tuple[int, ...]) -> list[state.GossipUpdate]:
        """Return rumours of the buckets in which `digest` differs."""
        rumours: list[state.GossipUpdate] = []
        for bucket, value in enumerate(digest):
            if value != self.hashes[bucket]:
                keys = self.bucket_keys[bucket]
                rumours += [self.held[key].rumour for key in keys]
        return rumours[: self.settings.per_repair]

    def iter_topic(self, topic: str) -> abc.Iterator[state.GossipUpdate]:
        """Yield the rumours whose key begins with `topic`."""
        for key, held in self.held.items():
            if key[0] == topic:
                yield held.rumour

    def _repeat_limit(self, fleet_size: int) -> int:
        growth = math.log2(max(2, fleet_size) + 1)
        return math.ceil(self.settings.repeat_factor * growth)

    def _toggle_hash(self, rumour: state.GossipUpdate) -> None:
        """Add a rumour to its bucket's hash, or take it out again."""
        bucket = _bucket(rumour.key, self.settings.buckets)
        text = f"{rumour.key}{rumour.order}"
        self.hashes[bucket] ^= xxhash.xxh32_intdigest(text.encode())
        self.bucket_keys[bucket][rumour.key] = None


def _bucket(key: tuple[str, str], buckets: int) -> int:
    return xxhash.xxh32_intdigest("/".join(key).encode(), 1) % buckets
