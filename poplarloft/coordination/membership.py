"""Failure detection within a data centre, and relays between them.

Follows SWIM (Das, Gupta and Motivala, 2002) with suspicion, and the local
health score of Lifeguard (Dadgar, Phillips and Currey, 2017): a member
that was itself paused, or whose probes often fail, uses longer timeouts.
"""

import dataclasses
import random

from poplarloft.coordination import dissemination
from poplarloft.coordination import gossip
from poplarloft.coordination import probing
from poplarloft.coordination import relay_queue
from poplarloft.coordination import remote
from poplarloft.coordination import routing
from poplarloft import state

__all__ = ["Membership"]

# Usage is flushed within its data centre, so it isn't relayed to others.
LOCAL_TOPICS = frozenset({"usage"})


class Membership:
    """One member's view of the fleet.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    rng : random.Random
        Source of randomness for the choice of targets.
    own_record : state.MemberRecord
        Record of this instance.
    store : dissemination.UpdateStore
        Gossip updates, which include the member records.
    settings : gossip.MembershipSettings
        Settings of the failure detector and of the relays.
    """

    def __init__(
        self,
        clock: state.Clock,
        rng: random.Random,
        own_record: state.MemberRecord,
        store: dissemination.UpdateStore,
        settings: gossip.MembershipSettings | None = None,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.own_record = own_record
        self.store = store
        self.settings = settings or gossip.MembershipSettings()
        self.members: dict[str, state.MemberRecord] = {
            own_record.name: own_record
        }
        self.probes = probing.ProbeTable(clock, self.settings)
        self.suspected_at_ms: dict[str, int] = {}
        self.dead_at_ms: dict[str, int] = {}
        self.health_score = 0
        self.change_count = 0
        self.round = 0
        self.probe_order = probing.ProbeOrder(rng)
        self.relay_queues = relay_queue.RelayQueues(rng)
        self.next_probe_ms = clock.now_ms()
        self.last_tick_ms = clock.now_ms()
        store.put(own_record)

    def live(self) -> list[state.MemberRecord]:
        """Return the members neither dead nor left, including this one."""
        return [m for m in self.members.values() if m.is_live]

    def live_in(self, data_centre: str) -> list[str]:
        """Return the names of a data centre's live members."""
        return [
            m.name
            for m in self.members.values()
            if m.is_live and m.location.data_centre == data_centre
        ]

    def relays_of(self, data_centre: str) -> list[str]:
        """Return the relays, which send to other data centres."""
        ranked = routing.rendezvous_rank(
            data_centre, self.live_in(data_centre)
        )
        return ranked[: self.settings.relays]

    def is_relay(self) -> bool:
        """Return whether this member is a relay of its data centre."""
        return self.own_record.name in self.relays_of(
            self.own_record.location.data_centre
        )

    def is_first_relay(self) -> bool:
        """Return whether this member is its data centre's first relay."""
        return self.relays_of(self.own_record.location.data_centre)[:1] == [
            self.own_record.name
        ]

    def next_wake_ms(self) -> int:
        """Return when `tick` has to be called next."""
        times = [self.next_probe_ms]
        times += self.probes.deadlines_ms(self.health_score)
        for name in self.suspected_at_ms:
            times.append(self._suspicion_ends_ms(name))
        return min(times)

    def tick(self) -> list[gossip.MembershipAction]:
        """Process timeouts of probes and suspicions; begin a round if due."""
        self._compensate_own_pause()
        actions = self._expire_probes()
        actions += self._expire_suspicions()
        if self.clock.now_ms() >= self.next_probe_ms:
            actions += self._begin_round()
        return actions

    def leave(self) -> list[gossip.MembershipAction]:
        """Announce to a few members that this one leaves voluntarily."""
        self._set_own_status(state.MemberStatus.LEFT)
        targets = self._peers()
        self.rng.shuffle(targets)
        return [
            gossip.SendUpdates(name, (self.own_record,))
            for name in targets[: self.settings.indirect_probes]
        ]

    def on_update(self, update: state.GossipUpdate) -> bool:
        """Apply a gossip update; return whether it was new."""
        if isinstance(update, state.MemberRecord):
            return self._on_record(update)
        return self._store_update(update)

    def on_ping(
        self, sender: str, sequence: int, on_behalf_of: str
    ) -> list[gossip.MembershipAction]:
        """Acknowledge a probe."""
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
        """Process an acknowledgement, or forward it to the requester."""
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
        if self.probes.remove(sequence):
            self.health_score = max(0, self.health_score - 1)
        return []

    def on_digest(
        self, sender: str, digest: tuple[int, ...], is_answer: bool
    ) -> list[gossip.MembershipAction]:
        """Send the updates that differ, and a digest unless `is_answer`."""
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
        self._store_update(record)
        self._track_status(record)
        return True

    def _store_update(self, update: state.GossipUpdate) -> bool:
        """Store an update; as a relay, queue it for other data centres."""
        if not self.store.put(update):
            return False
        if update.key[0] not in LOCAL_TOPICS and self.is_relay():
            self.relay_queues.add(update.key, remote.other_data_centres(self))
        return True

    def _track_status(self, record: state.MemberRecord) -> None:
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
        """Refute a claim that this incarnation is suspect, dead or left."""
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
        self._set_own_status(state.MemberStatus.ALIVE)
        return True

    def _set_own_status(self, status: state.MemberStatus) -> None:
        self.own_record = dataclasses.replace(self.own_record, status=status)
        self.members[self.own_record.name] = self.own_record
        self._store_update(self.own_record)

    def _set_status(self, name: str, status: state.MemberStatus) -> None:
        """Publish a changed status of another member."""
        record = dataclasses.replace(self.members[name], status=status)
        self._on_record(record)

    def _compensate_own_pause(self) -> None:
        """Extend all timeouts by the time for which this member was paused."""
        now_ms = self.clock.now_ms()
        gap_ms = now_ms - self.last_tick_ms
        self.last_tick_ms = now_ms
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

    def _expire_probes(self) -> list[gossip.MembershipAction]:
        actions: list[gossip.MembershipAction] = []
        for probe in self.probes.overdue(self.health_score):
            if not probe.indirect_sent:
                probe.indirect_sent = True
                actions += self._probe_indirectly(probe)
                continue
            self.probes.remove(probe.sequence)
            self._on_probe_failed(probe)
        return actions

    def _on_probe_failed(self, probe: probing.Probe) -> None:
        record = self.members.get(probe.target)
        if record is None:
            return
        if probe.is_final:
            if record.status is state.MemberStatus.SUSPECT:
                self._set_status(probe.target, state.MemberStatus.DEAD)
            return
        if record.status is state.MemberStatus.ALIVE:
            # No other member suspects it, so the fault may lie here.
            self.health_score = min(
                self.settings.max_health_score, self.health_score + 1
            )
            self._set_status(probe.target, state.MemberStatus.SUSPECT)

    def _probe_indirectly(
        self, probe: probing.Probe
    ) -> list[gossip.MembershipAction]:
        helpers = [n for n in self._peers() if n != probe.target]
        chosen = self.rng.sample(
            helpers, min(self.settings.indirect_probes, len(helpers))
        )
        piggybacked = self._piggyback(probe.target)
        return [
            gossip.SendPingRequest(
                name, probe.target, probe.sequence, piggybacked
            )
            for name in chosen
        ]

    def _expire_suspicions(self) -> list[gossip.MembershipAction]:
        """Begin the final probe of members whose suspicion has timed out."""
        now_ms = self.clock.now_ms()
        actions: list[gossip.MembershipAction] = []
        for name in list(self.suspected_at_ms):
            if now_ms < self._suspicion_ends_ms(name):
                continue
            del self.suspected_at_ms[name]
            if self._is_in_own_data_centre(self.members[name]):
                actions += self._begin_final_probe(name)
        return actions

    def _begin_final_probe(self, name: str) -> list[gossip.MembershipAction]:
        """Probe a suspect directly and indirectly at the same time."""
        ping = self._probe(name, is_final=True)
        probe = self.probes.probes[ping.sequence]
        return [ping, *self._probe_indirectly(probe)]

    def _begin_round(self) -> list[gossip.MembershipAction]:
        self.next_probe_ms = self.clock.now_ms() + self.settings.interval_ms
        self.round += 1
        self._drop_dead()
        actions: list[gossip.MembershipAction] = []
        target = self.probe_order.next_target(self._peers())
        if target is not None:
            actions.append(self._probe(target))
            if self.round % self.settings.rounds_per_digest == 0:
                digest = self.store.digest()
                actions.append(gossip.SendDigest(target, digest))
        actions += remote.relay_updates(self)
        actions += self._contact_dead_member()
        return actions

    def _contact_dead_member(self) -> list[gossip.MembershipAction]:
        """Contact a random dead member at intervals; it may be partitioned."""
        if self.round % self.settings.rounds_per_digest:
            return []
        dead = [
            name
            for name in self.dead_at_ms
            if self._is_in_own_data_centre(self.members[name])
            and self.members[name].status is state.MemberStatus.DEAD
        ]
        if not dead:
            return []
        name = self.rng.choice(dead)
        return [
            gossip.SendUpdates(name, (self.members[name], self.own_record))
        ]

    def _probe(self, target: str, is_final: bool = False) -> gossip.SendPing:
        probe = self.probes.begin(target, is_final)
        return gossip.SendPing(
            target, probe.sequence, "", self._piggyback(target)
        )

    def _peers(self) -> list[str]:
        return [
            name
            for name in self.live_in(self.own_record.location.data_centre)
            if name != self.own_record.name
        ]

    def _is_in_own_data_centre(self, record: state.MemberRecord) -> bool:
        return (
            record.location.data_centre == self.own_record.location.data_centre
        )

    def _piggyback(self, target: str = "") -> tuple[state.GossipUpdate, ...]:
        """Return updates for a message, a suspicion of its target first."""
        updates = self.store.select(len(self.members))
        record = self.members.get(target)
        if record is None or record.status is state.MemberStatus.ALIVE:
            return tuple(updates)
        others = [r for r in updates if r != record]
        return (record, *others)

    def _drop_dead(self) -> None:
        oldest_ms = self.clock.now_ms() - self.settings.dead_retention_ms
        for name, since_ms in list(self.dead_at_ms.items()):
            if since_ms < oldest_ms:
                del self.dead_at_ms[name]
                del self.members[name]
                self.change_count += 1
                self.store.drop(("member", name))
