"""Failure detection inside a data centre, and relays between them.

Follows SWIM (Das, Gupta and Motivala, 2002) with suspicion, and the local
health of Lifeguard (Dadgar, Phillips and Currey, 2017): an observer that
was itself paused, or whose probes often fail, gives others more time.
"""

import dataclasses
import random

from poplarloft.coordination import dissemination
from poplarloft.coordination import routing
from poplarloft import state

__all__ = [
    "Membership",
    "MembershipAction",
    "MembershipSettings",
    "SendAck",
    "SendDigest",
    "SendPing",
    "SendPingRequest",
    "SendRumours",
]

OTHER_THAN_RELAY = 0.2
# Usage is flushed within its data centre, so it stays there.
LOCAL_TOPICS = frozenset({"usage"})


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times of the failure detector, in milliseconds.

    Parameters
    ----------
    interval_ms : int
        Time between two probes by one member.
    direct_timeout_ms : int
        Wait for a direct answer before others are asked to probe.
    probe_timeout_ms : int
        Wait for any answer before the target is suspected.
    last_timeout_ms : int
        Wait for an answer to the last probe of a suspect.
    suspicion_ms : int
        Time in which a suspect may refute.
    indirect : int
        Members asked to probe on one's behalf.
    digest_every : int
        Probes between two digests.
    centres_per_round : int
        Other data centres that a relay sends news to per probe.
    news_at_once : int
        Rumours in one message between data centres.
    relays : int
        Members of a data centre that talk to other data centres.
    max_health : int
        Limit of the local health score; timeouts grow with the score.
    forget_ms : int
        Time for which a dead member is remembered.
    """

    interval_ms: int = 200
    direct_timeout_ms: int = 100
    probe_timeout_ms: int = 250
    last_timeout_ms: int = 150
    suspicion_ms: int = 1_850
    indirect: int = 3
    digest_every: int = 10
    centres_per_round: int = 3
    news_at_once: int = 32
    relays: int = 2
    max_health: int = 4
    forget_ms: int = 900_000


@dataclasses.dataclass(frozen=True, slots=True)
class SendPing:
    """Action: probe a member; `on_behalf_of` asked for it, or empty."""

    to: str
    sequence: int
    on_behalf_of: str
    rumours: tuple[state.Rumour, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendAck:
    """Action: answer a probe."""

    to: str
    sequence: int
    on_behalf_of: str
    target: str
    rumours: tuple[state.Rumour, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendPingRequest:
    """Action: ask a member to probe `target`."""

    to: str
    target: str
    sequence: int
    rumours: tuple[state.Rumour, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendDigest:
    """Action: send a digest; the answer mends what is missing."""

    to: str
    digest: tuple[int, ...]
    is_answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SendRumours:
    """Action: send rumours, to a relay or as a repair."""

    to: str
    rumours: tuple[state.Rumour, ...]


MembershipAction = (
    SendPing | SendAck | SendPingRequest | SendDigest | SendRumours
)


@dataclasses.dataclass(slots=True)
class _Probe:
    target: str
    sequence: int
    sent_at_ms: int
    indirect_sent: bool = False
    is_last: bool = False


class Membership:
    """One member's view of the fleet.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    rng : random.Random
        Draws targets.
    me : state.MemberRecord
        This instance.
    store : dissemination.RumourStore
        Rumours, of which member records are one kind.
    settings : MembershipSettings
        Times.
    """

    def __init__(
        self,
        clock: state.Clock,
        rng: random.Random,
        me: state.MemberRecord,
        store: dissemination.RumourStore,
        settings: MembershipSettings | None = None,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.me = me
        self.store = store
        self.settings = settings or MembershipSettings()
        self.members: dict[str, state.MemberRecord] = {me.name: me}
        self.probes: dict[int, _Probe] = {}
        self.suspected_at_ms: dict[str, int] = {}
        self.dead_at_ms: dict[str, int] = {}
        self.health = 0
        self.sequence = 0
        self.round = 0
        self.order: list[str] = []
        self.remote_queues: dict[str, dict[tuple[str, str], None]] = {}
        self.next_probe_ms = clock.now_ms()
        self.ticked_at_ms = clock.now_ms()
        store.put(me)

    def live(self) -> list[state.MemberRecord]:
        """Return the members that are not dead or gone, with this one."""
        return [m for m in self.members.values() if m.is_live]

    def live_in(self, data_centre: str) -> list[str]:
        """Return the names of a data centre's live members."""
        return [
            m.name
            for m in self.members.values()
            if m.is_live and m.place.data_centre == data_centre
        ]

    def relays_of(self, data_centre: str) -> list[str]:
        """Return the members that speak for a data centre."""
        ranked = routing.rendezvous_rank(
            data_centre, self.live_in(data_centre)
        )
        return ranked[: self.settings.relays]

    def is_relay(self) -> bool:
        """Tell whether this member speaks for its data centre."""
        return self.me.name in self.relays_of(self.me.place.data_centre)

    def is_first_relay(self) -> bool:
        """Tell whether this member is the first relay of its place."""
        return self.relays_of(self.me.place.data_centre)[:1] == [self.me.name]

    def next_wake_ms(self) -> int:
        """Return when `tick` has something to do."""
        times = [self.next_probe_ms]
        for probe in self.probes.values():
            times.append(self._deadline_ms(probe))
        for name in self.suspected_at_ms:
            times.append(self._suspicion_ends_ms(name))
        return min(times)

    def tick(self) -> list[MembershipAction]:
        """Probe, give up probes, end suspicions."""
        self._forgive_own_pause()
        actions = self._check_probes()
        actions += self._end_suspicions()
        if self.clock.now_ms() >= self.next_probe_ms:
            actions += self._begin_round()
        return actions

    def leave(self) -> list[MembershipAction]:
        """Tell others that this member goes by its own will."""
        self._restate(state.MemberStatus.LEFT)
        targets = self._peers()
        self.rng.shuffle(targets)
        return [
            SendRumours(name, (self.me,))
            for name in targets[: self.settings.indirect]
        ]

    def on_rumour(self, rumour: state.Rumour) -> bool:
        """Take a rumour; tell whether it was news."""
        if isinstance(rumour, state.MemberRecord):
            return self._on_record(rumour)
        return self._keep(rumour)

    def on_ping(
        self, sender: str, sequence: int, on_behalf_of: str
    ) -> list[MembershipAction]:
        """Answer a probe."""
        riders = self._riders(sender)
        return [SendAck(sender, sequence, on_behalf_of, self.me.name, riders)]

    def on_ping_request(
        self, sender: str, target: str, sequence: int
    ) -> list[MembershipAction]:
        """Probe `target` for `sender`."""
        if target not in self.members:
            return []
        return [SendPing(target, sequence, sender, self._riders(target))]

    def on_ack(
        self, sequence: int, on_behalf_of: str, target: str
    ) -> list[MembershipAction]:
        """Take an answer, or pass it on to whom it is for."""
        if on_behalf_of and on_behalf_of != self.me.name:
            return [
                SendAck(
                    on_behalf_of,
                    sequence,
                    on_behalf_of,
                    target,
                    self._riders(),
                )
            ]
        probe = self.probes.pop(sequence, None)
        if probe is not None:
            self.health = max(0, self.health - 1)
        return []

    def on_digest(
        self, sender: str, digest: tuple[int, ...], is_answer: bool
    ) -> list[MembershipAction]:
        """Send what `sender` may lack; ask back once."""
        if digest == self.store.digest():
            return []
        differing = tuple(self.store.differing(digest))
        actions: list[MembershipAction] = []
        if differing:
            actions.append(SendRumours(sender, differing))
        if not is_answer:
            actions.append(SendDigest(sender, self.store.digest(), True))
        return actions

    def _on_record(self, record: state.MemberRecord) -> bool:
        if record.name == self.me.name:
            return self._refute(record)
        known = self.members.get(record.name)
        if known is None and not record.is_live:
            return False
        if known is not None and known.order >= record.order:
            return False
        self.members[record.name] = record
        self._keep(record)
        self._note_status(record)
        return True

    def _keep(self, rumour: state.Rumour) -> bool:
        """Keep a rumour; as a relay, queue it for other data centres."""
        if not self.store.put(rumour):
            return False
        if rumour.key[0] not in LOCAL_TOPICS and self.is_relay():
            for centre in self._other_centres():
                self.remote_queues.setdefault(centre, {})[rumour.key] = None
        return True

    def _note_status(self, record: state.MemberRecord) -> None:
        now_ms = self.clock.now_ms()
        if record.status is state.MemberStatus.SUSPECT:
            self.suspected_at_ms[record.name] = now_ms
        else:
            self.suspected_at_ms.pop(record.name, None)
        if record.is_live:
            self.dead_at_ms.pop(record.name, None)
        else:
            self.dead_at_ms[record.name] = now_ms

    def _refute(self, record: state.MemberRecord) -> bool:
        """Contradict a statement about this very life of this member."""
        if record.incarnation < self.me.incarnation:
            return False
        if record.status is state.MemberStatus.ALIVE:
            return False
        if self.me.status is state.MemberStatus.LEFT:
            return False
        if record.refutation < self.me.refutation:
            return False
        self.health = min(self.settings.max_health, self.health + 1)
        refutation = record.refutation + 1
        self.me = dataclasses.replace(self.me, refutation=refutation)
        self._restate(state.MemberStatus.ALIVE)
        return True

    def _restate(self, status: state.MemberStatus) -> None:
        self.me = dataclasses.replace(self.me, status=status)
        self.members[self.me.name] = self.me
        self._keep(self.me)

    def _state_of(self, name: str, status: state.MemberStatus) -> None:
        """Make a statement about another member."""
        record = dataclasses.replace(self.members[name], status=status)
        self._on_record(record)

    def _forgive_own_pause(self) -> None:
        """Shift all waiting times by the time this member was paused."""
        now_ms = self.clock.now_ms()
        gap_ms = now_ms - self.ticked_at_ms
        self.ticked_at_ms = now_ms
        if gap_ms <= 2 * self.settings.interval_ms:
            return
        self.health = min(self.settings.max_health, self.health + 1)
        for probe in self.probes.values():
            probe.sent_at_ms += gap_ms
        for name in self.suspected_at_ms:
            self.suspected_at_ms[name] += gap_ms

    def _deadline_ms(self, probe: _Probe) -> int:
        settings = self.settings
        if probe.is_last:
            return probe.sent_at_ms + settings.last_timeout_ms
        wait_ms = settings.probe_timeout_ms
        if not probe.indirect_sent:
            wait_ms = settings.direct_timeout_ms
        scale = 1 + self.health
        return probe.sent_at_ms + wait_ms * scale

    def _suspicion_ends_ms(self, name: str) -> int:
        return self.suspected_at_ms[name] + self.settings.suspicion_ms

    def _check_probes(self) -> list[MembershipAction]:
        now_ms = self.clock.now_ms()
        actions: list[MembershipAction] = []
        for probe in list(self.probes.values()):
            if now_ms < self._deadline_ms(probe):
                continue
            if not probe.indirect_sent:
                probe.indirect_sent = True
                actions += self._probe_indirectly(probe)
                continue
            del self.probes[probe.sequence]
            self._on_probe_failed(probe)
        return actions

    def _on_probe_failed(self, probe: _Probe) -> None:
        record = self.members.get(probe.target)
        if record is None:
            return
        if probe.is_last:
            if record.status is state.MemberStatus.SUSPECT:
                self._state_of(probe.target, state.MemberStatus.DEAD)
            return
        if record.status is state.MemberStatus.ALIVE:
            # Nobody else suspects it, so the fault may be this member's.
            self.health = min(self.settings.max_health, self.health + 1)
            self._state_of(probe.target, state.MemberStatus.SUSPECT)

    def _probe_indirectly(self, probe: _Probe) -> list[MembershipAction]:
        helpers = [n for n in self._peers() if n != probe.target]
        chosen = self.rng.sample(
            helpers, min(self.settings.indirect, len(helpers))
        )
        riders = self._riders(probe.target)
        return [
            SendPingRequest(name, probe.target, probe.sequence, riders)
            for name in chosen
        ]

    def _end_suspicions(self) -> list[MembershipAction]:
        """Probe once more before a suspect counts as dead."""
        now_ms = self.clock.now_ms()
        actions: list[MembershipAction] = []
        for name in list(self.suspected_at_ms):
            if now_ms < self._suspicion_ends_ms(name):
                continue
            del self.suspected_at_ms[name]
            if self._is_neighbour(self.members[name]):
                actions += self._probe_last(name)
        return actions

    def _probe_last(self, name: str) -> list[MembershipAction]:
        """Probe a suspect directly and through others at once."""
        ping = self._probe(name, is_last=True)
        probe = self.probes[ping.sequence]
        probe.indirect_sent = True
        return [ping, *self._probe_indirectly(probe)]

    def _begin_round(self) -> list[MembershipAction]:
        self.next_probe_ms = self.clock.now_ms() + self.settings.interval_ms
        self.round += 1
        self._forget_dead()
        actions: list[MembershipAction] = []
        target = self._next_target()
        if target is not None:
            actions.append(self._probe(target))
            if self.round % self.settings.digest_every == 0:
                digest = self.store.digest()
                actions.append(SendDigest(target, digest))
        actions += self._talk_to_other_data_centres()
        actions += self._try_a_dead_neighbour()
        return actions

    def _try_a_dead_neighbour(self) -> list[MembershipAction]:
        """Now and then greet a dead member, which may only be cut off."""
        if self.round % self.settings.digest_every:
            return []
        dead = [
            name
            for name in self.dead_at_ms
            if self._is_neighbour(self.members[name])
            and self.members[name].status is state.MemberStatus.DEAD
        ]
        if not dead:
            return []
        name = self.rng.choice(dead)
        return [SendRumours(name, (self.members[name], self.me))]

    def _probe(self, target: str, is_last: bool = False) -> SendPing:
        self.sequence += 1
        self.probes[self.sequence] = _Probe(
            target,
            self.sequence,
            self.clock.now_ms(),
            is_last=is_last,
        )
        return SendPing(target, self.sequence, "", self._riders(target))

    def _next_target(self) -> str | None:
        """Return members in a random order, each once per pass."""
        while self.order:
            name = self.order.pop()
            record = self.members.get(name)
            if record is not None and record.is_live:
                return name
        self.order = self._peers()
        self.rng.shuffle(self.order)
        return self.order.pop() if self.order else None

    def _peers(self) -> list[str]:
        return [
            name
            for name in self.live_in(self.me.place.data_centre)
            if name != self.me.name
        ]

    def _is_neighbour(self, record: state.MemberRecord) -> bool:
        return record.place.data_centre == self.me.place.data_centre

    def _riders(self, target: str = "") -> tuple[state.Rumour, ...]:
        """Return rumours for a message, a suspicion of its target first."""
        rumours = self.store.select(len(self.members))
        record = self.members.get(target)
        if record is None or record.status is state.MemberStatus.ALIVE:
            return tuple(rumours)
        others = [r for r in rumours if r != record]
        return (record, *others)

    def _talk_to_other_data_centres(self) -> list[MembershipAction]:
        """As a relay, pass news on to other data centres.

        A few centres with news are served per round, so that the load
        doesn't grow with the fleet; digests mend what gets lost.
        """
        if not self.is_relay():
            self.remote_queues.clear()
            return []
        actions: list[MembershipAction] = []
        with_news = sorted(c for c, keys in self.remote_queues.items() if keys)
        self.rng.shuffle(with_news)
        for centre in with_news[: self.settings.centres_per_round]:
            actions += self._send_news(centre)
        centres = self._other_centres()
        if centres and self.round % self.settings.digest_every == 0:
            target = self._remote_target(self.rng.choice(centres))
            if target is not None:
                actions.append(SendDigest(target, self.store.digest()))
        return actions

    def _send_news(self, centre: str) -> list[MembershipAction]:
        target = self._remote_target(centre)
        if target is None:
            return []
        keys = list(self.remote_queues[centre])[: self.settings.news_at_once]
        for key in keys:
            del self.remote_queues[centre][key]
        found = [self.store.get(key) for key in keys]
        news = tuple(rumour for rumour in found if rumour is not None)
        return [SendRumours(target, news)]

    def _other_centres(self) -> list[str]:
        centres = {m.place.data_centre for m in self.members.values()}
        return sorted(centres - {self.me.place.data_centre})

    def _remote_target(self, data_centre: str) -> str | None:
        """Return a relay; now and then another, if the relays are gone."""
        known = self.live_in(data_centre)
        if not known:
            return None
        if self.rng.random() < OTHER_THAN_RELAY:
            return self.rng.choice(known)
        return self.rng.choice(self.relays_of(data_centre))

    def _forget_dead(self) -> None:
        oldest_ms = self.clock.now_ms() - self.settings.forget_ms
        for name, since_ms in list(self.dead_at_ms.items()):
            if since_ms < oldest_ms:
                del self.dead_at_ms[name]
                del self.members[name]
                self.store.drop(("member", name))
