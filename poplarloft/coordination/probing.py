"""Probes in flight, their timeouts and the order of their targets."""

import dataclasses
import random

from poplarloft.coordination import gossip
from poplarloft import state

__all__ = ["Probe", "ProbeOrder", "ProbeTable"]


@dataclasses.dataclass(slots=True)
class Probe:
    """One probe in flight; `is_final` marks the final one of a suspect."""

    target: str
    sequence: int
    sent_at_ms: int
    indirect_sent: bool = False
    is_final: bool = False


class ProbeTable:
    """The probes that one member has in flight.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    settings : gossip.MembershipSettings
        Timeouts of probes.
    """

    def __init__(
        self, clock: state.Clock, settings: gossip.MembershipSettings
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.probes: dict[int, Probe] = {}
        self.sequence = 0

    def begin(self, target: str, is_final: bool) -> Probe:
        """Add a probe; a final one is also sent indirectly at once."""
        self.sequence += 1
        probe = Probe(
            target,
            self.sequence,
            self.clock.now_ms(),
            indirect_sent=is_final,
            is_final=is_final,
        )
        self.probes[self.sequence] = probe
        return probe

    def remove(self, sequence: int) -> bool:
        """Remove a probe; return whether it was in flight."""
        return self.probes.pop(sequence, None) is not None

    def shift(self, duration_ms: int) -> None:
        """Postpone all deadlines, after this member was paused."""
        for probe in self.probes.values():
            probe.sent_at_ms += duration_ms

    def overdue(self, health_score: int) -> list[Probe]:
        """Return the probes whose current timeout has passed."""
        now_ms = self.clock.now_ms()
        return [
            probe
            for probe in self.probes.values()
            if self._deadline_ms(probe, health_score) <= now_ms
        ]

    def deadlines_ms(self, health_score: int) -> list[int]:
        """Return the current deadline of each probe."""
        return [
            self._deadline_ms(p, health_score) for p in self.probes.values()
        ]

    def _deadline_ms(self, probe: Probe, health_score: int) -> int:
        settings = self.settings
        if probe.is_final:
            return probe.sent_at_ms + settings.final_timeout_ms
        timeout_ms = settings.probe_timeout_ms
        if not probe.indirect_sent:
            timeout_ms = settings.direct_timeout_ms
        return probe.sent_at_ms + timeout_ms * (1 + health_score)


class ProbeOrder:
    """The order in which members are probed.

    All peers are probed once in random order before any is probed again.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.remaining: list[str] = []

    def next_target(self, peers: list[str]) -> str | None:
        """Return the next of the live peers, None if there are none."""
        while self.remaining:
            name = self.remaining.pop()
            if name in peers:
                return name
        self.remaining = list(peers)
        self.rng.shuffle(self.remaining)
        return self.remaining.pop() if self.remaining else None
