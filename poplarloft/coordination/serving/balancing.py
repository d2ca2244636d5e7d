"""Chooses an upstream for a single request."""

from collections import abc
import dataclasses
import random
import typing

from poplarloft import state

__all__ = ["Balancer", "LeastExpectedTime", "UpstreamLoad"]

FAILURE_PENALTY_MS = 1_000
FAILURE_MEMORY_MS = 3_000
SMOOTHING = 0.3
FORGET_MS = 5_000
FIRST_GUESS_MS = 100.0


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """What this instance has seen of one upstream."""

    in_flight: int = 0
    answer_ms: float | None = None
    answered_at_ms: int = 0
    doubted_until_ms: int = 0


class Balancer(typing.Protocol):
    """Chooses among upstreams of one service."""

    def choose(
        self,
        samplers: abc.Sequence[state.Sampler],
        excluded: abc.Collection[str],
    ) -> state.Sampler | None:
        """Return one that is not excluded, None if there is none."""


class LeastExpectedTime:
    """Chooses the upstream that is expected to answer first.

    The expectation is the network's time, and the upstream's recent
    answer time, which grows with the requests in flight there.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    rng : random.Random
        Breaks ties.
    network_ms : callable
        Returns the time to a data centre and back in milliseconds.
    """

    def __init__(
        self,
        clock: state.Clock,
        rng: random.Random,
        network_ms: abc.Callable[[str], float],
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.network_ms = network_ms
        self.loads: dict[tuple[str, int], UpstreamLoad] = {}

    def choose(
        self,
        samplers: abc.Sequence[state.Sampler],
        excluded: abc.Collection[str],
    ) -> state.Sampler | None:
        """Return the one with the least expected time."""
        candidates = [s for s in samplers if s.name not in excluded]
        if not candidates:
            return None
        typical_ms = self._typical_ms(candidates)
        return min(
            candidates,
            key=lambda s: (
                self._expected_ms(s, typical_ms),
                self.rng.random(),
            ),
        )

    def load_of(self, sampler: state.Sampler) -> UpstreamLoad:
        """Return what was seen of an upstream since its start."""
        return self.loads.setdefault(sampler.engine_id, UpstreamLoad())

    def on_send(self, sampler: state.Sampler) -> None:
        """Note a request in flight."""
        self.load_of(sampler).in_flight += 1

    def on_end(self, sampler: state.Sampler) -> None:
        """Note the end of a request, whatever it was."""
        self.load_of(sampler).in_flight -= 1

    def on_answer(self, sampler: state.Sampler, duration_ms: float) -> None:
        """Note the time of a whole answer."""
        load = self.load_of(sampler)
        before_ms = duration_ms if load.answer_ms is None else load.answer_ms
        load.answer_ms = before_ms + SMOOTHING * (duration_ms - before_ms)
        load.answered_at_ms = self.clock.now_ms()
        load.doubted_until_ms = 0

    def on_failure(self, sampler: state.Sampler) -> None:
        """Note a failed request."""
        until_ms = self.clock.now_ms() + FAILURE_MEMORY_MS
        self.load_of(sampler).doubted_until_ms = until_ms

    def _typical_ms(self, samplers: abc.Sequence[state.Sampler]) -> float:
        seen = [
            load.answer_ms
            for load in map(self.load_of, samplers)
            if load.answer_ms is not None
        ]
        return sorted(seen)[len(seen) // 2] if seen else FIRST_GUESS_MS

    def _expected_ms(self, sampler: state.Sampler, typical_ms: float) -> float:
        load = self.load_of(sampler)
        now_ms = self.clock.now_ms()
        answer_ms = typical_ms
        if load.answer_ms is not None:
            answer_ms = load.answer_ms
            if now_ms - load.answered_at_ms > FORGET_MS:
                answer_ms = min(answer_ms, typical_ms)
        waiting = load.in_flight / max(1, sampler.slots)
        expected_ms = answer_ms * (1 + waiting)
        if now_ms < load.doubted_until_ms:
            expected_ms += FAILURE_PENALTY_MS
        return expected_ms + self.network_ms(sampler.data_centre)
