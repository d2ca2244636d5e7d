"""How much of an append-only log of the store has been read.

The entries of a log are numbered from 0 and never change. A listing comes in
pages, which are no snapshot, and a watch may miss changes; several of both
may be under way at once. What is kept is a whole prefix of the log all the
same, since an entry is appended only if its number is the next one.
"""

import dataclasses
import enum

__all__ = ["Follows", "LogPosition"]


class Follows(enum.StrEnum):
    """Where an entry stands in relation to those already read.

    ``KNOWN``: it was read before. ``NEXT``: it is the next one. ``GAP``:
    entries before it have not been read.
    """

    KNOWN = "known"
    NEXT = "next"
    GAP = "gap"


@dataclasses.dataclass(slots=True)
class LogPosition:
    """The number of the first entry not read, and where a watch may start.

    Attributes
    ----------
    next_number : int
        Number of the first entry that has not been read.
    revision : int
        Revision of the store up to which all entries have been read, 0 if
        that is not known: then the log must be listed, not watched.
    gaps : int
        Number of entries that did not follow those already read.
    listed_from : int
        Revision of the first page of the listing under way.
    """

    next_number: int = 0
    revision: int = 0
    gaps: int = 0
    listed_from: int = 0

    def place(self, number: int) -> Follows:
        """Return where an entry stands; after a gap a listing is needed."""
        if number < self.next_number:
            return Follows.KNOWN
        if number == self.next_number:
            return Follows.NEXT
        self.gaps += 1
        self.revision = 0
        return Follows.GAP

    def advance(self) -> None:
        """Count the next entry as read."""
        self.next_number += 1

    def begin_listing(self) -> None:
        """Begin a listing after the last entry read."""
        self.listed_from = 0

    def on_page(self, revision: int, has_more: bool) -> None:
        """Note a page of the listing, all entries of which were read.

        Entries that are written between two pages may be on none of them,
        so a watch starts at the revision of the first page, and only once
        the last one has been read.
        """
        self.listed_from = self.listed_from or revision
        if not has_more:
            self.revision = max(self.revision, self.listed_from)

    def on_watched(self, seen_revision: int) -> None:
        """Note a watch, all entries of which were read."""
        if self.revision:
            self.revision = max(self.revision, seen_revision)
