"""Usage counters, merged by maximum and recorded in a ledger once.

The counters of an incarnation only increase, so copies of them can be
merged by maximum in any order. One writer per data centre records totals
that have increased in the ledger. A second concurrent writer has no effect,
since entries contain cumulative totals.
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
    """Usage counters of this instance's incarnation.

    Parameters
    ----------
    incarnation : state.Incarnation
        Name and number of the incarnation.
    """

    def __init__(self, incarnation: state.Incarnation) -> None:
        self.incarnation = incarnation
        self.counters: dict[tuple[str, str, str], int] = {}
        self.published_ms = 0

    def add(self, owner: str, kind: str, purpose: str, busy_ms: int) -> None:
        """Add upstream time to a counter.

        Raises
        ------
        ValueError
            If `busy_ms` is negative, since counters may only increase.
        """
        if busy_ms < 0:
            raise ValueError(f"busy_ms is {busy_ms}, expected >= 0")
        key = (owner, kind, purpose)
        self.counters[key] = self.counters.get(key, 0) + busy_ms

    def next_update(self) -> state.UsageUpdate | None:
        """Return the counters, or None if they have not changed."""
        total_ms = sum(self.counters.values())
        if total_ms == self.published_ms:
            return None
        self.published_ms = total_ms
        rows = tuple((*k, v) for k, v in sorted(self.counters.items()))
        return state.UsageUpdate(
            self.incarnation.name, self.incarnation.number, total_ms, rows
        )


class UsageTotals:
    """Counters of a data centre's instances, merged by maximum."""

    def __init__(self) -> None:
        self.totals: dict[TotalKey, int] = {}

    def on_update(self, update: state.UsageUpdate) -> None:
        """Merge the counters of an incarnation, which may be outdated."""
        incarnation = f"{update.instance}#{update.incarnation}"
        for owner, kind, purpose, busy_ms in update.counters:
            self._merge((incarnation, owner, kind, purpose), busy_ms)

    def on_total(self, total: state.UsageTotal) -> None:
        """Merge a single total, for example from a snapshot."""
        key = (total.incarnation, total.owner, total.kind, total.purpose)
        self._merge(key, total.busy_ms)

    def unrecorded(
        self, recorded: abc.Mapping[TotalKey, int]
    ) -> tuple[state.UsageTotal, ...]:
        """Return the totals that exceed those recorded in the ledger."""
        return tuple(
            state.UsageTotal(*key, busy_ms)
            for key, busy_ms in sorted(self.totals.items())
            if busy_ms > recorded.get(key, 0)
        )

    def drop_recorded(
        self, recorded: abc.Mapping[TotalKey, int], live: set[str]
    ) -> None:
        """Drop fully recorded totals of incarnations that are not live."""
        for key in list(self.totals):
            if key[0] not in live and recorded.get(key, 0) >= self.totals[key]:
                del self.totals[key]

    def _merge(self, key: TotalKey, busy_ms: int) -> None:
        self.totals[key] = max(busy_ms, self.totals.get(key, 0))


def usage_writer(
    data_centre: str, instances: abc.Iterable[state.MemberRecord]
) -> str | None:
    """Return the instance that writes a data centre's ledger.

    The writer is the first live instance by name, so that a restart of
    another instance does not change it.
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
    """Return the largest recorded total for each key of a ledger."""
    totals: dict[TotalKey, int] = {}
    for entry in entries:
        for row in entry.totals:
            key = (row.incarnation, row.owner, row.kind, row.purpose)
            totals[key] = max(row.busy_ms, totals.get(key, 0))
    return totals


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerShare:
    """An owner's upstream time and its fraction of the total."""

    owner: str
    busy_ms: int
    share: float


def owner_shares(totals: abc.Mapping[TotalKey, int]) -> list[OwnerShare]:
    """Return each owner's share of the recorded time, sorted by owner."""
    per_owner: dict[str, int] = {}
    for (_, owner, _, _), busy_ms in totals.items():
        per_owner[owner] = per_owner.get(owner, 0) + busy_ms
    total_ms = sum(per_owner.values())
    return [
        OwnerShare(owner, busy_ms, busy_ms / total_ms if total_ms else 0.0)
        for owner, busy_ms in sorted(per_owner.items())
    ]
