"""The instances that are taken to live, by what the store lists.

An entry that is missing from a listing is no proof that its instance is
gone: leases may end while the store is down, and a listing may be some
seconds old. So a missing member is looked for once more, after the time in
which those that lapsed are back, and only then dropped.
"""

from collections import abc

from poplarloft import state

__all__ = ["Roster"]

LIST_INTERVAL_MS = 20_000
CONFIRM_DELAY_MS = 3_000  # those that lapsed in an outage are back by then
MAX_LOOK_GAP_MS = 10_000  # between two that follow each other
# Those that came at the same time as this instance are listed by then, but
# before the first listing after a start.
RELIST_DELAY_MS = 2_500
MIN_INTERVAL_MS = 5_000  # between listings that somebody asked for
REACHED_MS = 5_000  # for which an instance that answered is taken to live


class Roster:
    """The known members, and when to list them next.

    Parameters
    ----------
    clock : state.Clock
        Clock that also advances while the machine is suspended.

    Attributes
    ----------
    members : dict of str to state.PeerRecord
        The members that are taken to live, by name. It is replaced, not
        changed, so that whoever goes through it may wait meanwhile.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.members: dict[str, state.PeerRecord] = {}
        self.missing_since_ms: dict[str, int] = {}
        self.reached_at_ms: dict[str, int] = {}
        self.listed_at_ms: int | None = None
        self.has_failed = False
        self.relist_at_ms: int | None = None

    @property
    def needs_current_listing(self) -> bool:
        """Whether the next listing must not be an old one.

        The first one must have all that came before this instance.
        """
        return (
            self.listed_at_ms is None
            or self.relist_at_ms is not None
            or bool(self.missing_since_ms)
        )

    @property
    def has_all_of_start(self) -> bool:
        """Whether it has those that came at the same time as this one."""
        return bool(self.members) and self.relist_at_ms is None

    def on_listing(
        self,
        listed: abc.Mapping[str, state.PeerRecord],
        asked_at_ms: int | None = None,
    ) -> list[str]:
        """Follow a listing; return the names of those that are gone.

        Parameters
        ----------
        listed : mapping of str to state.PeerRecord
            All entries of the store.
        asked_at_ms : int or None
            Time at which the store was asked; None for just now.
        """
        now_ms = self.clock.now_ms()
        if self._has_stood_still(now_ms):
            self.missing_since_ms.clear()
        self.listed_at_ms = now_ms
        self.has_failed = False
        if asked_at_ms is None:
            asked_at_ms = now_ms
        if self.relist_at_ms is not None and asked_at_ms >= self.relist_at_ms:
            self.relist_at_ms = None
        missing = [name for name in self.members if name not in listed]
        self.missing_since_ms = {
            name: self.missing_since_ms.get(name, now_ms) for name in missing
        }
        gone = [name for name in missing if self._is_gone(name, now_ms)]
        for name in gone:
            del self.missing_since_ms[name]
            self.reached_at_ms.pop(name, None)
        kept = {
            name: record
            for name, record in self.members.items()
            if name not in gone
        }
        self.members = {**kept, **listed}
        return gone

    def on_unreadable(self) -> None:
        """Note that the store could not be asked.

        Nor could those that lapsed register: their time begins anew.
        """
        self.listed_at_ms = self.clock.now_ms()
        self.has_failed = True
        self.missing_since_ms.clear()

    def on_registered(self, name: str, record: state.PeerRecord) -> None:
        """Note this instance's own entry, which may be a new one."""
        self.relist_at_ms = self.clock.now_ms() + RELIST_DELAY_MS
        if name in self.members:
            self.members = {**self.members, name: record}

    def on_reached(self, name: str) -> None:
        """Note that an instance has just answered."""
        if name in self.members:
            self.reached_at_ms[name] = self.clock.now_ms()

    def next_listing_in_ms(self, is_wanted: bool = False) -> int:
        """Return the time until the members should be listed again.

        Parameters
        ----------
        is_wanted : bool
            Whether somebody has reason to believe that one is gone.
        """
        if self.listed_at_ms is None:
            return 0
        interval_ms = LIST_INTERVAL_MS
        if self.missing_since_ms:
            interval_ms = CONFIRM_DELAY_MS
        elif is_wanted or self.has_failed:
            interval_ms = MIN_INTERVAL_MS
        due_ms = self.listed_at_ms + interval_ms
        if self.relist_at_ms is not None and not self.has_failed:
            due_ms = min(due_ms, self.relist_at_ms)
        return max(0, due_ms - self.clock.now_ms())

    def _has_stood_still(self, now_ms: int) -> bool:
        """Return whether the store may have been away between two looks."""
        if self.listed_at_ms is None:
            return False
        return now_ms - self.listed_at_ms > MAX_LOOK_GAP_MS

    def _is_gone(self, name: str, now_ms: int) -> bool:
        missing_ms = now_ms - self.missing_since_ms[name]
        if missing_ms < CONFIRM_DELAY_MS:
            return False
        reached_ms = self.reached_at_ms.get(name)
        return reached_ms is None or now_ms - reached_ms > REACHED_MS
