"""Entries and recent changes under one prefix of the store."""

import collections
from collections import abc

from poplarloft import state

__all__ = ["PrefixHistory"]

RECENT_CHANGES = 500
# A key that is written and removed while nobody looks exists for longer.
MAX_GAP_MS = 3_000
NEVER_MS = -1_000_000_000


class PrefixHistory:
    """The entries under a prefix, and when the store last confirmed them.

    `part_after` provides them to other daemons.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    prefix : str
        Prefix of the keys.

    Attributes
    ----------
    gaps : int
        Number of times that a key may have been written and removed unseen.
    """

    def __init__(self, clock: state.Clock, prefix: str) -> None:
        self.clock = clock
        self.prefix = prefix
        self.revision = 0
        self.entries: dict[str, state.Entry] = {}
        self.recent: collections.deque[state.Change] = collections.deque(
            maxlen=RECENT_CHANGES
        )
        self.recent_since = 0
        self.confirmed_at_ms = NEVER_MS
        self.gaps = 0

    def on_listing(
        self,
        entries: abc.Iterable[state.Entry],
        revision: int,
        confirmed_at_ms: int,
    ) -> None:
        """Replace all entries by a listing as of `revision`."""
        if confirmed_at_ms - self.confirmed_at_ms > MAX_GAP_MS:
            self.gaps += 1
        self.entries = {entry.key: entry for entry in entries}
        self.revision = revision
        self.recent.clear()
        self.recent_since = revision
        self.confirm(confirmed_at_ms)

    def apply_changes(
        self, changes: abc.Iterable[state.Change], revision: int
    ) -> list[state.Change]:
        """Apply all changes up to `revision`; return those that were new.

        A listing of several pages may hold entries that are newer than its
        revision. Changes that led to them come once more and are passed
        over, as they would restore an older state.
        """
        applied = []
        for change in changes:
            if change.revision <= self.revision:
                continue
            self._remember(change)
            known = self.entries.get(change.key)
            if known is not None and known.revision >= change.revision:
                continue
            applied.append(change)
            if change.entry is None:
                self.entries.pop(change.key, None)
            else:
                self.entries[change.key] = change.entry
        self.revision = max(self.revision, revision)
        return applied

    def _remember(self, change: state.Change) -> None:
        """Keep a change for those whose listing does not have it."""
        if len(self.recent) == RECENT_CHANGES:
            self.recent_since = self.recent[0].revision
        self.recent.append(change)

    def confirm(self, at_ms: int) -> None:
        """Record a time at which the store had no further changes."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, at_ms)

    def part_after(self, revision: int) -> state.FeedPart:
        """Return the changes after `revision`.

        Returns all entries instead if some of those changes are no longer
        among the recent ones.
        """
        is_snapshot = revision < self.recent_since
        if is_snapshot:
            changes = tuple(
                state.Change(key, entry.revision, entry)
                for key, entry in self.entries.items()
            )
        else:
            changes = tuple(c for c in self.recent if c.revision > revision)
        return state.FeedPart(
            self.prefix,
            self.revision,
            self.clock.now_ms() - self.confirmed_at_ms,
            changes,
            is_snapshot,
        )
