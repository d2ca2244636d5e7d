"""Permits for requests to upstreams that have named a limit.

An issuer of an upstream schedules one request after another at its share of
the rate that the upstream has named, and gives each asker the time of the
next one. Every instance computes the issuers of an upstream from the list
of members: the first one, and others that are asked in turn where it does
not answer. Each decides by its own place in the list, so that the bound
holds also while askers have other lists, and while some reach the one and
some the other.
"""

from collections import abc
import dataclasses

import xxhash

from poplarloft.coordination.serving.rollouts import engine_view
from poplarloft import state

__all__ = [
    "FIRST_PLACE",
    "IssuerRanks",
    "MIN_RATE_PER_S",
    "Permit",
    "PermitIssuer",
    "PermitNeed",
    "Place",
    "notice_recipients",
    "place_of",
    "rank_issuers",
]

MS_PER_S = 1_000
# Shares of the rate, by the place of an issuer. Their sum leaves room for
# requests that arrive later than they were scheduled.
ISSUER_SHARES = (0.9, 0.2, 0.1)
MIN_RATE_PER_S = 0.05  # shows whether a very low limit still holds
MAX_BACKLOG_MS = 2_000  # for the most urgent priority
PRIORITIES = 10
MAX_UNOFFERED_MS = 30_000  # all members have been listed again by then
MAX_RANKED_MS = 60_000  # upstreams that are gone are forgotten then


@dataclasses.dataclass(frozen=True, slots=True)
class PermitNeed:
    """A request that may need a permit.

    Parameters
    ----------
    request_id : str
        Identifier of the request, item or score.
    priority : int
        Scheduling priority; 0 is the most urgent.
    max_wait_ms : int
        Longest time that the request can wait and still be served.
    is_trial : bool
        Whether it is served elsewhere if it gets no permit.
    """

    request_id: str
    priority: int
    max_wait_ms: int
    is_trial: bool = False

    @property
    def longest_wait_ms(self) -> int:
        """Longest wait for which an issuer may schedule the request."""
        return longest_wait_ms(self.priority, self.max_wait_ms)

    def as_trial(self) -> "PermitNeed":
        """Return the same request for a trial, which does not wait."""
        return dataclasses.replace(self, max_wait_ms=0, is_trial=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Decision on one request to a limited upstream.

    Parameters
    ----------
    is_granted : bool
        Whether it may be sent, after `wait_ms`.
    wait_ms : int
        Time until it may be sent, or until the next request may be.
    """

    is_granted: bool
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Place of an instance among the issuers of an upstream.

    Parameters
    ----------
    number : int
        0 for the first issuer.
    pause_ms : int
        Time for which it schedules nothing, since whoever had the place
        until just now may have scheduled as far ahead.
    """

    number: int
    pause_ms: int = 0


FIRST_PLACE = Place(0)


@dataclasses.dataclass(slots=True)
class _Schedule:
    """When the next request to an upstream may be sent, at which rate."""

    next_at_ms: float
    rate_per_s: float

    def change_rate(self, rate_per_s: float, now_ms: int) -> None:
        """Follow a limit that was named since.

        The next request need not wait an interval of the earlier limit,
        but only for those that are scheduled already.
        """
        self.rate_per_s = rate_per_s
        self.next_at_ms = min(self.next_at_ms, now_ms + MAX_BACKLOG_MS)


class PermitIssuer:
    """Schedules the requests of all instances to limited upstreams.

    A schedule starts one interval after it is first asked for, since an
    issuer that has just started does not know what it issued before.

    Parameters
    ----------
    clock : state.Clock
        Clock that also advances while the machine is suspended.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.schedules: dict[engine_view.EngineId, _Schedule] = {}

    def decide(
        self, request: state.PermitRequest, rate_per_s: float, place: "Place"
    ) -> Permit:
        """Schedule a request, unless it would have to wait too long.

        The more urgent a request, the longer a backlog it may join, so that
        the less urgent ones give way first.

        Parameters
        ----------
        request : state.PermitRequest
            What is asked for.
        rate_per_s : float
            Requests per second that the upstream takes from all instances.
        place : Place
            Place of this instance among the issuers.
        """
        now_ms = self.clock.now_ms()
        interval_ms = _interval_ms(rate_per_s, place.number)
        engine_id = request.report.engine_id
        schedule = self.schedules.get(engine_id)
        if schedule is None:
            schedule = _Schedule(now_ms + interval_ms, rate_per_s)
            self.schedules[engine_id] = schedule
        if schedule.rate_per_s != rate_per_s:
            schedule.change_rate(rate_per_s, now_ms)
        at_ms = max(float(now_ms + place.pause_ms), schedule.next_at_ms)
        wait_ms = int(at_ms - now_ms)
        if wait_ms > longest_wait_ms(request.priority, request.max_wait_ms):
            return Permit(False, wait_ms)
        schedule.next_at_ms = at_ms + interval_ms
        return Permit(True, wait_ms)

    def keep_only(
        self, engine_ids: abc.Container[engine_view.EngineId]
    ) -> None:
        """Forget the schedules of upstreams that are no longer announced."""
        for engine_id in list(self.schedules):
            if engine_id not in engine_ids:
                del self.schedules[engine_id]


def rank_issuers(
    engine_id: engine_view.EngineId,
    members: abc.Mapping[str, state.PeerRecord],
    now_ms: int,
) -> list[str]:
    """Return the issuers of an upstream, the first one first.

    They are chosen by rendezvous among those that offer it and have settled.
    Where none has, those come first that settle first: whoever came later
    has seen them, while they may not have seen it.

    Parameters
    ----------
    engine_id : tuple of (str, int)
        The run of the upstream.
    members : mapping of str to state.PeerRecord
        All instances.
    now_ms : int
        Unix time.
    """
    candidates = [name for name, row in members.items() if row.offers_permits]
    settled = [n for n in candidates if members[n].settles_at_ms <= now_ms]
    upstream, born_ms = engine_id

    def weight(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{name}/{upstream}/{born_ms}".encode())

    ranked = sorted(settled or candidates, key=weight, reverse=True)
    if not settled:
        ranked.sort(key=lambda name: members[name].settles_at_ms)
    return ranked[: len(ISSUER_SHARES)]


def place_of(
    name: str,
    engine_id: engine_view.EngineId,
    members: abc.Mapping[str, state.PeerRecord],
    now_ms: int,
) -> Place | None:
    """Return the place of an instance among the issuers, if it is one.

    Parameters are those of `rank_issuers`.
    """
    ranked = rank_issuers(engine_id, members, now_ms)
    if name not in ranked:
        return None
    settled_at_ms = max(
        (
            row.settles_at_ms
            for row in members.values()
            if row.settles_at_ms <= now_ms
        ),
        default=0,
    )
    pause_ms = settled_at_ms + MAX_BACKLOG_MS - now_ms
    if pause_ms <= 0:
        return Place(ranked.index(name))
    before = rank_issuers(engine_id, members, settled_at_ms - 1)
    if before[: ranked.index(name) + 1] == ranked[: ranked.index(name) + 1]:
        pause_ms = 0
    return Place(ranked.index(name), pause_ms)


class IssuerRanks:
    """The issuers of upstreams, ranked once for each list of members.

    The list is taken to be another one only if it is another object, and
    ranks hold until the next member settles. Where nobody has offered to
    issue permits for a while, all members do; not at once, as those that
    offer it may be missing only from the first list after an outage.
    """

    def __init__(self) -> None:
        self.members: abc.Mapping[str, state.PeerRecord] = {}
        self.issuing: abc.Mapping[str, state.PeerRecord] = {}
        self.unoffered_since_ms: int | None = None
        self.from_ms = 0
        self.until_ms = 0
        self.ranked: dict[engine_view.EngineId, list[str]] = {}

    def rank(
        self,
        engine_id: engine_view.EngineId,
        members: abc.Mapping[str, state.PeerRecord],
        now_ms: int,
    ) -> list[str]:
        """Return what `rank_issuers` does."""
        is_current = self.from_ms <= now_ms < self.until_ms
        if members is not self.members or not is_current:
            self._begin(members, now_ms)
        ranked = self.ranked.get(engine_id)
        if ranked is None:
            ranked = rank_issuers(engine_id, self.issuing, now_ms)
            self.ranked[engine_id] = ranked
        return ranked

    def place_of(
        self,
        name: str,
        engine_id: engine_view.EngineId,
        members: abc.Mapping[str, state.PeerRecord],
        now_ms: int,
    ) -> Place | None:
        """Return what the function `place_of` does."""
        ranked = self.rank(engine_id, members, now_ms)
        if now_ms < self.from_ms + MAX_BACKLOG_MS:
            return place_of(name, engine_id, self.issuing, now_ms)
        return Place(ranked.index(name)) if name in ranked else None

    def _begin(
        self, members: abc.Mapping[str, state.PeerRecord], now_ms: int
    ) -> None:
        self.members = members
        self.from_ms = now_ms
        self.ranked = {}
        self._choose_issuing(now_ms)
        ends_ms = [row.settles_at_ms for row in members.values()]
        if self.unoffered_since_ms is not None:
            ends_ms.append(self.unoffered_since_ms + MAX_UNOFFERED_MS)
        self.until_ms = min(
            (end_ms for end_ms in ends_ms if end_ms > now_ms),
            default=now_ms + MAX_RANKED_MS,
        )

    def _choose_issuing(self, now_ms: int) -> None:
        """Let all members issue permits if nobody offers it for a while."""
        self.issuing = self.members
        offers = any(row.offers_permits for row in self.members.values())
        if offers or not self.members:
            self.unoffered_since_ms = None
            return
        if self.unoffered_since_ms is None:
            self.unoffered_since_ms = now_ms
        if now_ms - self.unoffered_since_ms >= MAX_UNOFFERED_MS:
            self.issuing = {
                name: dataclasses.replace(row, issues_permits=True)
                for name, row in self.members.items()
            }


def notice_recipients(
    name: str,
    engine_id: engine_view.EngineId,
    members: abc.Mapping[str, state.PeerRecord],
    now_ms: int,
) -> list[state.Address]:
    """Return whom an instance tells of news of an upstream.

    An instance tells the issuers of the upstream, and the first of these
    tells everyone.

    Parameters
    ----------
    name : str
        The instance.
    engine_id : tuple of (str, int)
        The run of the upstream.
    members : mapping of str to state.PeerRecord
        All instances.
    now_ms : int
        Unix time.
    """
    issuers = rank_issuers(engine_id, members, now_ms)
    names: abc.Iterable[str] = issuers
    if issuers and issuers[0] == name:
        names = members
    return [
        address
        for other in names
        if other != name and (address := members[other].peers) is not None
    ]


def _interval_ms(rate_per_s: float, place: int) -> float:
    """Return the time between two requests that one issuer schedules."""
    share = ISSUER_SHARES[place]
    return MS_PER_S / (share * max(rate_per_s, MIN_RATE_PER_S))


def longest_wait_ms(priority: int, max_wait_ms: int) -> int:
    """Return how far ahead a request is scheduled at most, by its urgency."""
    rank = min(max(priority, 0), PRIORITIES - 1)
    backlog_ms = MAX_BACKLOG_MS * (PRIORITIES - rank) // PRIORITIES
    return min(max_wait_ms, backlog_ms)
