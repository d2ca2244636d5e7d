"""Whether an upstream's run has ended where a connection to it was lost.

A lost connection alone tells nothing: the network may have reset it. The
run has ended if nobody listens at its address, if another run answers there
or is announced under its name, or if its announcement is removed while
probes get no answer. An upstream that had been leaving, or was no longer
announced, when the connection was lost has ended as planned.
"""

import dataclasses
import enum

from poplarloft.coordination.serving.requests import registry
from poplarloft.coordination.serving.rollouts import engine_view
from poplarloft import state

__all__ = ["LostRuns", "RunVerdict", "VerdictKind"]

WATCH_MS = 10_000  # an announcement that is not renewed is gone by then
ANSWERED_WATCH_MS = 3_000  # until a restarted upstream is announced anew


class VerdictKind(enum.Enum):
    """Whether a run has crashed, goes on, or left as planned."""

    CRASHED = "crashed"
    ALIVE = "alive"


@dataclasses.dataclass(frozen=True, slots=True)
class RunVerdict:
    """Conclusion on one run of an upstream, and the evidence for it.

    Parameters
    ----------
    age_ms : int
        Time since the first connection was lost.
    """

    engine_id: engine_view.EngineId
    kind: VerdictKind
    evidence: str
    age_ms: int


@dataclasses.dataclass(slots=True)
class _LostRun:
    """A run to which a connection was lost, until there is a verdict."""

    sampler: state.Sampler
    lost_at_ms: int
    until_ms: int
    has_answered: bool = False


class LostRuns:
    """The runs of upstreams on which there is no verdict yet.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    samplers : registry.SamplerRegistry
        The upstreams as they are announced.
    """

    def __init__(
        self, clock: state.Clock, samplers: registry.SamplerRegistry
    ) -> None:
        self.clock = clock
        self.samplers = samplers
        self.pending: dict[engine_view.EngineId, _LostRun] = {}

    def on_lost(self, sampler: state.Sampler) -> RunVerdict | None:
        """Record the loss of a connection; return a verdict if it is clear.

        Without one, the run is to be probed.
        """
        now_ms = self.clock.now_ms()
        known = self.samplers.known.get(sampler.name)
        lost = _LostRun(sampler, now_ms, now_ms + WATCH_MS)
        self.pending.setdefault(sampler.engine_id, lost)
        if known is not None and known.born_ms != sampler.born_ms:
            return self._conclude(sampler.engine_id, "announced-anew")
        said_so = sampler.engine_id in self.samplers.leaving_since_ms
        if said_so or (known is not None and known.is_leaving):
            return self._discard(sampler.engine_id, "was-leaving")
        if not self.samplers.is_current(sampler):
            return self._discard(sampler.engine_id, "was-removed")
        return None

    def on_probe(
        self, engine_id: engine_view.EngineId, outcome: state.ProbeOutcome
    ) -> RunVerdict | None:
        """Return the verdict that a probe allows, if any."""
        lost = self.pending.get(engine_id)
        if lost is None:
            return None
        match outcome:
            case state.ProbeOutcome.REFUSED | state.ProbeOutcome.OTHER_RUN:
                return self._conclude(engine_id, outcome.value)
            case state.ProbeOutcome.SAME_RUN:
                return self._discard(engine_id, outcome.value)
            case state.ProbeOutcome.ANSWERED:
                lost.has_answered = True
                lost.until_ms = self.clock.now_ms() + ANSWERED_WATCH_MS
        return None

    def on_announcements(self) -> list[RunVerdict]:
        """Return the verdicts that the current announcements allow."""
        verdicts = []
        for engine_id, lost in list(self.pending.items()):
            known = self.samplers.known.get(lost.sampler.name)
            if known is not None and known.is_leaving:
                verdicts.append(self._discard(engine_id, "leaving"))
            elif known is not None and known.born_ms != lost.sampler.born_ms:
                verdicts.append(self._conclude(engine_id, "announced-anew"))
            elif (
                not self.samplers.is_current(lost.sampler)
                and not lost.has_answered
            ):
                verdicts.append(self._conclude(engine_id, "removed-silent"))
        return verdicts

    def expire(self) -> list[RunVerdict]:
        """Return verdicts on runs of which nothing was heard in time."""
        now_ms = self.clock.now_ms()
        return [
            self._discard(engine_id, "no-evidence")
            for engine_id, lost in list(self.pending.items())
            if lost.until_ms <= now_ms
        ]

    def to_probe(self) -> list[state.Sampler]:
        """Return the upstreams that have not answered a probe."""
        return [
            lost.sampler
            for lost in self.pending.values()
            if not lost.has_answered
        ]

    def _conclude(
        self, engine_id: engine_view.EngineId, evidence: str
    ) -> RunVerdict:
        return self._verdict(engine_id, VerdictKind.CRASHED, evidence)

    def _discard(
        self, engine_id: engine_view.EngineId, evidence: str
    ) -> RunVerdict:
        return self._verdict(engine_id, VerdictKind.ALIVE, evidence)

    def _verdict(
        self,
        engine_id: engine_view.EngineId,
        kind: VerdictKind,
        evidence: str,
    ) -> RunVerdict:
        lost = self.pending.pop(engine_id)
        age_ms = self.clock.now_ms() - lost.lost_at_ms
        return RunVerdict(engine_id, kind, evidence, age_ms)
