"""Failure detection inside a data centre, and relays between them.

Follows SWIM (Das, Gupta and Motivala, 2002) with suspicion, and the local
health of Lifeguard (Dadgar, Phillips and Currey, 2017): an observer that
was itself paused, or whose probes often fail, gives others more time.
"""

import dataclasses
import random

from poplarloft.coordination import dissemination
from poplarloft.coordination import gossip
from poplarloft.coordination import probing
from poplarloft.coordination import relaying
from poplarloft.coordination import remote
from poplarloft.coordination import routing
from poplarloft import state

__all__ = ["Membership"]

# Usage is flushed within its data centre, so it stays there.
LOCAL_TOPICS = frozenset({"usage"})


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
    store : dissemination.UpdateStore
        Rumours, of which member records are one kind.
    settings : gossip.MembershipSettings
        Times.
    """

    def __init__(
        self,
        clock: state.Clock,
        rng: random.Random,
        me: state.MemberRecord,
        store: dissemination.UpdateStore,
        settings: gossip.MembershipSettings | None = None,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.own_record = me
        self.store = store
        self.settings = settings or gossip.MembershipSettings()
        self.members: dict[str, state.MemberRecord] = {me.name: me}
        self.probes = probing.ProbeTable(clock, self.settings)
        self.suspected_at_ms: dict[str, int] = {}
        self.dead_at_ms: dict[str, int] = {}
        self.health_score = 0
        self.change_count = 0
        self.round = 0
        self.order: list[str] = []
        self.relay_queues = relaying.RelayQueues(rng)
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
            if m.is_live and m.location.data_centre == data_centre
        ]

    def relays_of(self, data_centre: str) -> list[str]:
        """Return the members that speak for a data centre."""
        ranked = routing.rendezvous_rank(
            data_centre, self.live_in(data_centre)
        )
        return ranked[: self.settings.relays]

    def is_relay(self) -> bool:
        """Tell whether this member speaks for its data centre."""
        return self.own_record.name in self.relays_of(
            self.own_record.location.data_centre
        )

    def is_first_relay(self) -> bool:
        """Tell whether this member is the first relay of its place."""
        return self.relays_of(self.own_record.location.data_centre)[:1] == [
            self.own_record.name
        ]

    def next_wake_ms(self) -> int:
        """Return when `tick` has something to do."""
        times = [self.next_probe_ms]
        times += self.probes.deadlines_ms(self.health_score)
        for name in self.suspected_at_ms:
            times.append(self._suspicion_ends_ms(name))
        return min(times)

    def tick(self) -> list[gossip.MembershipAction]:
        """Probe, give up probes, end suspicions."""
        self._allow_for_own_pause()
        actions = self._check_probes()
        actions += self._end_suspicions()
        if self.clock.now_ms() >= self.next_probe_ms:
            actions += self._begin_round()
        return actions

    def leave(self) -> list[gossip.MembershipAction]:
        """Tell others that this member goes by its own will."""
        self._restate(state.MemberStatus.LEFT)
        targets = self._peers()
        self.rng.shuffle(targets)
        return [
            gossip.SendUpdates(name, (self.own_record,))
            for name in targets[: self.settings.indirect]
        ]

    def on_update(self, rumour: state.GossipUpdate) -> bool:
        """Take a rumour; tell whether it was news."""
        if isinstance(rumour, state.MemberRecord):
            return self._on_record(rumour)
        return self._keep(rumour)

    def on_ping(
        self, sender: str, sequence: int, on_behalf_of: str
    ) -> list[gossip.MembershipAction]:
        """Answer a probe."""
        piggybacked = self._piggyback(sender)
        return [
            gossip.SendAck(
                sender,
                sequence,
                on_behalf_of,
                self.own_record.name,
                piggybacked,
            )
        ]

    def on_ping_request(
        self, sender: str, target: str, sequence: int
    ) -> list[gossip.MembershipAction]:
        """Probe `target` for `sender`."""
        if target not in self.members:
            return []
        return [
            gossip.SendPing(target, sequence, sender, self._piggyback(target))
        ]

    def on_ack(
        self, sequence: int, on_behalf_of: str, target: str
    ) -> list[gossip.MembershipAction]:
        """Take an answer, or pass it on to whom it is for."""
        if on_behalf_of and on_behalf_of != self.own_record.name:
            return [
                gossip.SendAck(
                    on_behalf_of,
                    sequence,
                    on_behalf_of,
                    target,
                    self._piggyback(),
                )
            ]
        if self.probes.answer(sequence):
            self.health_score = max(0, self.health_score - 1)
        return []

    def on_digest(
        self, sender: str, digest: tuple[int, ...], is_answer: bool
    ) -> list[gossip.MembershipAction]:
        """Send what `sender` may lack; ask back once."""
        if digest == self.store.digest():
            return []
        differing = tuple(self.store.differing(digest))
        actions: list[gossip.MembershipAction] = []
        if differing:
            actions.append(gossip.SendUpdates(sender, differing))
        if not is_answer:
            actions.append(
                gossip.SendDigest(sender, self.store.digest(), True)
            )
        return actions

    def _on_record(self, record: state.MemberRecord) -> bool:
        if record.name == self.own_record.name:
            return self._refute(record)
        known = self.members.get(record.name)
        if known is None and not record.is_live:
            return False
        if known is not None and known.order >= record.order:
            return False
        self.members[record.name] = record
        self.change_count += 1
        self._keep(record)
        self._note_status(record)
        return True

    def _keep(self, rumour: state.GossipUpdate) -> bool:
        """Keep a rumour; as a relay, queue it for other data centres."""
        if not self.store.put(rumour):
            return False
        if rumour.key[0] not in LOCAL_TOPICS and self.is_relay():
            self.relay_queues.add(rumour.key, remote.other_data_centres(self))
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
        if record.incarnation < self.own_record.incarnation:
            return False
        if record.status is state.MemberStatus.ALIVE:
            return False
        if self.own_record.status is state.MemberStatus.LEFT:
            return False
        if record.refutation < self.own_record.refutation:
            return False
        self.health_score = min(
            self.settings.max_health_score, self.health_score + 1
        )
        refutation = record.refutation + 1
        self.own_record = dataclasses.replace(
            self.own_record, refutation=refutation
        )
        self._restate(state.MemberStatus.ALIVE)
        return True

    def _restate(self, status: state.MemberStatus) -> None:
        self.own_record = dataclasses.replace(self.own_record, status=status)
        self.members[self.own_record.name] = self.own_record
        self._keep(self.own_record)

    def _state_of(self, name: str, status: state.MemberStatus) -> None:
        """Make a statement about another member."""
        record = dataclasses.replace(self.members[name], status=status)
        self._on_record(record)

    def _allow_for_own_pause(self) -> None:
        """Shift all waiting times by the time this member was paused."""
        now_ms = self.clock.now_ms()
        gap_ms = now_ms - self.ticked_at_ms
        self.ticked_at_ms = now_ms
        if gap_ms <= 2 * self.settings.interval_ms:
            return
        self.health_score = min(
            self.settings.max_health_score, self.health_score + 1
        )
        self.probes.shift(gap_ms)
        for name in self.suspected_at_ms:
            self.suspected_at_ms[name] += gap_ms

    def _suspicion_ends_ms(self, name: str) -> int:
        return self.suspected_at_ms[name] + self.settings.suspicion_ms

    def _check_probes(self) -> list[gossip.MembershipAction]:
        actions: list[gossip.MembershipAction] = []
        for probe in self.probes.overdue(self.health_score):
            if not probe.indirect_sent:
                probe.indirect_sent = True
                actions += self._probe_indirectly(probe)
                continue
            self.probes.answer(probe.sequence)
            self._on_probe_failed(probe)
        return actions

    def _on_probe_failed(self, probe: probing.Probe) -> None:
        record = self.members.get(probe.target)
        if record is None:
            return
        if probe.is_last:
            if record.status is state.MemberStatus.SUSPECT:
                self._state_of(probe.target, state.MemberStatus.DEAD)
            return
        if record.status is state.MemberStatus.ALIVE:
            # Nobody else suspects it, so the fault may be this member's.
            self.health_score = min(
                self.settings.max_health_score, self.health_score + 1
            )
            self._state_of(probe.target, state.MemberStatus.SUSPECT)

    def _probe_indirectly(
        self, probe: probing.Probe
    ) -> list[gossip.MembershipAction]:
        helpers = [n for n in self._peers() if n != probe.target]
        chosen = self.rng.sample(
            helpers, min(self.settings.indirect, len(helpers))
        )
        piggybacked = self._piggyback(probe.target)
        return [
            gossip.SendPingRequest(
                name, probe.target, probe.sequence, piggybacked
            )
            for name in chosen
        ]

    def _end_suspicions(self) -> list[gossip.MembershipAction]:
        """Probe once more before a suspect counts as dead."""
        now_ms = self.clock.now_ms()
        actions: list[gossip.MembershipAction] = []
        for name in list(self.suspected_at_ms):
            if now_ms < self._suspicion_ends_ms(name):
                continue
            del self.suspected_at_ms[name]
            if self._is_neighbour(self.members[name]):
                actions += self._probe_last(name)
        return actions

    def _probe_last(self, name: str) -> list[gossip.MembershipAction]:
        """Probe a suspect directly and through others at once."""
        ping = self._probe(name, is_last=True)
        probe = self.probes.probes[ping.sequence]
        return [ping, *self._probe_indirectly(probe)]

    def _begin_round(self) -> list[gossip.MembershipAction]:
        self.next_probe_ms = self.clock.now_ms() + self.settings.interval_ms
        self.round += 1
        self._forget_dead()
        actions: list[gossip.MembershipAction] = []
        target = self._next_target()
        if target is not None:
            actions.append(self._probe(target))
            if self.round % self.settings.digest_every == 0:
                digest = self.store.digest()
                actions.append(gossip.SendDigest(target, digest))
        actions += remote.relay_updates(self)
        actions += self._contact_dead_neighbour()
        return actions

    def _contact_dead_neighbour(self) -> list[gossip.MembershipAction]:
        """Contact a dead member now and then, which may only be cut off."""
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
        return [
            gossip.SendUpdates(name, (self.members[name], self.own_record))
        ]

    def _probe(self, target: str, is_last: bool = False) -> gossip.SendPing:
        probe = self.probes.begin(target, is_last)
        return gossip.SendPing(
            target, probe.sequence, "", self._piggyback(target)
        )

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
            for name in self.live_in(self.own_record.location.data_centre)
            if name != self.own_record.name
        ]

    def _is_neighbour(self, record: state.MemberRecord) -> bool:
        return (
            record.location.data_centre == self.own_record.location.data_centre
        )

    def _piggyback(self, target: str = "") -> tuple[state.GossipUpdate, ...]:
        """Return rumours for a message, a suspicion of its target first."""
        rumours = self.store.select(len(self.members))
        record = self.members.get(target)
        if record is None or record.status is state.MemberStatus.ALIVE:
            return tuple(rumours)
        others = [r for r in rumours if r != record]
        return (record, *others)

    def _forget_dead(self) -> None:
        oldest_ms = self.clock.now_ms() - self.settings.forget_ms
        for name, since_ms in list(self.dead_at_ms.items()):
            if since_ms < oldest_ms:
                del self.dead_at_ms[name]
                del self.members[name]
                self.change_count += 1
                self.store.drop(("member", name))
