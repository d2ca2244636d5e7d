"""Load balancing of single requests across upstreams."""

from collections import abc
import dataclasses
import random
import typing

from poplarloft import state

__all__ = ["Balancer", "LeastExpectedTime", "UpstreamLoad"]

FAILURE_PENALTY_MS = 1_000
FAILURE_PENALTY_DURATION_MS = 3_000
SMOOTHING = 0.3
MEASUREMENT_EXPIRY_MS = 5_000
INITIAL_RESPONSE_MS = 100.0


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """Load and response times of one upstream, as this instance saw them."""

    in_flight: int = 0
    response_ms: float | None = None
    measured_at_ms: int = 0
    penalized_until_ms: int = 0


class Balancer(typing.Protocol):
    """Choose among the upstreams of one service."""

    def choose(
        self,
        samplers: abc.Sequence[state.Sampler],
        excluded: abc.Collection[str],
    ) -> state.Sampler | None:
        """Return an upstream that is not excluded, or None."""


class LeastExpectedTime:
    """Choose the upstream with the least expected response time.

    The expected time is the network round trip plus the upstream's recent
    response time, scaled up by the requests in flight per slot.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    rng : random.Random
        Breaks ties.
    network_ms : callable
        Return the round-trip time to a data centre, in milliseconds.
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
        """Return the upstream with the least expected time, or None."""
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
        """Return the load of an upstream since it started."""
        return self.loads.setdefault(sampler.engine_id, UpstreamLoad())

    def on_send(self, sampler: state.Sampler) -> None:
        """Count a request as in flight."""
        self.load_of(sampler).in_flight += 1

    def on_end(self, sampler: state.Sampler) -> None:
        """Count a request as ended, whatever its outcome."""
        self.load_of(sampler).in_flight -= 1

    def on_answer(self, sampler: state.Sampler, duration_ms: float) -> None:
        """Update the average with the duration of a complete response."""
        load = self.load_of(sampler)
        previous_ms = (
            duration_ms if load.response_ms is None else load.response_ms
        )
        load.response_ms = previous_ms + SMOOTHING * (
            duration_ms - previous_ms
        )
        load.measured_at_ms = self.clock.now_ms()
        load.penalized_until_ms = 0

    def on_failure(self, sampler: state.Sampler) -> None:
        """Penalize an upstream for `FAILURE_PENALTY_DURATION_MS`."""
        until_ms = self.clock.now_ms() + FAILURE_PENALTY_DURATION_MS
        self.load_of(sampler).penalized_until_ms = until_ms

    def _typical_ms(self, samplers: abc.Sequence[state.Sampler]) -> float:
        measured = [
            load.response_ms
            for load in map(self.load_of, samplers)
            if load.response_ms is not None
        ]
        return (
            sorted(measured)[len(measured) // 2]
            if measured
            else INITIAL_RESPONSE_MS
        )

    def _expected_ms(self, sampler: state.Sampler, typical_ms: float) -> float:
        load = self.load_of(sampler)
        now_ms = self.clock.now_ms()
        response_ms = typical_ms
        if load.response_ms is not None:
            response_ms = load.response_ms
            if now_ms - load.measured_at_ms > MEASUREMENT_EXPIRY_MS:
                response_ms = min(response_ms, typical_ms)
        waiting = load.in_flight / max(1, sampler.slots)
        expected_ms = response_ms * (1 + waiting)
        if now_ms < load.penalized_until_ms:
            expected_ms += FAILURE_PENALTY_MS
        return expected_ms + self.network_ms(sampler.data_centre)
