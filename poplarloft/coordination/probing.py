"""Probes that wait for their answers."""

import dataclasses

from poplarloft.coordination import gossip
from poplarloft import state

__all__ = ["Probe", "ProbeTable"]


@dataclasses.dataclass(slots=True)
class Probe:
    """One probe under way; the last one of a suspect is told apart."""

    target: str
    sequence: int
    sent_at_ms: int
    indirect_sent: bool = False
    is_last: bool = False


class ProbeTable:
    """The probes of one member.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    settings : gossip.MembershipSettings
        Waiting times.
    """

    def __init__(
        self, clock: state.Clock, settings: gossip.MembershipSettings
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.probes: dict[int, Probe] = {}
        self.sequence = 0

    def begin(self, target: str, is_last: bool) -> Probe:
        """Add a probe; the last one goes out indirectly at once."""
        self.sequence += 1
        probe = Probe(
            target,
            self.sequence,
            self.clock.now_ms(),
            indirect_sent=is_last,
            is_last=is_last,
        )
        self.probes[self.sequence] = probe
        return probe

    def answer(self, sequence: int) -> bool:
        """Take a probe off the table; tell whether it was there."""
        return self.probes.pop(sequence, None) is not None

    def shift(self, duration_ms: int) -> None:
        """Move all deadlines by a pause of this member."""
        for probe in self.probes.values():
            probe.sent_at_ms += duration_ms

    def overdue(self, health: int) -> list[Probe]:
        """Return the probes whose present wait is over."""
        now_ms = self.clock.now_ms()
        return [
            probe
            for probe in self.probes.values()
            if self._deadline_ms(probe, health) <= now_ms
        ]

    def deadlines_ms(self, health: int) -> list[int]:
        """Return when each probe's present wait ends."""
        return [self._deadline_ms(p, health) for p in self.probes.values()]

    def _deadline_ms(self, probe: Probe, health: int) -> int:
        settings = self.settings
        if probe.is_last:
            return probe.sent_at_ms + settings.last_timeout_ms
        wait_ms = settings.probe_timeout_ms
        if not probe.indirect_sent:
            wait_ms = settings.direct_timeout_ms
        return probe.sent_at_ms + wait_ms * (1 + health)
