"""Probes in flight and their timeouts."""

import dataclasses

from poplarloft.coordination import gossip
from poplarloft import state

__all__ = ["Probe", "ProbeTable"]


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
        Timeouts.
    """

    def __init__(
        self, clock: state.Clock, settings: gossip.MembershipSettings
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.probes: dict[int, Probe] = {}
        self.sequence = 0

    def begin(self, target: str, is_final: bool) -> Probe:
        """Add a probe; a final one counts as already sent indirectly."""
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
