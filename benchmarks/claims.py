"""Key-value calls and added latency of claims, by way of claiming.

Deterministic for a seed. Eight daemons of one data centre get keyed
requests; the key-value service answers after a few milliseconds. The ways:
one document per claim (baseline), one book per daemon on shared ledgers,
and one book per shard that the others ask.
"""

import random
import sys
import typing

from benchmarks import events
from poplarloft import coordination
from poplarloft.protocol import ledgers
from poplarloft import state

__all__ = ["run"]

DAEMONS = 8
RATES_PER_S = (20, 100, 500, 1_000)
DURATION_MS = 30_000
SMALL_DURATION_MS = 4_000
CALL_MS = (2, 6)
PEER_MS = 1
TIMEOUT_MS = 3_000
WARM_UP_MS = 1_000
MS_PER_S = 1_000
RESEND_SHARE = 0.05


class _Store:
    """Counts calls and answers them after a delay."""

    def __init__(self, queue: events.EventQueue, rng: random.Random) -> None:
        self.queue = queue
        self.rng = rng
        self.rows: dict[str, state.Versioned] = {}
        self.calls = 0
        self.written_bytes = 0
        self.largest_bytes = 0

    def read(self, key: str, then: typing.Any) -> None:
        self.calls += 1
        delay_ms = self.rng.randint(*CALL_MS)
        self.queue.after(
            delay_ms, lambda: then(self.rows.get(key, state.Versioned()))
        )

    def swap(
        self, key: str, value: bytes, expected: int, then: typing.Any
    ) -> None:
        self.calls += 1
        self.written_bytes += len(value)
        self.largest_bytes = max(self.largest_bytes, len(value))
        known = self.rows.get(key, state.Versioned())
        write = state.WriteResult(state.WriteOutcome.CONFLICT)
        if known.version == expected:
            self.rows[key] = state.Versioned(value, expected + 1)
            write = state.WriteResult(state.WriteOutcome.APPLIED, expected + 1)
        self.queue.after(self.rng.randint(*CALL_MS), lambda: then(write))


class _Daemon:
    """A claim book and its calls."""

    def __init__(self, run_: "_Run", name: str) -> None:
        self.run = run_
        self.name = name
        clock = run_.queue.clock
        self.book = coordination.ClaimTable(clock, clock, run_.settings)
        self.wake_number = 0

    def claim(self, key: state.ClaimKey, attempt: int) -> None:
        claim = state.Claim(attempt, self.name)
        self.perform(self.book.request(key, claim, TIMEOUT_MS))

    def perform(self, actions: list[typing.Any]) -> None:
        for action in actions:
            match action:
                case coordination.ReadLedger():
                    self._read(action)
                case coordination.WriteLedger():
                    self._write(action)
                case coordination.ClaimDecided():
                    self.run.on_decided(action)
        self.wake_number += 1
        number, wake_ms = self.wake_number, self.book.next_wake_ms()
        if wake_ms is not None:
            delay_ms = wake_ms - self.run.queue.clock.now_ms()
            self.run.queue.after(delay_ms, lambda: self._wake(number))

    def _wake(self, number: int) -> None:
        if number == self.wake_number:
            self.perform(self.book.tick())

    def _key(self, ledger_id: state.LedgerId) -> str:
        return ledgers.ledger_key(ledger_id, self.run.settings.ring_size)

    def _read(self, action: coordination.ReadLedger) -> None:
        def then(found: state.Versioned) -> None:
            ledger = ledgers.decode_ledger(found.value)
            self.perform(
                self.book.on_read(action.ledger_id, (ledger, found.version))
            )

        self.run.store.read(self._key(action.ledger_id), then)

    def _write(self, action: coordination.WriteLedger) -> None:
        self.run.store.swap(
            self._key(action.ledger_id),
            ledgers.encode_ledger(action.ledger),
            action.expected_version,
            lambda write: self.perform(
                self.book.on_write(action.ledger_id, action.ledger, write)
            ),
        )


class _Run:
    """One way of claiming under one load."""

    def __init__(self, seed: int, way: str, rate_per_s: int) -> None:
        self.rng = random.Random(seed)
        self.queue = events.EventQueue()
        self.way = way
        self.rate_per_s = rate_per_s
        self.settings = coordination.ClaimSettings()
        self.store = _Store(self.queue, self.rng)
        self.daemons = {
            f"entry-{n}": _Daemon(self, f"entry-{n}") for n in range(DAEMONS)
        }
        self.begun: dict[int, int] = {}
        self.latencies_ms: list[int] = []
        self.decisions: dict[str, int] = {}
        self.keys: list[state.ClaimKey] = []
        self.granted: dict[bytes, int] = {}
        self.key_of: dict[int, bytes] = {}

    def arrive(self) -> None:
        """Let one request arrive, now and then a resend of an old one."""
        attempt = len(self.begun) + 1
        key = self._new_key(attempt)
        if self.keys and self.rng.random() < RESEND_SHARE:
            key = self.rng.choice(self.keys[-1_000:])
        self.keys.append(key)
        self.begun[attempt] = self.queue.clock.now_ms()
        self.key_of[attempt] = key.digest
        name = self.rng.choice(sorted(self.daemons))
        if self.way == "one-document-per-claim":
            self._claim_alone(key, attempt)
        elif self.way == "book-per-daemon":
            self.daemons[name].claim(key, attempt)
        else:
            self._claim_at_owner(name, key, attempt)
        gap_ms = self.rng.expovariate(self.rate_per_s / MS_PER_S)
        self.queue.after(round(gap_ms), self.arrive)

    def _new_key(self, number: int) -> state.ClaimKey:
        digest = number.to_bytes(16, "big")
        return state.ClaimKey(digest, self.queue.clock.now_ms())

    def _claim_alone(self, key: state.ClaimKey, attempt: int) -> None:
        def then(write: state.WriteResult) -> None:
            granted = write.outcome is state.WriteOutcome.APPLIED
            decision = coordination.ClaimDecision.HELD
            if granted:
                decision = coordination.ClaimDecision.GRANTED
            self.on_decided(coordination.ClaimDecided(attempt, decision))

        self.store.swap(key.digest.hex(), key.digest, 0, then)

    def _claim_at_owner(
        self, name: str, key: state.ClaimKey, attempt: int
    ) -> None:
        shard = self.daemons[name].book.ledger_id(key).shard
        owner = coordination.ledger_writer(shard, self.daemons)
        assert owner is not None
        delay_ms = 0 if owner == name else 2 * PEER_MS
        self.queue.after(
            delay_ms, lambda: self.daemons[owner].claim(key, attempt)
        )

    def on_decided(self, decided: coordination.ClaimDecided) -> None:
        latency_ms = self.queue.clock.now_ms() - self.begun[decided.attempt]
        self.latencies_ms.append(latency_ms)
        name = decided.decision.value
        self.decisions[name] = self.decisions.get(name, 0) + 1
        if decided.decision is coordination.ClaimDecision.GRANTED:
            digest = self.key_of[decided.attempt]
            self.granted[digest] = self.granted.get(digest, 0) + 1

    def measure(self, duration_ms: int) -> dict[str, typing.Any]:
        """Run for a while and return the figures."""
        self.arrive()
        self.queue.run_for(WARM_UP_MS)
        calls, requests = self.store.calls, len(self.begun)
        self.latencies_ms.clear()
        self.queue.run_for(duration_ms)
        made = len(self.begun) - requests
        ordered = sorted(self.latencies_ms)
        return {
            "way": self.way,
            "rate_per_s": self.rate_per_s,
            "calls_per_thousand": round(
                1_000 * (self.store.calls - calls) / made, 1
            ),
            "latency_p50_ms": ordered[len(ordered) // 2],
            "latency_p99_ms": ordered[int(len(ordered) * 0.99)],
            "written_kb_per_s": round(
                self.store.written_bytes / duration_ms, 1
            ),
            "largest_document_bytes": self.store.largest_bytes,
            "granted_twice": sum(n > 1 for n in self.granted.values()),
            "decisions": dict(sorted(self.decisions.items())),
        }


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return the figures of each way at each rate."""
    duration_ms = SMALL_DURATION_MS if small else DURATION_MS
    rows = []
    for rate_per_s in RATES_PER_S:
        for way in (
            "one-document-per-claim",
            "book-per-daemon",
            "book-per-shard",
        ):
            print(f"{way} at {rate_per_s}/s", file=sys.stderr)
            measured = _Run(seed, way, rate_per_s).measure(duration_ms)
            rows.append(measured)
    return {"experiment": "claims", "seed": seed, "rows": rows}
