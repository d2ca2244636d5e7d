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

    @property
    def needs_current_listing(self) -> bool:
        """Whether the next listing must not be an old one.

        The first one must have all that came before this instance.
        """
        return self.listed_at_ms is None or bool(self.missing_since_ms)

    def on_listing(
        self, listed: abc.Mapping[str, state.PeerRecord]
    ) -> list[str]:
        """Follow a listing; return the names of those that are gone."""
        now_ms = self.clock.now_ms()
        self.listed_at_ms = now_ms
        self.has_failed = False
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
        return max(0, self.listed_at_ms + interval_ms - self.clock.now_ms())

    def _is_gone(self, name: str, now_ms: int) -> bool:
        missing_ms = now_ms - self.missing_since_ms[name]
        if missing_ms < CONFIRM_DELAY_MS:
            return False
        reached_ms = self.reached_at_ms.get(name)
        return reached_ms is None or now_ms - reached_ms > REACHED_MS
