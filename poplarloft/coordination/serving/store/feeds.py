"""Selection of change feed sources, and freshness of their updates.

A daemon reads store changes from two other daemons instead of watching
the store. All daemons of a group pick the same two sources by the same
ranking, so only a few daemons watch the store. An update is used only
for a limited time after the store last confirmed it; after that the
daemon reads the store itself.
"""

from collections import abc
import dataclasses
import itertools

import xxhash

from poplarloft import state

__all__ = ["FeedReader"]

MAX_SOURCES = 2  # either may lose its connection or stop at any time
GROUP_SIZE = 80
ANSWER_TIMEOUT_MS = 1_500  # first messages are lost until both sides connect
TIMEOUT_COOLDOWN_MS = 8_000
STALE_UPDATE_COOLDOWN_MS = 1_000
SOURCE_ROLE_MS = 3_000


@dataclasses.dataclass(slots=True)
class _Source:
    """A daemon that can serve as a feed source."""

    address: state.Address
    requested_at_ms: int | None = None
    cooldown_until_ms: int = 0


class FeedReader:
    """Request store updates from other daemons and track their freshness.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    name : str
        Name of this daemon.
    max_age_ms : int
        Age, since the store confirmed it, at which an update is stale.
    """

    def __init__(self, clock: state.Clock, name: str, max_age_ms: int) -> None:
        self.clock = clock
        self.name = name
        self.max_age_ms = max_age_ms
        self.address: state.Address | None = None
        self.sources: dict[str, _Source] = {}
        self.ranking: list[str] = []
        self.confirmed_at_ms: dict[str, int] = {}
        self.request_count = itertools.count()
        self.last_request_at_ms: int | None = None

    def update_members(
        self, members: abc.Mapping[str, state.PeerRecord]
    ) -> None:
        """Replace the daemons that serve feeds, this one included."""
        addresses = {
            name: member.feed
            for name, member in members.items()
            if member.feed is not None
        }
        self.sources = {
            name: self._source(name, address)
            for name, address in addresses.items()
            if name != self.name
        }
        self.ranking = _ranking(self.name, addresses)

    def set_single_source(self, leader: state.LeaderRecord | None) -> None:
        """Use the leader as the only source; no source at all if None."""
        self.sources = {}
        if leader is not None:
            self.sources[leader.name] = self._source(
                leader.name, leader.address
            )
        self.ranking = list(self.sources)

    def on_request(self) -> None:
        """Record that another daemon requested updates from this one."""
        self.last_request_at_ms = self.clock.now_ms()

    @property
    def is_source(self) -> bool:
        """Whether other daemons recently used this one as a source."""
        at_ms = self.last_request_at_ms
        return (
            at_ms is not None and self.clock.now_ms() - at_ms < SOURCE_ROLE_MS
        )

    def next_request(
        self, known_revisions: dict[str, int]
    ) -> tuple[state.Address, state.FeedRequest] | None:
        """Return where to send the next request, and the request.

        `known_revisions` has, for each prefix, the revision up to which
        this daemon knows all changes. Returns None while this daemon reads
        the store itself.
        """
        self._expire_requests()
        chosen = self._active_sources()
        if self.address is None or not chosen:
            return None
        source = self.sources[chosen[next(self.request_count) % len(chosen)]]
        now_ms = self.clock.now_ms()
        if source.requested_at_ms is None:
            source.requested_at_ms = now_ms
        request = state.FeedRequest(
            self.name, self.address, now_ms, dict(known_revisions)
        )
        return source.address, request

    def on_answer(self, answer: state.FeedAnswer) -> list[state.FeedPart]:
        """Return the parts of an answer, with upper bounds of their age.

        The age is counted from when the request was sent, so that the
        delay of an answer can make it too high, never too low.
        """
        source = self.sources.get(answer.name)
        if source is None:
            return []
        source.requested_at_ms = None
        now_ms = self.clock.now_ms()
        aged_parts = []
        for part in answer.parts:
            confirmed_at_ms = answer.sent_at_ms - part.age_ms
            previous_ms = self.confirmed_at_ms.get(
                part.prefix, confirmed_at_ms
            )
            self.confirmed_at_ms[part.prefix] = max(
                previous_ms, confirmed_at_ms
            )
            age_ms = now_ms - confirmed_at_ms
            if age_ms > self.max_age_ms:
                source.cooldown_until_ms = now_ms + STALE_UPDATE_COOLDOWN_MS
            aged_parts.append(dataclasses.replace(part, age_ms=age_ms))
        return aged_parts

    def is_fresh(self, prefix: str) -> bool:
        """Return whether a source recently sent fresh data of a prefix."""
        return (
            self.remaining_freshness_ms(self.confirmed_at_ms.get(prefix)) > 0
        )

    def remaining_freshness_ms(self, confirmed_at_ms: int | None) -> int:
        """Return how long data confirmed at a time stays fresh.

        Always 0 for a daemon that is itself a source, since it has to read
        the store.
        """
        if (
            confirmed_at_ms is None
            or self.is_source
            or not self._active_sources()
        ):
            return 0
        return max(0, confirmed_at_ms + self.max_age_ms - self.clock.now_ms())

    def _source(self, name: str, address: state.Address) -> _Source:
        known = self.sources.get(name)
        if known is None or known.address != address:
            return _Source(address)
        return known

    def _expire_requests(self) -> None:
        now_ms = self.clock.now_ms()
        for source in self.sources.values():
            requested_at_ms = source.requested_at_ms
            if (
                requested_at_ms is not None
                and now_ms - requested_at_ms > ANSWER_TIMEOUT_MS
            ):
                source.requested_at_ms = None
                source.cooldown_until_ms = now_ms + TIMEOUT_COOLDOWN_MS

    def _active_sources(self) -> list[str]:
        """Return the first `MAX_SOURCES` usable daemons of the ranking.

        Empty if this daemon is one of them.
        """
        now_ms = self.clock.now_ms()
        usable = [
            name
            for name in self.ranking
            if name == self.name
            or self.sources[name].cooldown_until_ms <= now_ms
        ]
        chosen = usable[:MAX_SOURCES]
        return [] if self.name in chosen else chosen


def _ranking(name: str, names: abc.Collection[str]) -> list[str]:
    """Return all names, ranked by preference as a source of the group."""
    groups = max(1, round(len(names) / GROUP_SIZE))
    group = _hash(name) % groups
    return sorted(names, key=lambda other: _hash(f"{group}/{other}"))


def _hash(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode())
