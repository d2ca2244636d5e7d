"""Which daemons are asked for news of the store, and what is believed.

A daemon asks two others, which all daemons of its group find by the same
ranking, so that few watch the store. What they tell holds for as long as
the store confirmed it to them a short while ago; else the daemon asks
the store itself.
"""

from collections import abc
import dataclasses
import itertools

import xxhash

from poplarloft import state

__all__ = ["FeedReader"]

MAX_SOURCES = 2  # one may be cut off or end at any time
GROUP_SIZE = 80
SILENT_MS = 1_500  # first messages are lost until both sides connect
SILENT_REST_MS = 8_000
OLD_NEWS_REST_MS = 1_000
ASKED_MS = 3_000


@dataclasses.dataclass(slots=True)
class _Source:
    """What is known of a daemon that may be asked."""

    address: state.Address
    asked_at_ms: int | None = None
    rests_until_ms: int = 0


class FeedReader:
    """Asks for news, and judges its age.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    name : str
        This daemon.
    max_age_ms : int
        News that the store confirmed so long ago counts no more.
    """

    def __init__(self, clock: state.Clock, name: str, max_age_ms: int) -> None:
        self.clock = clock
        self.name = name
        self.max_age_ms = max_age_ms
        self.address: state.Address | None = None
        self.sources: dict[str, _Source] = {}
        self.ranking: list[str] = []
        self.offered_at_ms: dict[str, int] = {}
        self.turns = itertools.count()
        self.asked_by_others_at_ms: int | None = None

    def update_members(
        self, members: abc.Mapping[str, state.PeerRecord]
    ) -> None:
        """Take the daemons that answer, this one among them."""
        addresses = {
            name: member.feed
            for name, member in members.items()
            if member.feed is not None
        }
        self.sources = {
            name: self._known(name, address)
            for name, address in addresses.items()
            if name != self.name
        }
        self.ranking = _ranking(self.name, addresses)

    def set_single_source(self, runner: state.LeaderRecord | None) -> None:
        """Ask one daemon only, or none."""
        self.sources = {}
        if runner is not None:
            self.sources[runner.name] = self._known(
                runner.name, runner.address
            )
        self.ranking = list(self.sources)

    def on_request(self) -> None:
        """Note that another daemon asks this one."""
        self.asked_by_others_at_ms = self.clock.now_ms()

    @property
    def is_source(self) -> bool:
        """Tell whether others rely on this daemon."""
        at_ms = self.asked_by_others_at_ms
        return at_ms is not None and self.clock.now_ms() - at_ms < ASKED_MS

    def next_request(
        self, positions: dict[str, int]
    ) -> tuple[state.Address, state.FeedRequest] | None:
        """Return whom to ask now, None if this daemon watches itself."""
        self._rest_silent()
        chosen = self._chosen()
        if self.address is None or not chosen:
            return None
        hub = self.sources[chosen[next(self.turns) % len(chosen)]]
        now_ms = self.clock.now_ms()
        if hub.asked_at_ms is None:
            hub.asked_at_ms = now_ms
        request = state.FeedRequest(
            self.name, self.address, now_ms, dict(positions)
        )
        return hub.address, request

    def on_answer(self, answer: state.FeedAnswer) -> list[state.FeedPart]:
        """Return an answer's parts, with the most that their age may be.

        Their age counts from when this daemon asked, so an answer that
        was held up on its way only looks older than it is.
        """
        hub = self.sources.get(answer.name)
        if hub is None:
            return []
        hub.asked_at_ms = None
        now_ms = self.clock.now_ms()
        judged = []
        for part in answer.parts:
            confirmed_at_ms = answer.sent_at_ms - part.age_ms
            offered_at_ms = self.offered_at_ms.get(
                part.prefix, confirmed_at_ms
            )
            self.offered_at_ms[part.prefix] = max(
                offered_at_ms, confirmed_at_ms
            )
            age_ms = now_ms - confirmed_at_ms
            if age_ms > self.max_age_ms:
                hub.rests_until_ms = now_ms + OLD_NEWS_REST_MS
            judged.append(dataclasses.replace(part, age_ms=age_ms))
        return judged

    def is_fresh(self, prefix: str) -> bool:
        """Tell whether others offer news that are new enough."""
        return self.fresh_for_ms(self.offered_at_ms.get(prefix)) > 0

    def fresh_for_ms(self, confirmed_at_ms: int | None) -> int:
        """Return how long news hold that the store confirmed last then.

        Daemons that others rely on ask the store themselves.
        """
        if confirmed_at_ms is None or self.is_source or not self._chosen():
            return 0
        return max(0, confirmed_at_ms + self.max_age_ms - self.clock.now_ms())

    def _known(self, name: str, address: state.Address) -> _Source:
        known = self.sources.get(name)
        if known is None or known.address != address:
            return _Source(address)
        return known

    def _rest_silent(self) -> None:
        now_ms = self.clock.now_ms()
        for hub in self.sources.values():
            asked_at_ms = hub.asked_at_ms
            if asked_at_ms is not None and now_ms - asked_at_ms > SILENT_MS:
                hub.asked_at_ms = None
                hub.rests_until_ms = now_ms + SILENT_REST_MS

    def _chosen(self) -> list[str]:
        """Return the first two that answer, none if this is one of them."""
        now_ms = self.clock.now_ms()
        usable = [
            name
            for name in self.ranking
            if name == self.name or self.sources[name].rests_until_ms <= now_ms
        ]
        chosen = usable[:MAX_SOURCES]
        return [] if self.name in chosen else chosen


def _ranking(name: str, names: abc.Collection[str]) -> list[str]:
    """Return all names in the order in which a daemon's group asks them."""
    groups = max(1, round(len(names) / GROUP_SIZE))
    group = _hash(name) % groups
    return sorted(names, key=lambda other: _hash(f"{group}/{other}"))


def _hash(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode())
