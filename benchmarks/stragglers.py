"""Trainer idle time, staleness and waste, by policy and length law.

Deterministic for a seed. One lot on a pool of engine streams; lengths are
heavy-tailed, some engines are slow, one crashes at the worst moment of a
step. The trainer trains for a while and publishes a version after each
step; engines take it over a little later.
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
BOUND = 2
POLL_MS = 100
CRASH_EVERY_STEPS = 5
RESTART_MS = 3_000
SCORE_MS = 5


@dataclasses.dataclass(frozen=True)
class _Policy:
    """A way of running a lot.

    `staleness` is the planned one; 0 generates nothing ahead. `extra`
    samples are generated per group beyond those needed.
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


class _Stream:
    """One generation under way."""

    def __init__(self, engine: int, length: int, started_ms: int) -> None:
        self.engine = engine
        self.length = length
        self.started_ms = started_ms
        self.cancelled = False


class _Run:
    """One policy under one length law."""

    def __init__(self, seed: int, policy: _Policy, law: str) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.policy = policy
        self.law = law
        self.queue = events.EventQueue()
        per_group = PER_GROUP + policy.extra
        self.lot = state.LotBody(
            "pool", "m", "s", ("p",), GROUPS, per_group, 10_000, BOUND
        )
        self.redispatch: coordination.RedispatchPolicy = (
            coordination.NoRedispatch()
        )
        if policy.redispatch:
            self.redispatch = coordination.RateRedispatch()
        self.runner = coordination.LotPlanner(
            self.queue.clock,
            "lot",
            self.lot,
            self.redispatch,
            policy.staleness,
        )
        self.collector = coordination.StepCollector(
            "lot", "t#1", GROUPS, per_group, BOUND
        )
        self.engine_version = 0
        self.down: set[int] = set()
        self.streams: dict[int, _Stream] = {}
        self.version_at: dict[int, int] = {}
        self.idle_ms = 0
        self.waiting_since_ms = self.queue.clock.now_ms()
        self.staleness: list[int] = []
        self.generated_tokens = 0
        self.wasted_tokens = 0
        self.training = False

    def measure(self, steps: int) -> dict[str, typing.Any]:
        """Run some steps and return the figures."""
        self._poll()
        while self.collector.step < steps:
            self.queue.run_for(1_000)
        ordered = sorted(self.staleness)
        return {
            "policy": self.policy.name,
            "lengths": self.law,
            "idle_ms_per_step": round(self.idle_ms / steps),
            "staleness_mean": round(sum(ordered) / len(ordered), 2),
            "staleness_p99": ordered[int(len(ordered) * 0.99)],
            "waste_percent": round(
                100 * self.wasted_tokens / self.generated_tokens, 1
            ),
        }

    def _poll(self) -> None:
        """Pull, plan, and look whether the step is complete."""
        self._plan()
        if not self.training:
            offer = self.runner.on_pull(self.collector.next_pull())
            self.wasted_tokens += sum(len(s.tokens) for s in offer.stale)
            self._take(offer.samples)
        self.queue.after(POLL_MS, self._poll)

    def _take(self, samples: tuple[state.Sample, ...]) -> None:
        version = self.collector.weight_version
        for sample in self.collector.on_samples(samples):
            self.staleness.append(version - sample.oldest_version)
        if self._is_enough():
            self._train()

    def _is_enough(self) -> bool:
        """Tell whether each group has the samples that it needs."""
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
        # The trainer asks for the next step while it trains.
        self.runner.on_pull(self.collector.next_pull())
        self.queue.after(TRAIN_MS, self._trained)
        if step % CRASH_EVERY_STEPS == CRASH_EVERY_STEPS - 1:
            self.queue.after(TRAIN_MS + 1_500, self._crash)

    def _drop_extras(self) -> None:
        """Count the samples beyond those that a step needs."""
        kept = dict.fromkeys(range(GROUPS), 0)
        for (group, _), sample in self.collector.held.items():
            kept[group] += 1
            if kept[group] > PER_GROUP:
                self.wasted_tokens += len(sample.tokens)

    def _trained(self) -> None:
        self.training = False
        self.waiting_since_ms = self.queue.clock.now_ms()
        version = self.collector.weight_version + 1
        self.collector.publish(version)
        self.queue.after(SWITCH_LAG_MS, lambda: self._switch(version))

    def _switch(self, version: int) -> None:
        self.engine_version = version

    def _plan(self) -> None:
        for attempt, stream in self.streams.items():
            self.runner.on_progress(attempt, self._made_tokens(stream))
        free = ENGINES * STREAMS - len(self.streams)
        free -= len(self.down) * STREAMS
        for action in self.runner.plan(max(0, free)):
            self._perform(action)

    def _perform(self, action: coordination.LotAction) -> None:
        match action:
            case coordination.GenerateSample():
                self._generate(action)
            case coordination.CancelSample(attempt=attempt):
                self._cancel(attempt)
            case coordination.ScoreSample(attempt=attempt):
                self.queue.after(SCORE_MS, lambda: self._scored(attempt))

    def _generate(self, order: coordination.GenerateSample) -> None:
        if self.engine_version < order.min_version:
            self.runner.on_generation_failed(order.attempt, 0)
            return
        engine = self._least_busy()
        length = self._draw_length(order.slot)
        stream = _Stream(engine, length, self.queue.clock.now_ms())
        self.streams[order.attempt] = stream
        self.version_at[order.attempt] = self.engine_version
        factor = SLOW_FACTOR if engine < SLOW_ENGINES else 1.0
        duration_ms = round(length * TOKEN_MS * factor)
        self.queue.after(duration_ms, lambda: self._end(order.attempt, stream))

    def _scored(self, attempt: int) -> None:
        self.runner.on_scored(attempt, 0.0)

    def _least_busy(self) -> int:
        counts = {n: 0 for n in range(ENGINES) if n not in self.down}
        for stream in self.streams.values():
            if stream.engine in counts:
                counts[stream.engine] += 1
        least = min(counts.values())
        return self.rng.choice([n for n in counts if counts[n] == least])

    def _draw_length(self, slot: state.Slot) -> int:
        """Draw a slot's length; a copy is as long as the original."""
        rng = random.Random(f"{self.seed} {slot}")
        if self.law == "log-normal":
            drawn = MEDIAN_TOKENS * rng.lognormvariate(0.0, 0.8)
        else:
            drawn = MEDIAN_TOKENS * rng.paretovariate(1.8) / 1.47
        return max(1, min(MAX_TOKENS, int(drawn)))

    def _made_tokens(self, stream: _Stream) -> int:
        """Return the tokens that a stream has produced so far."""
        factor = SLOW_FACTOR if stream.engine < SLOW_ENGINES else 1.0
        elapsed_ms = self.queue.clock.now_ms() - stream.started_ms
        return min(stream.length, int(elapsed_ms / TOKEN_MS / factor))

    def _end(self, attempt: int, stream: _Stream) -> None:
        if self.streams.pop(attempt, None) is None:
            return
        self.generated_tokens += stream.length
        version = self.version_at[attempt]
        spans = (state.Span(version, 0, stream.length - 1),)
        tokens = (0,) * stream.length
        for action in self.runner.on_generated(attempt, tokens, spans, "e"):
            self._perform(action)
        self._plan()

    def _cancel(self, attempt: int) -> None:
        stream = self.streams.pop(attempt, None)
        if stream is not None:
            made = self._made_tokens(stream)
            self.generated_tokens += made
            self.wasted_tokens += made

    def _crash(self) -> None:
        """Crash the engine with the longest-running stream."""
        if not self.streams:
            return
        oldest = min(self.streams.values(), key=lambda s: s.started_ms)
        engine = oldest.engine
        self.down.add(engine)
        for attempt, stream in list(self.streams.items()):
            if stream.engine == engine:
                made = self._made_tokens(stream)
                self._cancel(attempt)
                self.runner.on_generation_failed(attempt, made)
        self.queue.after(RESTART_MS, lambda: self.down.discard(engine))


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return the figures of each policy under each length law."""
    rows = []
    for law in ("log-normal", "pareto"):
        for policy in SMALL_POLICIES if small else POLICIES:
            print(f"{policy.name}, {law}", file=sys.stderr)
            one = _Run(seed, policy, law)
            rows.append(one.measure(SMALL_STEPS if small else STEPS))
    return {"experiment": "stragglers", "seed": seed, "rows": rows}
