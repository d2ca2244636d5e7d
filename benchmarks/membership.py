"""Measure failure detection, dissemination and cost of membership by size.

A discrete-event simulation, deterministic for a seed except for the
processor time. Messages take 1 ms within a data centre and 30 ms between
data centres, and some are lost. The baseline rate is that of a heartbeat
from each member to every other member each second.
"""

import random
import sys
import time
import typing

from benchmarks import events
from poplarloft import coordination
from poplarloft.protocol import peers
from poplarloft import state

__all__ = ["Fleet", "run"]

SIZES = ((8, 1), (42, 1), (120, 3), (420, 10))
SMALL_SIZES = ((8, 1), (24, 3))
LOSS_SHARE = 0.05
PAUSE_MS = 2_000
STEADY_MS = 8_000
NEAR_MS = 1
FAR_MS = 30
HEARTBEAT_MS = 1_000
MS_PER_S = 1_000
PARTITION_MS = 600_000


class _Member:
    """Member of the fleet with the state of its process."""

    def __init__(self, fleet: "Fleet", record: state.MemberRecord) -> None:
        self.fleet = fleet
        self.update_store = coordination.UpdateStore()
        rng = random.Random(fleet.rng.getrandbits(32))
        self.view = coordination.Membership(
            fleet.queue.clock, rng, record, self.update_store
        )
        self.running = True
        self.paused_inbox: list[tuple[str, typing.Any]] = []
        self.paused = False
        self.wake_number = 0
        self.learned: set[tuple[str, str]] = set()

    @property
    def name(self) -> str:
        return self.view.own_record.name

    def wake(self, number: int) -> None:
        """Tick, unless a later wake-up has been scheduled meanwhile."""
        if number == self.wake_number and self.running and not self.paused:
            self.perform(self.view.tick())
            self.set_wake()

    def set_wake(self) -> None:
        self.wake_number += 1
        number = self.wake_number
        delay_ms = self.view.next_wake_ms() - self.fleet.queue.clock.now_ms()
        self.fleet.queue.after(delay_ms, lambda: self.wake(number))

    def perform(self, actions: list[typing.Any]) -> None:
        for action in actions:
            self.fleet.send(self, action.to, action)

    def receive(self, sender: str, message: typing.Any) -> None:
        if not self.running:
            return
        if self.paused:
            self.paused_inbox.append((sender, message))
            return
        for update in getattr(message, "updates", ()):
            if self.view.on_update(update):
                self.learned.add(update.key)
        self.perform(self._respond(sender, message))

    def _respond(self, sender: str, message: typing.Any) -> list[typing.Any]:
        view = self.view
        match message:
            case coordination.SendPing(_, sequence, on_behalf_of, _):
                return list(view.on_ping(sender, sequence, on_behalf_of))
            case coordination.SendAck(_, sequence, on_behalf_of, target, _):
                return list(view.on_ack(sequence, on_behalf_of, target))
            case coordination.SendPingRequest(_, target, sequence, _):
                return list(view.on_ping_request(sender, target, sequence))
            case coordination.SendDigest(_, digest, is_answer):
                return list(view.on_digest(sender, digest, is_answer))
        return []

    def pause(self, duration_ms: int) -> None:
        """Pause the process for `duration_ms`; its messages are buffered."""
        self.paused = True
        self.fleet.queue.after(duration_ms, self.resume)

    def resume(self) -> None:
        self.paused = False
        messages, self.paused_inbox = self.paused_inbox, []
        self.perform(self.view.tick())
        self.set_wake()
        for sender, message in messages:
            self.receive(sender, message)


class Fleet:
    """Members of several data centres on a lossy network."""

    def __init__(
        self, seed: int, size: int, data_centres: int, loss_share: float
    ) -> None:
        self.rng = random.Random(seed)
        self.queue = events.EventQueue()
        self.loss_share = loss_share
        self.partitioned: set[str] = set()
        self.messages = 0
        self.bytes = 0
        self.members: dict[str, _Member] = {}
        records = [_record(n, n % data_centres) for n in range(size)]
        for record in records:
            self.members[record.name] = _Member(self, record)
        for member in self.members.values():
            for record in records:
                member.view.on_update(record)
            member.update_store.pending.clear()
            self.queue.after(self.rng.randrange(200), member.set_wake)

    def send(self, sender: _Member, to: str, message: typing.Any) -> None:
        """Deliver a message after the network delay, or drop it."""
        self.messages += 1
        self.bytes += len(peers.encode_peer_message(sender.name, message))
        target = self.members.get(to)
        if target is None or self.rng.random() < self.loss_share:
            return
        is_near = _data_centre(sender) == _data_centre(target)
        if not is_near and self.partitioned & {
            _data_centre(sender),
            _data_centre(target),
        }:
            return
        delay_ms = NEAR_MS if is_near else FAR_MS
        self.queue.after(
            delay_ms, lambda: target.receive(sender.name, message)
        )

    def running(self) -> list[_Member]:
        """Return the members whose process has not crashed."""
        return [m for m in self.members.values() if m.running]

    def believes_dead(self, observer: _Member, name: str) -> bool:
        """Return whether `observer` considers the member `name` dead."""
        record = observer.view.members[name]
        return record.status is state.MemberStatus.DEAD

    def false_deaths(self) -> int:
        """Count views of running members in which a running member is dead."""
        return sum(
            self.believes_dead(observer, other.name)
            for observer in self.running()
            for other in self.running()
        )


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return the report: one row per size, and the partition experiment."""
    rows = []
    for size, data_centres in SMALL_SIZES if small else SIZES:
        print(
            f"{size} members in {data_centres} data centres", file=sys.stderr
        )
        rows.append(_measure(seed, size, data_centres))
    print("one data centre partitioned for 10 minutes", file=sys.stderr)
    return {
        "experiment": "membership",
        "seed": seed,
        "sizes": rows,
        "cut_off": _measure_partition(seed, small),
    }


def _measure(seed: int, size: int, data_centres: int) -> dict[str, typing.Any]:
    fleet = Fleet(seed, size, data_centres, LOSS_SHARE)
    started_s = time.process_time()
    fleet.queue.run_for(STEADY_MS)
    cpu_s = time.process_time() - started_s
    steady_messages, steady_bytes = fleet.messages, fleet.bytes
    false_deaths = _measure_false_deaths(fleet)
    crash_ms, first_ms = _measure_detection(fleet)
    dissemination_ms = _measure_dissemination(fleet)
    seconds = STEADY_MS / MS_PER_S
    return {
        "members": size,
        "data_centres": data_centres,
        "messages_per_s": round(steady_messages / size / seconds, 1),
        "bytes_per_s": round(steady_bytes / size / seconds),
        "baseline_messages_per_s": (size - 1) * MS_PER_S // HEARTBEAT_MS,
        "cpu_share_percent": round(100 * cpu_s / seconds / size, 3),
        "false_deaths": false_deaths,
        "crash_first_known_ms": first_ms,
        "crash_known_in_data_centre_ms": crash_ms,
        "rumour_known_everywhere_ms": dissemination_ms,
    }


def _measure_false_deaths(fleet: Fleet) -> int:
    """Pause a tenth of the members in turn; return the most false deaths."""
    worst = 0
    chosen = fleet.rng.sample(
        sorted(fleet.members), max(1, len(fleet.members) // 10)
    )
    for name in chosen[:10]:
        fleet.members[name].pause(PAUSE_MS)
        for _ in range(16):
            fleet.queue.run_for(250)
            worst = max(worst, fleet.false_deaths())
    return worst


def _measure_detection(fleet: Fleet) -> tuple[int, int]:
    """Return when all neighbours, and the first one, have detected a crash."""
    victim = fleet.members[fleet.rng.choice(sorted(fleet.members))]
    victim.running = False
    neighbours = [
        m for m in fleet.running() if _data_centre(m) == _data_centre(victim)
    ]
    first_ms = fleet.queue.run_until(
        lambda: any(fleet.believes_dead(m, victim.name) for m in neighbours),
        20_000,
        10,
    )
    rest_ms = fleet.queue.run_until(
        lambda: all(fleet.believes_dead(m, victim.name) for m in neighbours),
        20_000,
        10,
    )
    return first_ms + rest_ms, first_ms


def _measure_dissemination(fleet: Fleet) -> int:
    """Return when a gossip update has reached all running members."""
    source = fleet.running()[0]
    update = state.LeavingUpdate("engine-1", 1)
    source.view.on_update(update)
    return fleet.queue.run_until(
        lambda: all(
            m.update_store.get(update.key) is not None for m in fleet.running()
        ),
        60_000,
        10,
    )


def _measure_partition(seed: int, small: bool) -> dict[str, typing.Any]:
    """Partition one of three data centres and measure recovery afterwards."""
    fleet = Fleet(seed, 12, 3, LOSS_SHARE)
    fleet.queue.run_for(2_000)
    fleet.partitioned = {"centre-0"}
    inside = fleet.members["m0"]
    outside = fleet.members["m1"]
    inside.view.on_update(state.LeavingUpdate("inside", 1))
    outside.view.on_update(state.LeavingUpdate("outside", 1))
    fleet.queue.run_for(PARTITION_MS // (20 if small else 1))
    crossed = any(
        m.update_store.get(("leaving", "outside"))
        for m in fleet.running()
        if _data_centre(m) == "centre-0"
    )
    fleet.partitioned = set()
    recovered_ms = fleet.queue.run_until(
        lambda: all(
            m.update_store.get(("leaving", name)) is not None
            for m in fleet.running()
            for name in ("inside", "outside")
        ),
        60_000,
        10,
    )
    return {
        "members": 12,
        "data_centres": 3,
        "crossed_while_cut": crossed,
        "both_sides_know_ms": recovered_ms,
        "false_deaths": fleet.false_deaths(),
    }


def _data_centre(member: _Member) -> str:
    return member.view.own_record.location.data_centre


def _record(number: int, data_centre: int) -> state.MemberRecord:
    address = state.Address("10.0.0.1", 1_000 + number)
    return state.MemberRecord(
        f"m{number}",
        1_700_000_000_000 + number,
        0,
        state.MemberStatus.ALIVE,
        address,
        address,
        state.Location(f"region-{data_centre % 4}", f"centre-{data_centre}"),
    )
