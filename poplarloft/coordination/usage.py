"""Usage: counted at each instance, merged by maximum, booked once.

Counters of an incarnation only grow, so copies merge by maximum in any
order. One writer per data centre puts what has grown into the ledger;
another writer at the same time changes nothing, since entries carry
cumulative totals.
"""

from collections import abc
import dataclasses

from poplarloft import state

__all__ = [
    "OwnerShare",
    "UsageMeter",
    "UsageTotals",
    "ledger_totals",
    "owner_shares",
    "usage_writer",
]

TotalKey = tuple[str, str, str, str]


class UsageMeter:
    """The counters of this incarnation.

    Parameters
    ----------
    incarnation : state.Incarnation
        This instance's life.
    """

    def __init__(self, incarnation: state.Incarnation) -> None:
        self.incarnation = incarnation
        self.counters: dict[tuple[str, str, str], int] = {}
        self.published_ms = 0

    def add(self, owner: str, kind: str, purpose: str, busy_ms: int) -> None:
        """Book upstream time.

        Raises
        ------
        ValueError
            If `busy_ms` is negative: counters only grow.
        """
        if busy_ms < 0:
            raise ValueError(f"busy_ms is {busy_ms}, expected >= 0")
        key = (owner, kind, purpose)
        self.counters[key] = self.counters.get(key, 0) + busy_ms

    def next_update(self) -> state.UsageUpdate | None:
        """Return the counters, or None if they were told already."""
        total_ms = sum(self.counters.values())
        if total_ms == self.published_ms:
            return None
        self.published_ms = total_ms
        rows = tuple((*k, v) for k, v in sorted(self.counters.items()))
        return state.UsageUpdate(
            self.incarnation.name, self.incarnation.number, total_ms, rows
        )


class UsageTotals:
    """The counters of a data centre's instances, merged by maximum."""

    def __init__(self) -> None:
        self.totals: dict[TotalKey, int] = {}

    def on_update(self, rumour: state.UsageUpdate) -> None:
        """Take an incarnation's counters, perhaps old ones."""
        incarnation = f"{rumour.instance}#{rumour.incarnation}"
        for owner, kind, purpose, busy_ms in rumour.counters:
            self._raise((incarnation, owner, kind, purpose), busy_ms)

    def on_total(self, total: state.UsageTotal) -> None:
        """Take one total, for example from a snapshot."""
        key = (total.incarnation, total.owner, total.kind, total.purpose)
        self._raise(key, total.busy_ms)

    def unrecorded(
        self, booked: abc.Mapping[TotalKey, int]
    ) -> tuple[state.UsageTotal, ...]:
        """Return the totals that are above those in the ledger."""
        return tuple(
            state.UsageTotal(*key, busy_ms)
            for key, busy_ms in sorted(self.totals.items())
            if busy_ms > booked.get(key, 0)
        )

    def drop_recorded(
        self, booked: abc.Mapping[TotalKey, int], live: set[str]
    ) -> None:
        """Drop what is booked in full of incarnations that are gone."""
        for key in list(self.totals):
            if key[0] not in live and booked.get(key, 0) >= self.totals[key]:
                del self.totals[key]

    def _raise(self, key: TotalKey, busy_ms: int) -> None:
        self.totals[key] = max(busy_ms, self.totals.get(key, 0))


def usage_writer(
    data_centre: str, instances: abc.Iterable[state.MemberRecord]
) -> str | None:
    """Return the instance that writes a data centre's ledger.

    The first by name among the live ones, so that a restart elsewhere
    doesn't move it.
    """
    names = [
        m.name
        for m in instances
        if m.is_live and m.location.data_centre == data_centre
    ]
    return min(names, default=None)


def ledger_totals(
    entries: abc.Iterable[state.UsageEntry],
) -> dict[TotalKey, int]:
    """Return what a ledger books, the largest total of each heading."""
    totals: dict[TotalKey, int] = {}
    for entry in entries:
        for row in entry.totals:
            key = (row.incarnation, row.owner, row.kind, row.purpose)
            totals[key] = max(row.busy_ms, totals.get(key, 0))
    return totals


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerShare:
    """One owner's upstream time and its part of the whole."""

    owner: str
    busy_ms: int
    share: float


def owner_shares(totals: abc.Mapping[TotalKey, int]) -> list[OwnerShare]:
    """Return each owner's part of the booked time, sorted by owner."""
    per_owner: dict[str, int] = {}
    for (_, owner, _, _), busy_ms in totals.items():
        per_owner[owner] = per_owner.get(owner, 0) + busy_ms
    whole_ms = sum(per_owner.values())
    return [
        OwnerShare(owner, busy_ms, busy_ms / whole_ms if whole_ms else 0.0)
        for owner, busy_ms in sorted(per_owner.items())
    ]
