"""At-most-once claims, batched into few writes to the key-value service.

A claim is a row of a ledger document. Safety depends only on the
compare-and-swap of that document: an attempt is granted its claim only
after a read or an applied write shows the attempt's own number in the
ledger. Batching, rate limiting and caching only reduce the number of calls.

Ledgers form a ring: each document is reused for later windows of issue
times, never for an earlier window, so an expired key cannot be claimed
again.
"""

from collections import abc

import xxhash

from poplarloft.coordination import claim_actions
from poplarloft.coordination import ledger_state
from poplarloft.coordination import routing
from poplarloft.coordination import token_buckets
from poplarloft import state

__all__ = ["ClaimTable", "ledger_writer"]


def ledger_writer(shard: int, instances: abc.Iterable[str]) -> str | None:
    """Return the instance that writes a shard's ledgers.

    Instances of a data centre that have the same view of its members choose
    the same writer, which batches their claims. Different views cost extra
    calls, but do not affect safety.
    """
    ranked = routing.rendezvous_rank(f"claims/{shard}", instances)
    return ranked[0] if ranked else None


class ClaimTable:
    """Claims of requests that must not run more than once.

    The caller passes in requests, releases and results of calls, calls
    `tick` at the time given by `next_wake_ms`, and performs the actions
    that each call returns.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    wall_clock : state.Clock
        Unix time, compared with the issue time of keys.
    settings : claim_actions.ClaimSettings
        Ledger sizes, time limits and call rate.
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
        self.call_bucket = token_buckets.TokenBucket(
            clock, settings.calls_per_s, settings.call_burst
        )
        self.entries: dict[state.LedgerId, ledger_state.LedgerState] = {}

    def ledger_id(self, key: state.ClaimKey) -> state.LedgerId:
        """Return the ledger that records claims of `key`."""
        shard = xxhash.xxh64_intdigest(key.digest) % self.settings.shards
        return state.LedgerId(
            shard, key.issued_at_ms // self.settings.window_ms
        )

    def request(
        self, key: state.ClaimKey, claim: state.Claim, timeout_ms: int
    ) -> list[claim_actions.ClaimAction]:
        """Request `key` for `claim.attempt`.

        Returns
        -------
        list of claim_actions.ClaimAction
            Actions to perform. This call or a later one returns exactly one
            `ClaimDecided` for the attempt.
        """
        if not self._in_horizon(key):
            return [
                claim_actions.ClaimDecided(
                    claim.attempt, claim_actions.ClaimDecision.EXPIRED
                )
            ]
        entry = self.entries.setdefault(
            self.ledger_id(key), ledger_state.LedgerState()
        )
        deadline_ms = self.clock.now_ms() + timeout_ms
        entry.waiting[claim.attempt] = ledger_state.WaitingClaim(
            key, claim, deadline_ms
        )
        return self._advance(self.ledger_id(key), entry)

    def release(
        self, key: state.ClaimKey, attempt: int
    ) -> list[claim_actions.ClaimAction]:
        """Release the claim of a request that is known not to have run."""
        ledger_id = self.ledger_id(key)
        entry = self.entries.setdefault(ledger_id, ledger_state.LedgerState())
        entry.releases[attempt] = key.digest
        return self._advance(ledger_id, entry)

    def tick(self) -> list[claim_actions.ClaimAction]:
        """Time out overdue requests and start the calls that are now due."""
        actions: list[claim_actions.ClaimAction] = []
        for ledger_id, entry in list(self.entries.items()):
            actions += self._time_out_waiting(entry)
            actions += self._advance(ledger_id, entry)
        self._evict_expired()
        return actions

    def next_wake_ms(self) -> int | None:
        """Return the time at which `tick` is next due, or None."""
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
        """Process the result of `ReadLedger`.

        Parameters
        ----------
        ledger_id : state.LedgerId
            The requested ledger.
        found : tuple of Ledger and int, or None
            The document at the ledger's position in the ring, which may
            belong to another window, and its version; None if the read
            failed.
        """
        entry = self.entries.setdefault(ledger_id, ledger_state.LedgerState())
        entry.phase = ledger_state.LedgerPhase.IDLE
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
        entry.confirmed_at_ms = self.clock.now_ms()
        actions = self._resolve_in_flight(entry)
        return actions + self._advance(ledger_id, entry)

    def on_write(
        self,
        ledger_id: state.LedgerId,
        written: state.Ledger,
        write: state.WriteResult,
    ) -> list[claim_actions.ClaimAction]:
        """Process the result of `WriteLedger`.

        After a conflict or an unknown outcome, the ledger is read again: an
        earlier write of this instance whose response was lost may have
        taken effect in either case.
        """
        entry = self.entries.setdefault(ledger_id, ledger_state.LedgerState())
        entry.phase = ledger_state.LedgerPhase.IDLE
        if write.outcome is state.WriteOutcome.APPLIED:
            entry.ledger = written
            entry.version = write.version
            entry.confirmed_at_ms = self.clock.now_ms()
            actions = self._resolve_in_flight(entry)
            return actions + self._advance(ledger_id, entry)
        entry.ledger = None
        if write.outcome is state.WriteOutcome.UNKNOWN:
            entry.retry_at_ms = self.clock.now_ms() + self.settings.retry_ms
        return self._advance(ledger_id, entry)

    def _in_horizon(self, key: state.ClaimKey) -> bool:
        age_ms = self.wall_clock.now_ms() - key.issued_at_ms
        return -self.settings.skew_ms <= age_ms <= self.settings.horizon_ms

    def _advance(
        self, ledger_id: state.LedgerId, entry: ledger_state.LedgerState
    ) -> list[claim_actions.ClaimAction]:
        if (
            entry.phase is not ledger_state.LedgerPhase.IDLE
            or not entry.has_work()
        ):
            return []
        now_ms = self.clock.now_ms()
        actions = self._reject_held(entry, now_ms)
        self._drop_completed_releases(entry)
        if not entry.has_work() or now_ms < entry.retry_at_ms:
            return actions
        if not self.call_bucket.take():
            return actions
        if entry.ledger is None or self._needs_refresh(entry, now_ms):
            entry.phase = ledger_state.LedgerPhase.READING
            return [*actions, claim_actions.ReadLedger(ledger_id)]
        return actions + self._write(ledger_id, entry)

    def _needs_refresh(
        self, entry: ledger_state.LedgerState, now_ms: int
    ) -> bool:
        """Return whether an outdated cache shows a conflicting claim.

        Such a claim has to be confirmed by a read before it leads to a
        refusal.
        """
        if now_ms - entry.confirmed_at_ms <= self.settings.max_cache_age_ms:
            return False
        return any(
            self._conflicting_claim(entry, w) for w in entry.waiting.values()
        )

    def _conflicting_claim(
        self,
        entry: ledger_state.LedgerState,
        waiting: ledger_state.WaitingClaim,
    ) -> state.Claim | None:
        """Return another attempt's unreleased claim on the key, if any."""
        if entry.ledger is None:
            return None
        held = entry.ledger.claims.get(waiting.key.digest)
        if held is None or held.attempt == waiting.claim.attempt:
            return None
        return None if held.attempt in entry.releases else held

    def _reject_held(
        self, entry: ledger_state.LedgerState, now_ms: int
    ) -> list[claim_actions.ClaimAction]:
        if now_ms - entry.confirmed_at_ms > self.settings.max_cache_age_ms:
            return []
        actions: list[claim_actions.ClaimAction] = []
        for attempt, waiting in list(entry.waiting.items()):
            held = self._conflicting_claim(entry, waiting)
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

    def _drop_completed_releases(
        self, entry: ledger_state.LedgerState
    ) -> None:
        """Remove releases whose claims are no longer in the ledger."""
        if entry.ledger is None:
            return
        for attempt, digest in list(entry.releases.items()):
            held = entry.ledger.claims.get(digest)
            if held is None or held.attempt != attempt:
                del entry.releases[attempt]

    def _write(
        self, ledger_id: state.LedgerId, entry: ledger_state.LedgerState
    ) -> list[claim_actions.ClaimAction]:
        assert entry.ledger is not None
        claims = dict(entry.ledger.claims)
        for attempt, digest in entry.releases.items():
            held = claims.get(digest)
            if held is not None and held.attempt == attempt:
                del claims[digest]
        actions = self._add_waiting(entry, claims)
        if claims == entry.ledger.claims:
            return actions + self._resolve_in_flight(entry)
        entry.phase = ledger_state.LedgerPhase.WRITING
        written = state.Ledger(window=ledger_id.window, claims=claims)
        return [
            *actions,
            claim_actions.WriteLedger(ledger_id, written, entry.version),
        ]

    def _add_waiting(
        self, entry: ledger_state.LedgerState, claims: dict[bytes, state.Claim]
    ) -> list[claim_actions.ClaimAction]:
        """Add waiting claims to `claims`, only the first for each key."""
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
                waiting.may_be_written = True
                batch.add(attempt)
        entry.in_flight = frozenset(batch)
        return actions

    def _resolve_in_flight(
        self, entry: ledger_state.LedgerState
    ) -> list[claim_actions.ClaimAction]:
        """Grant claims found in the ledger; release those that timed out."""
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
        for attempt, digest in list(entry.unconfirmed.items()):
            held = entry.ledger.claims.get(digest)
            if held is not None and held.attempt == attempt:
                del entry.unconfirmed[attempt]
                entry.releases[attempt] = digest
        return actions

    def _time_out_waiting(
        self, entry: ledger_state.LedgerState
    ) -> list[claim_actions.ClaimAction]:
        now_ms = self.clock.now_ms()
        actions: list[claim_actions.ClaimAction] = []
        for attempt, waiting in list(entry.waiting.items()):
            if waiting.deadline_ms > now_ms:
                continue
            del entry.waiting[attempt]
            if waiting.may_be_written:
                # The write may still take effect.
                entry.unconfirmed[attempt] = waiting.key.digest
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

    def _evict_expired(self) -> None:
        settings = self.settings
        oldest_ms = (
            self.wall_clock.now_ms() - settings.horizon_ms - settings.skew_ms
        )
        oldest_window = oldest_ms // settings.window_ms
        for ledger_id in list(self.entries):
            entry = self.entries[ledger_id]
            idle = (
                entry.phase is ledger_state.LedgerPhase.IDLE
                and not entry.waiting
            )
            if idle and ledger_id.window < oldest_window:
                del self.entries[ledger_id]

    def _wake_times(self, entry: ledger_state.LedgerState) -> list[int]:
        times = [w.deadline_ms for w in entry.waiting.values()]
        if entry.phase is ledger_state.LedgerPhase.IDLE and entry.has_work():
            ready_ms = max(entry.retry_at_ms, self.call_bucket.ready_at_ms())
            times.append(ready_ms)
        return times
