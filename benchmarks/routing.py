"""First-token time by routing policy, load and shared prefixes.

Deterministic for a seed. Seven daemons that don't see each other's
dispatches, ten engines in three regions, load reports 0 to 2 s late, cache
events late and with gaps. Load is a fraction of what the engines carry
with round robin's own cache hits.
"""

import collections
import functools
import random
import sys
import typing

from benchmarks import events
from poplarloft import coordination
from poplarloft import state

__all__ = ["run"]

POLICIES = ("scored", "least-loaded", "round-robin", "random")
LOADS = (0.3, 0.8, 0.95)
DAEMONS = 7
ENGINES = 10
REGIONS = 3
STREAMS = 8
PREFIXES = 64
PREFIX_BLOCKS = 125
BLOCK_TOKENS = 16
SUFFIX_TOKENS = 100
OUTPUT_TOKENS = 64
TOKEN_MS = 10.0
PREFILL_MS = 0.2
CACHE_BLOCKS = 2_500
REPORT_MS = 500
LAG_MS = 2_000
GAP_SHARE = 0.05
FAR_MS = 30
ANSWER_BYTES = 4_000
REQUESTS = 6_000
SMALL_REQUESTS = 1_500
SMALL_LOADS = (0.8,)
MS_PER_S = 1_000
FAR_PRICE_MS = 250.0
# The last stream of a batch may be empty half of the time.
PRICES = coordination.CostModel(
    decode_ms=TOKEN_MS / STREAMS,
    prefill_ms=PREFILL_MS,
    batch_tokens=OUTPUT_TOKENS * (STREAMS - 1),
)


class _Job:
    def __init__(self, request: coordination.RouteRequest) -> None:
        self.request = request
        self.arrived_ms = 0
        self.then: typing.Any = None


class _Engine:
    """Streams served in order of arrival, and a prefix cache."""

    def __init__(self, queue: events.EventQueue, number: int) -> None:
        self.queue = queue
        self.name = f"engine-{number}"
        self.region = number % REGIONS
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.waiting: collections.deque[_Job] = collections.deque()
        self.running = 0
        self.owed_tokens = 0
        self.busy_ms = 0.0
        self.hit_blocks = 0
        self.missed_blocks = 0

    def submit(self, job: _Job) -> None:
        self.owed_tokens += OUTPUT_TOKENS
        self.waiting.append(job)
        self._start()

    def _start(self) -> None:
        while self.waiting and self.running < STREAMS:
            job = self.waiting.popleft()
            self.running += 1
            prefill_ms = PREFILL_MS * self._missing_tokens(job.request)
            service_ms = prefill_ms + TOKEN_MS * OUTPUT_TOKENS
            self.busy_ms += service_ms
            self.queue.after(round(prefill_ms), job.then)
            self.queue.after(round(service_ms), self._end)

    def _end(self) -> None:
        self.running -= 1
        self.owed_tokens -= OUTPUT_TOKENS
        self._start()

    def _missing_tokens(self, request: coordination.RouteRequest) -> int:
        missing = 0
        for block in request.prefix:
            if block in self.cache:
                self.cache.move_to_end(block)
                self.hit_blocks += 1
            else:
                missing += 1
                self.cache[block] = None
        self.missed_blocks += missing
        while len(self.cache) > CACHE_BLOCKS:
            self.cache.popitem(last=False)
        return missing * BLOCK_TOKENS + SUFFIX_TOKENS


class _Daemon:
    """A daemon's view and policy."""

    def __init__(self, run_: "_Run", number: int, policy: str) -> None:
        self.region = number % REGIONS
        rng = random.Random(run_.rng.getrandbits(32))
        self.policy = coordination.ROUTING_POLICIES[policy](rng)
        if isinstance(self.policy, coordination.ScoredTwoChoices):
            self.policy.costs = PRICES
        self.view = coordination.LoadView(run_.queue.clock)


class _Run:
    """One policy under one load."""

    def __init__(
        self, seed: int, policy: str, rate_per_s: float, shared: bool
    ):
        self.rng = random.Random(seed)
        self.queue = events.EventQueue()
        self.rate_per_s = rate_per_s
        self.shared = shared
        self.engines = {
            e.name: e for e in (_Engine(self.queue, n) for n in range(ENGINES))
        }
        self.daemons = [_Daemon(self, n, policy) for n in range(DAEMONS)]
        self.first_token_ms: list[int] = []
        self.far_bytes = 0
        self.sent = 0

    def measure(self, requests: int) -> dict[str, typing.Any]:
        """Send `requests` requests; leave out the first tenth."""
        for engine in self.engines.values():
            self.queue.after(
                self.rng.randrange(REPORT_MS),
                functools.partial(self._report, engine),
            )
        self._arrive()
        while self.sent < requests:
            self.queue.run_for(MS_PER_S)
        counted = sorted(self.first_token_ms[requests // 10 :])
        hits = sum(e.hit_blocks for e in self.engines.values())
        missed = sum(e.missed_blocks for e in self.engines.values())
        busy = sum(e.busy_ms for e in self.engines.values())
        return {
            "p50_ms": counted[len(counted) // 2],
            "p99_ms": counted[int(len(counted) * 0.99)],
            "cache_hit_percent": round(100 * hits / max(1, hits + missed), 1),
            "far_kb_per_request": round(self.far_bytes / self.sent / 1_000, 2),
            "service_ms": round(busy / self.sent, 1),
        }

    def _report(self, engine: _Engine) -> None:
        """Send the engine's state to each daemon, late."""
        taken_ms = self.queue.clock.now_ms()
        report = state.LoadReport(
            engine.name,
            taken_ms,
            engine.running,
            engine.owed_tokens,
            cached_prefixes=frozenset(engine.cache),
        )
        for daemon in self.daemons:
            self.queue.after(
                self.rng.randrange(LAG_MS),
                functools.partial(daemon.view.on_report, report),
            )
            if self.rng.random() < GAP_SHARE:
                daemon.view.on_cache_gap(engine.name)
        self.queue.after(REPORT_MS, lambda: self._report(engine))

    def _arrive(self) -> None:
        self.sent += 1
        daemon = self.rng.choice(self.daemons)
        request = self._draw_request()
        candidates = [
            daemon.view.candidate(
                e.name, 0.0 if e.region == daemon.region else FAR_PRICE_MS
            )
            for e in self.engines.values()
        ]
        chosen = daemon.policy.choose(request, candidates).name
        self._dispatch(daemon, self.engines[chosen], request)
        gap_ms = self.rng.expovariate(self.rate_per_s / MS_PER_S)
        self.queue.after(round(gap_ms), self._arrive)

    def _dispatch(
        self,
        daemon: _Daemon,
        engine: _Engine,
        request: coordination.RouteRequest,
    ) -> None:
        delay_ms = 1
        if engine.region != daemon.region:
            delay_ms = FAR_MS
            self.far_bytes += ANSWER_BYTES
        ticket = daemon.view.on_dispatch(engine.name, request)
        begun_ms = self.queue.clock.now_ms()
        job = _Job(request)

        def first_token() -> None:
            now_ms = self.queue.clock.now_ms() + delay_ms
            self.first_token_ms.append(now_ms - begun_ms)
            self.queue.after(
                round(TOKEN_MS * OUTPUT_TOKENS) + delay_ms,
                lambda: daemon.view.on_done(engine.name, ticket),
            )

        job.then = first_token
        self.queue.after(delay_ms, lambda: engine.submit(job))

    def _draw_request(self) -> coordination.RouteRequest:
        """Draw a prompt; popular prefixes come more often."""
        number = int(PREFIXES ** self.rng.random()) - 1
        if not self.shared:
            number = self.sent + PREFIXES
        first = number * PREFIX_BLOCKS
        prefix = tuple(range(first, first + PREFIX_BLOCKS))
        tokens = PREFIX_BLOCKS * BLOCK_TOKENS + SUFFIX_TOKENS
        return coordination.RouteRequest(prefix, tokens, OUTPUT_TOKENS)


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return first-token times of each policy at each load."""
    requests = SMALL_REQUESTS if small else REQUESTS
    rows = []
    for shared in (True, False):
        calm = _Run(seed, "round-robin", 20.0, shared).measure(requests // 4)
        capacity = ENGINES * STREAMS * MS_PER_S / calm["service_ms"]
        for load in SMALL_LOADS if small else LOADS:
            for policy in POLICIES:
                print(f"{policy} at {load}, {shared}", file=sys.stderr)
                one = _Run(seed, policy, load * capacity, shared)
                rows.append(
                    {
                        "shared_prefixes": shared,
                        "load": load,
                        "policy": policy,
                        **one.measure(requests),
                    }
                )
    return {"experiment": "routing", "seed": seed, "rows": rows}
