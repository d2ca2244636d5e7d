"""Membership at several sizes: detection, false deaths, spread, cost.

Deterministic for a seed but for the processor time. The network delays
1 ms within a data centre and 30 ms between them, and loses messages.
The baseline sends a heartbeat to every other member each second.
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
LOSS = 0.05
PAUSE_MS = 2_000
QUIET_MS = 8_000
NEAR_MS = 1
FAR_MS = 30
HEARTBEAT_MS = 1_000
MS_PER_S = 1_000
CUT_OFF_MS = 600_000


class _Member:
    """One member and whether its process runs."""

    def __init__(self, fleet: "Fleet", record: state.MemberRecord) -> None:
        self.fleet = fleet
        self.rumours = coordination.UpdateStore()
        rng = random.Random(fleet.rng.getrandbits(32))
        self.view = coordination.Membership(
            fleet.queue.clock, rng, record, self.rumours
        )
        self.running = True
        self.paused_inbox: list[tuple[str, typing.Any]] = []
        self.paused = False
        self.wake_number = 0
        self.learnt: set[tuple[str, str]] = set()

    @property
    def name(self) -> str:
        return self.view.own_record.name

    def wake(self, number: int) -> None:
        """Tick, unless a later wake-up has been set since."""
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
        for rumour in getattr(message, "updates", ()):
            if self.view.on_update(rumour):
                self.learnt.add(rumour.key)
        self.perform(self._answer(sender, message))

    def _answer(self, sender: str, message: typing.Any) -> list[typing.Any]:
        view = self.view
        match message:
            case coordination.SendPing(_, sequence, behalf, _):
                return list(view.on_ping(sender, sequence, behalf))
            case coordination.SendAck(_, sequence, behalf, target, _):
                return list(view.on_ack(sequence, behalf, target))
            case coordination.SendPingRequest(_, target, sequence, _):
                return list(view.on_ping_request(sender, target, sequence))
            case coordination.SendDigest(_, digest, is_answer):
                return list(view.on_digest(sender, digest, is_answer))
        return []

    def pause(self, duration_ms: int) -> None:
        """Stop the process for a time, as a long pause would."""
        self.paused = True
        self.fleet.queue.after(duration_ms, self.resume)

    def resume(self) -> None:
        self.paused = False
        inbox, self.paused_inbox = self.paused_inbox, []
        self.perform(self.view.tick())
        self.set_wake()
        for sender, message in inbox:
            self.receive(sender, message)


class Fleet:
    """Members of several data centres on a lossy network."""

    def __init__(
        self, seed: int, size: int, centres: int, loss: float
    ) -> None:
        self.rng = random.Random(seed)
        self.queue = events.EventQueue()
        self.loss = loss
        self.cut_off: set[str] = set()
        self.messages = 0
        self.bytes = 0
        self.members: dict[str, _Member] = {}
        records = [_record(n, n % centres) for n in range(size)]
        for record in records:
            self.members[record.name] = _Member(self, record)
        for member in self.members.values():
            for record in records:
                member.view.on_update(record)
            member.rumours.pending.clear()
            self.queue.after(self.rng.randrange(200), member.set_wake)

    def send(self, sender: _Member, to: str, message: typing.Any) -> None:
        """Deliver a message after the delay of the distance, or lose it."""
        self.messages += 1
        self.bytes += len(peers.encode_peer_message(sender.name, message))
        target = self.members.get(to)
        if target is None or self.rng.random() < self.loss:
            return
        near = _centre(sender) == _centre(target)
        if not near and self.cut_off & {_centre(sender), _centre(target)}:
            return
        delay_ms = NEAR_MS if near else FAR_MS
        self.queue.after(
            delay_ms, lambda: target.receive(sender.name, message)
        )

    def running(self) -> list[_Member]:
        """Return the members whose process runs."""
        return [m for m in self.members.values() if m.running]

    def holds_for_dead(self, observer: _Member, name: str) -> bool:
        """Tell whether `observer` believes `name` to be dead."""
        record = observer.view.members[name]
        return record.status is state.MemberStatus.DEAD

    def false_deaths(self) -> int:
        """Count beliefs that a running member is dead."""
        return sum(
            self.holds_for_dead(observer, other.name)
            for observer in self.running()
            for other in self.running()
        )


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return the figures at each size, and of the cut-off."""
    rows = []
    for size, centres in SMALL_SIZES if small else SIZES:
        print(f"{size} members in {centres} data centres", file=sys.stderr)
        rows.append(_measure(seed, size, centres))
    print("a data centre cut off for 10 minutes", file=sys.stderr)
    return {
        "experiment": "membership",
        "seed": seed,
        "sizes": rows,
        "cut_off": _measure_cut_off(seed, small),
    }


def _measure(seed: int, size: int, centres: int) -> dict[str, typing.Any]:
    fleet = Fleet(seed, size, centres, LOSS)
    begun_s = time.process_time()
    fleet.queue.run_for(QUIET_MS)
    spent_s = time.process_time() - begun_s
    quiet_messages, quiet_bytes = fleet.messages, fleet.bytes
    false_deaths = _pause_some(fleet)
    crash_ms, first_ms = _crash_one(fleet)
    reach_ms = _spread_one(fleet)
    seconds = QUIET_MS / MS_PER_S
    return {
        "members": size,
        "data_centres": centres,
        "messages_per_s": round(quiet_messages / size / seconds, 1),
        "bytes_per_s": round(quiet_bytes / size / seconds),
        "baseline_messages_per_s": (size - 1) * MS_PER_S // HEARTBEAT_MS,
        "cpu_share_percent": round(100 * spent_s / seconds / size, 3),
        "false_deaths": false_deaths,
        "crash_first_known_ms": first_ms,
        "crash_known_in_data_centre_ms": crash_ms,
        "rumour_known_everywhere_ms": reach_ms,
    }


def _pause_some(fleet: Fleet) -> int:
    """Pause a tenth of the members in turn; count false deaths."""
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


def _crash_one(fleet: Fleet) -> tuple[int, int]:
    """Return when all neighbours, and the first one, know of a crash."""
    victim = fleet.members[fleet.rng.choice(sorted(fleet.members))]
    victim.running = False
    neighbours = [m for m in fleet.running() if _centre(m) == _centre(victim)]
    first_ms = fleet.queue.run_until(
        lambda: any(fleet.holds_for_dead(m, victim.name) for m in neighbours),
        20_000,
        10,
    )
    rest_ms = fleet.queue.run_until(
        lambda: all(fleet.holds_for_dead(m, victim.name) for m in neighbours),
        20_000,
        10,
    )
    return first_ms + rest_ms, first_ms


def _spread_one(fleet: Fleet) -> int:
    """Return when a rumour has reached all running members."""
    source = fleet.running()[0]
    rumour = state.LeavingUpdate("engine-1", 1)
    source.view.on_update(rumour)
    return fleet.queue.run_until(
        lambda: all(
            m.rumours.get(rumour.key) is not None for m in fleet.running()
        ),
        60_000,
        10,
    )


def _measure_cut_off(seed: int, small: bool) -> dict[str, typing.Any]:
    """Cut one of three data centres off; see both sides learn after."""
    fleet = Fleet(seed, 12, 3, LOSS)
    fleet.queue.run_for(2_000)
    fleet.cut_off = {"centre-0"}
    inside = fleet.members["m0"]
    outside = fleet.members["m1"]
    inside.view.on_update(state.LeavingUpdate("inside", 1))
    outside.view.on_update(state.LeavingUpdate("outside", 1))
    fleet.queue.run_for(CUT_OFF_MS // (20 if small else 1))
    crossed = any(
        m.rumours.get(("leaving", "outside"))
        for m in fleet.running()
        if _centre(m) == "centre-0"
    )
    fleet.cut_off = set()
    healed_ms = fleet.queue.run_until(
        lambda: all(
            m.rumours.get(("leaving", name)) is not None
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
        "both_sides_know_ms": healed_ms,
        "false_deaths": fleet.false_deaths(),
    }


def _centre(member: _Member) -> str:
    return member.view.own_record.location.data_centre


def _record(number: int, centre: int) -> state.MemberRecord:
    address = state.Address("10.0.0.1", 1_000 + number)
    return state.MemberRecord(
        f"m{number}",
        1_700_000_000_000 + number,
        0,
        state.MemberStatus.ALIVE,
        address,
        address,
        state.Location(f"region-{centre % 4}", f"centre-{centre}"),
    )
