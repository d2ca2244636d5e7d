"""Measure trainer idle time, staleness and waste by lot policy.

A discrete-event simulation, deterministic for a seed, of one lot on a pool
of engines, for two distributions of output lengths. The lengths are
heavy-tailed, some engines are slow, and the engine with the longest-running
generation, the worst one to lose, crashes every `CRASH_EVERY_STEPS` steps.
The trainer takes a fixed time per step and then publishes a weight version,
to which the engines switch after `SWITCH_LAG_MS`.
"""

import dataclasses
import random
import sys
import typing

from benchmarks import events
from poplarloft import coordination
from poplarloft import state

__all__ = ["run"]

GROUPS = 16
PER_GROUP = 8
STEPS = 30
SMALL_STEPS = 8
ENGINES = 8
STREAMS = 8
TOKEN_MS = 2.0
TRAIN_MS = 6_000
SWITCH_LAG_MS = 1_000
SLOW_ENGINES = 1
SLOW_FACTOR = 3.0
MEDIAN_TOKENS = 400
MAX_TOKENS = 8_000
STALENESS_BOUND = 2
POLL_MS = 100
CRASH_EVERY_STEPS = 5
RESTART_MS = 3_000
SCORE_MS = 5


@dataclasses.dataclass(frozen=True)
class _Policy:
    """Policy by which a lot is run.

    Parameters
    ----------
    staleness : int
        Planned staleness; with 0 no samples are generated ahead of their
        step.
    extra : int, optional
        Samples generated per group beyond those that a step needs.
    """

    name: str
    staleness: int
    redispatch: bool
    extra: int = 0


POLICIES = (
    _Policy("idle-weighted", 2, True),
    _Policy("even", 1, True),
    _Policy("staleness-weighted", 0, True),
    _Policy("no-redispatch", 2, False),
    _Policy("neither", 0, False),
    _Policy("over-provisioned", 0, False, extra=2),
)
SMALL_POLICIES = (POLICIES[0], POLICIES[1], POLICIES[2], POLICIES[4])


class _Generation:
    """Generation in flight on an engine."""

    def __init__(self, engine: int, length: int, started_ms: int) -> None:
        self.engine = engine
        self.length = length
        self.started_ms = started_ms
        self.cancelled = False


class _Simulation:
    """Simulation of one policy under one distribution of lengths."""

    def __init__(self, seed: int, policy: _Policy, distribution: str) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.policy = policy
        self.distribution = distribution
        self.queue = events.EventQueue()
        per_group = PER_GROUP + policy.extra
        self.lot = state.LotBody(
            "pool",
            "m",
            "s",
            ("p",),
            GROUPS,
            per_group,
            10_000,
            STALENESS_BOUND,
        )
        self.redispatch: coordination.RedispatchPolicy = (
            coordination.NoRedispatch()
        )
        if policy.redispatch:
            self.redispatch = coordination.RateRedispatch()
        self.planner = coordination.LotPlanner(
            self.queue.clock,
            "lot",
            self.lot,
            self.redispatch,
            policy.staleness,
        )
        self.collector = coordination.StepCollector(
            "lot", "t#1", GROUPS, per_group, STALENESS_BOUND
        )
        self.engine_version = 0
        self.down: set[int] = set()
        self.generations: dict[int, _Generation] = {}
        self.version_at: dict[int, int] = {}
        self.idle_ms = 0
        self.waiting_since_ms = self.queue.clock.now_ms()
        self.staleness: list[int] = []
        self.generated_tokens = 0
        self.wasted_tokens = 0
        self.training = False

    def measure(self, steps: int) -> dict[str, typing.Any]:
        """Run for `steps` steps and return the figures."""
        self._poll()
        while self.collector.step < steps:
            self.queue.run_for(1_000)
        ordered = sorted(self.staleness)
        return {
            "policy": self.policy.name,
            "lengths": self.distribution,
            "idle_ms_per_step": round(self.idle_ms / steps),
            "staleness_mean": round(sum(ordered) / len(ordered), 2),
            "staleness_p99": ordered[int(len(ordered) * 0.99)],
            "waste_percent": round(
                100 * self.wasted_tokens / self.generated_tokens, 1
            ),
        }

    def _poll(self) -> None:
        """Plan and, while the trainer is idle, pull samples for its step."""
        self._plan()
        if not self.training:
            offer = self.planner.on_pull(self.collector.next_pull())
            self.wasted_tokens += sum(len(s.tokens) for s in offer.stale)
            self._receive(offer.samples)
        self.queue.after(POLL_MS, self._poll)

    def _receive(self, samples: tuple[state.Sample, ...]) -> None:
        version = self.collector.weight_version
        for sample in self.collector.on_samples(samples):
            self.staleness.append(version - sample.oldest_version)
        if self._has_enough_samples():
            self._train()

    def _has_enough_samples(self) -> bool:
        """Return whether each group has the samples that a step needs."""
        counts = dict.fromkeys(range(GROUPS), 0)
        for group, _ in self.collector.held:
            counts[group] += 1
        return min(counts.values()) >= PER_GROUP

    def _train(self) -> None:
        now_ms = self.queue.clock.now_ms()
        self.idle_ms += now_ms - self.waiting_since_ms
        self.training = True
        step = self.collector.step
        self._drop_extras()
        self.collector.held = {}
        self.collector.step = step + 1
        # The trainer requests the next step while it trains.
        self.planner.on_pull(self.collector.next_pull())
        self.queue.after(TRAIN_MS, self._finish_training)
        if step % CRASH_EVERY_STEPS == CRASH_EVERY_STEPS - 1:
            self.queue.after(TRAIN_MS + 1_500, self._crash)

    def _drop_extras(self) -> None:
        """Count the tokens of surplus samples of the step as wasted."""
        kept = dict.fromkeys(range(GROUPS), 0)
        for (group, _), sample in self.collector.held.items():
            kept[group] += 1
            if kept[group] > PER_GROUP:
                self.wasted_tokens += len(sample.tokens)

    def _finish_training(self) -> None:
        self.training = False
        self.waiting_since_ms = self.queue.clock.now_ms()
        version = self.collector.weight_version + 1
        self.collector.publish(version)
        self.queue.after(SWITCH_LAG_MS, lambda: self._switch_engines(version))

    def _switch_engines(self, version: int) -> None:
        self.engine_version = version

    def _plan(self) -> None:
        for attempt, generation in self.generations.items():
            self.planner.on_progress(attempt, self._tokens_so_far(generation))
        free = ENGINES * STREAMS - len(self.generations)
        free -= len(self.down) * STREAMS
        for action in self.planner.plan(max(0, free)):
            self._perform(action)

    def _perform(self, action: coordination.LotAction) -> None:
        match action:
            case coordination.GenerateSample():
                self._start_generation(action)
            case coordination.CancelSample(attempt=attempt):
                self._cancel(attempt)
            case coordination.ScoreSample(attempt=attempt):
                self.queue.after(SCORE_MS, lambda: self._scored(attempt))

    def _start_generation(self, action: coordination.GenerateSample) -> None:
        if self.engine_version < action.min_version:
            self.planner.on_generation_failed(action.attempt, 0)
            return
        engine = self._least_busy()
        length = self._draw_length(action.slot)
        generation = _Generation(engine, length, self.queue.clock.now_ms())
        self.generations[action.attempt] = generation
        self.version_at[action.attempt] = self.engine_version
        factor = SLOW_FACTOR if engine < SLOW_ENGINES else 1.0
        duration_ms = round(length * TOKEN_MS * factor)
        self.queue.after(
            duration_ms,
            lambda: self._finish_generation(action.attempt, generation),
        )

    def _scored(self, attempt: int) -> None:
        self.planner.on_scored(attempt, 0.0)

    def _least_busy(self) -> int:
        counts = {n: 0 for n in range(ENGINES) if n not in self.down}
        for generation in self.generations.values():
            if generation.engine in counts:
                counts[generation.engine] += 1
        least = min(counts.values())
        return self.rng.choice([n for n in counts if counts[n] == least])

    def _draw_length(self, slot: state.Slot) -> int:
        """Draw the output length of a slot; a redispatch gets the same one."""
        rng = random.Random(f"{self.seed} {slot}")
        if self.distribution == "log-normal":
            drawn = MEDIAN_TOKENS * rng.lognormvariate(0.0, 0.8)
        else:
            # 1.47 is the median of the Pareto distribution of shape 1.8.
            drawn = MEDIAN_TOKENS * rng.paretovariate(1.8) / 1.47
        return max(1, min(MAX_TOKENS, int(drawn)))

    def _tokens_so_far(self, generation: _Generation) -> int:
        """Return the number of tokens generated so far."""
        factor = SLOW_FACTOR if generation.engine < SLOW_ENGINES else 1.0
        elapsed_ms = self.queue.clock.now_ms() - generation.started_ms
        return min(generation.length, int(elapsed_ms / TOKEN_MS / factor))

    def _finish_generation(
        self, attempt: int, generation: _Generation
    ) -> None:
        if self.generations.pop(attempt, None) is None:
            return
        self.generated_tokens += generation.length
        version = self.version_at[attempt]
        spans = (state.Span(version, 0, generation.length - 1),)
        tokens = (0,) * generation.length
        for action in self.planner.on_generated(attempt, tokens, spans, "e"):
            self._perform(action)
        self._plan()

    def _cancel(self, attempt: int) -> None:
        generation = self.generations.pop(attempt, None)
        if generation is not None:
            generated = self._tokens_so_far(generation)
            self.generated_tokens += generated
            self.wasted_tokens += generated

    def _crash(self) -> None:
        """Crash the engine with the longest-running generation."""
        if not self.generations:
            return
        oldest = min(self.generations.values(), key=lambda g: g.started_ms)
        engine = oldest.engine
        self.down.add(engine)
        for attempt, generation in list(self.generations.items()):
            if generation.engine == engine:
                generated = self._tokens_so_far(generation)
                self._cancel(attempt)
                self.planner.on_generation_failed(attempt, generated)
        self.queue.after(RESTART_MS, lambda: self.down.discard(engine))


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return the report: one row per policy and distribution of lengths."""
    rows = []
    for distribution in ("log-normal", "pareto"):
        for policy in SMALL_POLICIES if small else POLICIES:
            print(f"{policy.name}, {distribution}", file=sys.stderr)
            simulation = _Simulation(seed, policy, distribution)
            rows.append(simulation.measure(SMALL_STEPS if small else STEPS))
    return {"experiment": "stragglers", "seed": seed, "rows": rows}
