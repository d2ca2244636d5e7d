"""Fair shares, use of idle capacity, and deadlines under overload.

Deterministic for a seed. One daemon with a number of streams; service
times are log-normal. The baseline admits in order of arrival.
"""

import functools
import random
import sys
import typing

from benchmarks import events
from poplarloft import coordination

__all__ = ["run"]

STREAMS = 32
MEAN_MS = 100.0
SIGMA = 0.5
DURATION_MS = 120_000
SMALL_DURATION_MS = 20_000
DEADLINE_MS = 2_000
MS_PER_S = 1_000
CAPACITY_PER_S = STREAMS * MS_PER_S / MEAN_MS


class _FirstCome:
    """Baseline: one queue in order of arrival, no early refusal."""

    def __init__(self) -> None:
        self.waiting: list[int] = []
        self.running: set[int] = set()
        self.ticket = 0

    def request(
        self,
        owner: str,
        request_class: str,
        cost: coordination.CostEstimate,
        deadline_ms: int,
    ) -> tuple[int, list[coordination.AdmissionDecision]]:
        """Queue a request."""
        self.ticket += 1
        self.waiting.append(self.ticket)
        return self.ticket, self._dispatch()

    def done(self, ticket: int) -> list[coordination.AdmissionDecision]:
        """End a request."""
        self.running.discard(ticket)
        return self._dispatch()

    def _dispatch(self) -> list[coordination.AdmissionDecision]:
        decisions: list[coordination.AdmissionDecision] = []
        while self.waiting and len(self.running) < STREAMS:
            ticket = self.waiting.pop(0)
            self.running.add(ticket)
            decisions.append(coordination.Admitted(ticket))
        return decisions


class _Run:
    """One load on one kind of admission."""

    def __init__(self, seed: int, fair: bool, rates: dict[str, float]) -> None:
        self.rng = random.Random(seed)
        self.queue = events.EventQueue()
        self.rates = rates
        self.admission: typing.Any = _FirstCome()
        if fair:
            self.admission = coordination.AdmissionController(
                self.queue.clock,
                coordination.AdmissionSettings(max_concurrent=STREAMS),
            )
            self.admission.set_shares(dict.fromkeys(rates, 0.5))
        self.cost = coordination.CostEstimate(MEAN_MS)
        self.begun: dict[int, tuple[str, int]] = {}
        self.totals_ms: dict[str, list[int]] = {name: [] for name in rates}
        self.refused = dict.fromkeys(rates, 0)
        self.refused_after_run = 0
        self.dispatched: set[int] = set()
        self.busy_ms = 0.0

    def measure(self, duration_ms: int) -> dict[str, typing.Any]:
        """Run for a while; return figures per owner."""
        for owner in self.rates:
            self._arrive(owner)
        self.queue.run_for(duration_ms)
        return {
            "utilisation": round(self.busy_ms / duration_ms / STREAMS, 3),
            "refused_after_run": self.refused_after_run,
            "owners": {name: self._figures(name) for name in self.rates},
        }

    def _figures(self, owner: str) -> dict[str, typing.Any]:
        ordered = sorted(self.totals_ms[owner])
        in_time = sum(t <= DEADLINE_MS for t in ordered)
        return {
            "rate_per_s": self.rates[owner],
            "ended": len(ordered),
            "refused": self.refused[owner],
            "p50_ms": ordered[len(ordered) // 2],
            "p99_ms": ordered[int(len(ordered) * 0.99)],
            "in_time_percent": round(100 * in_time / len(ordered), 2),
        }

    def _arrive(self, owner: str) -> None:
        now_ms = self.queue.clock.now_ms()
        ticket, decisions = self.admission.request(
            owner, "live", self.cost, now_ms + DEADLINE_MS
        )
        self.begun[ticket] = (owner, now_ms)
        self._settle(decisions)
        gap_ms = self.rng.expovariate(self.rates[owner] / MS_PER_S)
        self.queue.after(round(gap_ms), lambda: self._arrive(owner))

    def _settle(self, decisions: list[coordination.AdmissionDecision]) -> None:
        for decision in decisions:
            owner, _ = self.begun[decision.ticket]
            if isinstance(decision, coordination.Refused):
                self.refused[owner] += 1
                self.refused_after_run += decision.ticket in self.dispatched
                continue
            self.dispatched.add(decision.ticket)
            drawn = self.rng.lognormvariate(0.0, SIGMA)
            service_ms = MEAN_MS * drawn / 1.133  # mean of the log-normal
            self.busy_ms += service_ms
            self.queue.after(
                round(service_ms),
                functools.partial(self._end, decision.ticket, service_ms),
            )

    def _end(self, ticket: int, service_ms: float) -> None:
        owner, begun_ms = self.begun.pop(ticket)
        self.totals_ms[owner].append(self.queue.clock.now_ms() - begun_ms)
        self.cost.observe(service_ms)
        self._settle(self.admission.done(ticket))


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return the figures of each load with each kind of admission."""
    duration_ms = SMALL_DURATION_MS if small else DURATION_MS
    half = CAPACITY_PER_S / 2
    loads = {
        "b-alone": {"b": 0.8 * half},
        "a-at-10x": {"a": 10 * half, "b": 0.8 * half},
        "only-a": {"a": 2 * CAPACITY_PER_S},
        "both-at-2x": {"a": CAPACITY_PER_S, "b": CAPACITY_PER_S},
    }
    rows = []
    for name, rates in loads.items():
        for kind in ("fair", "first-come"):
            print(f"{name}, {kind}", file=sys.stderr)
            measured = _Run(seed, kind == "fair", rates).measure(duration_ms)
            rows.append({"load": name, "admission": kind, **measured})
    return {"experiment": "admission", "seed": seed, "rows": rows}
