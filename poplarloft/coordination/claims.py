"""At-most-once claims, grouped into few writes of the key-value service.

A claim is an entry of a ledger document. Safety rests on the
compare-and-swap of that document alone: an attempt is granted only after
the ledger is known to hold the attempt's own number. Grouping, pacing and
caching only save calls.

Ledgers form a ring: a document is reused for a later window of issue
times and never goes back to an earlier one, so an expired key can't be
claimed again.
"""

from collections import abc
import dataclasses
import enum

import xxhash

from poplarloft.coordination import claim_actions
from poplarloft.coordination import routing
from poplarloft.coordination import token_buckets
from poplarloft import state

__all__ = ["ClaimTable", "ledger_writer"]


@dataclasses.dataclass(slots=True)
class _Waiting:
    key: state.ClaimKey
    claim: state.Claim
    give_up_at_ms: int
    written: bool = False


class _Phase(enum.Enum):
    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"


@dataclasses.dataclass(slots=True)
class _Entry:
    """What is known of one ledger and what waits for it."""

    phase: _Phase = _Phase.IDLE
    ledger: state.Ledger | None = None
    version: int = state.ABSENT_VERSION
    known_at_ms: int = 0
    retry_at_ms: int = 0
    waiting: dict[int, _Waiting] = dataclasses.field(default_factory=dict)
    in_flight: frozenset[int] = frozenset()
    unsure: dict[int, bytes] = dataclasses.field(default_factory=dict)
    releases: dict[int, bytes] = dataclasses.field(default_factory=dict)

    def has_work(self) -> bool:
        return bool(self.waiting or self.releases)


def ledger_writer(shard: int, instances: abc.Iterable[str]) -> str | None:
    """Return the instance that writes a shard's ledgers.

    All instances of a data centre that agree on its members agree on the
    owner, so their claims share its writes. Disagreement costs calls, not
    safety.
    """
    ranked = routing.rendezvous_rank(f"claims/{shard}", instances)
    return ranked[0] if ranked else None


class ClaimTable:
    """Decides claims of non-repeatable requests.

    Feed it requests, releases, results of calls and, at the time that
    `next_wake_ms` names, `tick`; carry out the actions that each returns.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    wall_clock : state.Clock
        Unix time, compared with the issue time of keys.
    settings : claim_actions.ClaimSettings
        Sizes and times.
    """

    def __init__(
        self,
        clock: state.Clock,
        wall_clock: state.Clock,
        settings: claim_actions.ClaimSettings,
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.settings = settings
        self.bucket = token_buckets.TokenBucket(
            clock, settings.calls_per_s, settings.call_burst
        )
        self.entries: dict[state.LedgerId, _Entry] = {}

    def ledger_id(self, key: state.ClaimKey) -> state.LedgerId:
        """Return the ledger in which `key` is claimed."""
        shard = xxhash.xxh64_intdigest(key.digest) % self.settings.shards
        return state.LedgerId(
            shard, key.issued_at_ms // self.settings.window_ms
        )

    def request(
        self, key: state.ClaimKey, claim: state.Claim, timeout_ms: int
    ) -> list[claim_actions.ClaimAction]:
        """Ask for `key` on behalf of `claim.attempt`.

        Returns
        -------
        list of claim_actions.ClaimAction
            Ends in one `ClaimDecided` for the attempt, now or later.
        """
        if not self._in_horizon(key):
            return [
                claim_actions.ClaimDecided(
                    claim.attempt, claim_actions.ClaimDecision.EXPIRED
                )
            ]
        entry = self.entries.setdefault(self.ledger_id(key), _Entry())
        give_up_at_ms = self.clock.now_ms() + timeout_ms
        entry.waiting[claim.attempt] = _Waiting(key, claim, give_up_at_ms)
        return self._advance(self.ledger_id(key), entry)

    def release(
        self, key: state.ClaimKey, attempt: int
    ) -> list[claim_actions.ClaimAction]:
        """Give back a claim whose request has certainly not run."""
        ledger_id = self.ledger_id(key)
        entry = self.entries.setdefault(ledger_id, _Entry())
        entry.releases[attempt] = key.digest
        return self._advance(ledger_id, entry)

    def tick(self) -> list[claim_actions.ClaimAction]:
        """Give up overdue requests and start what may now be sent."""
        actions: list[claim_actions.ClaimAction] = []
        for ledger_id, entry in list(self.entries.items()):
            actions += self._give_up(entry)
            actions += self._advance(ledger_id, entry)
        self._forget_expired()
        return actions

    def next_wake_ms(self) -> int | None:
        """Return when `tick` has something to do, or None."""
        times = [
            time_ms
            for entry in self.entries.values()
            for time_ms in self._wake_times(entry)
        ]
        return min(times, default=None)

    def on_read(
        self,
        ledger_id: state.LedgerId,
        found: tuple[state.Ledger, int] | None,
    ) -> list[claim_actions.ClaimAction]:
        """Take the result of `ReadLedger`.

        Parameters
        ----------
        ledger_id : state.LedgerId
            The ledger that was asked for.
        found : tuple of Ledger and int, or None
            The document in that place of the ring, which may belong to
            another window, and its version; None if the read failed.
        """
        entry = self.entries.setdefault(ledger_id, _Entry())
        entry.phase = _Phase.IDLE
        if found is None:
            entry.ledger = None
            entry.retry_at_ms = self.clock.now_ms() + self.settings.retry_ms
            return []
        ledger, version = found
        if ledger.window > ledger_id.window:
            return self._expire(ledger_id)
        if ledger.window < ledger_id.window:
            ledger = state.Ledger(window=ledger_id.window)
        entry.ledger = ledger
        entry.version = version
        entry.known_at_ms = self.clock.now_ms()
        actions = self._settle_in_flight(entry)
        return actions + self._advance(ledger_id, entry)

    def on_write(
        self,
        ledger_id: state.LedgerId,
        written: state.Ledger,
        write: state.WriteResult,
    ) -> list[claim_actions.ClaimAction]:
        """Take the result of `WriteLedger`.

        A conflict and an unknown outcome both lead to reading back: an
        earlier write of ours whose answer was lost may stand behind
        either.
        """
        entry = self.entries.setdefault(ledger_id, _Entry())
        entry.phase = _Phase.IDLE
        if write.outcome is state.WriteOutcome.APPLIED:
            entry.ledger = written
            entry.version = write.version
            entry.known_at_ms = self.clock.now_ms()
            actions = self._settle_in_flight(entry)
            return actions + self._advance(ledger_id, entry)
        entry.ledger = None
        if write.outcome is state.WriteOutcome.UNKNOWN:
            entry.retry_at_ms = self.clock.now_ms() + self.settings.retry_ms
        return self._advance(ledger_id, entry)

    def _in_horizon(self, key: state.ClaimKey) -> bool:
        age_ms = self.wall_clock.now_ms() - key.issued_at_ms
        return -self.settings.skew_ms <= age_ms <= self.settings.horizon_ms

    def _advance(
        self, ledger_id: state.LedgerId, entry: _Entry
    ) -> list[claim_actions.ClaimAction]:
        if entry.phase is not _Phase.IDLE or not entry.has_work():
            return []
        now_ms = self.clock.now_ms()
        actions = self._refuse_held(entry, now_ms)
        self._drop_done_releases(entry)
        if not entry.has_work() or now_ms < entry.retry_at_ms:
            return actions
        if not self.bucket.take():
            return actions
        if entry.ledger is None or self._must_read_again(entry, now_ms):
            entry.phase = _Phase.READING
            return [*actions, claim_actions.ReadLedger(ledger_id)]
        return actions + self._write(ledger_id, entry)

    def _must_read_again(self, entry: _Entry, now_ms: int) -> bool:
        """Tell whether an old cached ledger would refuse a claim."""
        if now_ms - entry.known_at_ms <= self.settings.max_cache_age_ms:
            return False
        return any(self._holder(entry, w) for w in entry.waiting.values())

    def _holder(self, entry: _Entry, waiting: _Waiting) -> state.Claim | None:
        """Return another attempt's claim on the key, if there is one."""
        if entry.ledger is None:
            return None
        held = entry.ledger.claims.get(waiting.key.digest)
        if held is None or held.attempt == waiting.claim.attempt:
            return None
        return None if held.attempt in entry.releases else held

    def _refuse_held(
        self, entry: _Entry, now_ms: int
    ) -> list[claim_actions.ClaimAction]:
        if now_ms - entry.known_at_ms > self.settings.max_cache_age_ms:
            return []
        actions: list[claim_actions.ClaimAction] = []
        for attempt, waiting in list(entry.waiting.items()):
            held = self._holder(entry, waiting)
            if held is not None:
                del entry.waiting[attempt]
                actions.append(
                    claim_actions.ClaimDecided(
                        attempt,
                        claim_actions.ClaimDecision.HELD,
                        held.claimant,
                    )
                )
        return actions

    def _drop_done_releases(self, entry: _Entry) -> None:
        """Forget releases that the ledger doesn't hold any more."""
        if entry.ledger is None:
            return
        for attempt, digest in list(entry.releases.items()):
            held = entry.ledger.claims.get(digest)
            if held is None or held.attempt != attempt:
                del entry.releases[attempt]

    def _write(
        self, ledger_id: state.LedgerId, entry: _Entry
    ) -> list[claim_actions.ClaimAction]:
        assert entry.ledger is not None
        claims = dict(entry.ledger.claims)
        for attempt, digest in entry.releases.items():
            held = claims.get(digest)
            if held is not None and held.attempt == attempt:
                del claims[digest]
        actions = self._add_waiting(entry, claims)
        if claims == entry.ledger.claims:
            return actions + self._settle_in_flight(entry)
        entry.phase = _Phase.WRITING
        written = state.Ledger(window=ledger_id.window, claims=claims)
        return [
            *actions,
            claim_actions.WriteLedger(ledger_id, written, entry.version),
        ]

    def _add_waiting(
        self, entry: _Entry, claims: dict[bytes, state.Claim]
    ) -> list[claim_actions.ClaimAction]:
        """Put waiting claims into `claims`, the first of each key only."""
        actions: list[claim_actions.ClaimAction] = []
        batch = set()
        for attempt, waiting in list(entry.waiting.items()):
            if not self._in_horizon(waiting.key):
                del entry.waiting[attempt]
                actions.append(
                    claim_actions.ClaimDecided(
                        attempt, claim_actions.ClaimDecision.EXPIRED
                    )
                )
                continue
            full = len(claims) >= self.settings.max_claims
            if full and waiting.key.digest not in claims:
                del entry.waiting[attempt]
                actions.append(
                    claim_actions.ClaimDecided(
                        attempt, claim_actions.ClaimDecision.OVERLOADED
                    )
                )
                continue
            holder = claims.setdefault(waiting.key.digest, waiting.claim)
            if holder.attempt == attempt:
                waiting.written = True
                batch.add(attempt)
        entry.in_flight = frozenset(batch)
        return actions

    def _settle_in_flight(
        self, entry: _Entry
    ) -> list[claim_actions.ClaimAction]:
        """Grant what the ledger now holds; undo what was given up."""
        assert entry.ledger is not None
        actions: list[claim_actions.ClaimAction] = []
        for attempt in entry.in_flight:
            waiting = entry.waiting.get(attempt)
            if waiting is None:
                continue
            held = entry.ledger.claims.get(waiting.key.digest)
            if held is not None and held.attempt == attempt:
                del entry.waiting[attempt]
                actions.append(
                    claim_actions.ClaimDecided(
                        attempt, claim_actions.ClaimDecision.GRANTED
                    )
                )
        entry.in_flight = frozenset()
        for attempt, digest in list(entry.unsure.items()):
            held = entry.ledger.claims.get(digest)
            if held is not None and held.attempt == attempt:
                del entry.unsure[attempt]
                entry.releases[attempt] = digest
        return actions

    def _give_up(self, entry: _Entry) -> list[claim_actions.ClaimAction]:
        now_ms = self.clock.now_ms()
        actions: list[claim_actions.ClaimAction] = []
        for attempt, waiting in list(entry.waiting.items()):
            if waiting.give_up_at_ms > now_ms:
                continue
            del entry.waiting[attempt]
            if waiting.written:
                # The write may still take effect.
                entry.unsure[attempt] = waiting.key.digest
            actions.append(
                claim_actions.ClaimDecided(
                    attempt, claim_actions.ClaimDecision.UNAVAILABLE
                )
            )
        return actions

    def _expire(
        self, ledger_id: state.LedgerId
    ) -> list[claim_actions.ClaimAction]:
        entry = self.entries.pop(ledger_id)
        return [
            claim_actions.ClaimDecided(
                attempt, claim_actions.ClaimDecision.EXPIRED
            )
            for attempt in entry.waiting
        ]

    def _forget_expired(self) -> None:
        settings = self.settings
        oldest_ms = (
            self.wall_clock.now_ms() - settings.horizon_ms - settings.skew_ms
        )
        oldest_window = oldest_ms // settings.window_ms
        for ledger_id in list(self.entries):
            entry = self.entries[ledger_id]
            idle = entry.phase is _Phase.IDLE and not entry.waiting
            if idle and ledger_id.window < oldest_window:
                del self.entries[ledger_id]

    def _wake_times(self, entry: _Entry) -> list[int]:
        times = [w.give_up_at_ms for w in entry.waiting.values()]
        if entry.phase is _Phase.IDLE and entry.has_work():
            ready_ms = max(entry.retry_at_ms, self.bucket.ready_at_ms())
            times.append(ready_ms)
        return times
