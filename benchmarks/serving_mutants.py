"""Mutants of the code that serves behind a platform's balancer and store."""

from benchmarks import mutant

__all__ = ["MUTANTS"]

DECISIONS = "poplarloft/coordination/serving"
DRIVERS = "poplarloft/daemon/serving"

MUTANTS = (
    mutant.Mutant(
        "results listed after a write of unknown outcome",
        f"{DECISIONS}/result_log.py",
        "case state.WriteStatus.APPLIED:",
        "case state.WriteStatus.APPLIED | state.WriteStatus.UNKNOWN:",
        f"{DECISIONS}/tests/test_result_log.py",
    ),
    mutant.Mutant(
        "404 for a lot while the store is unavailable",
        f"{DRIVERS}/lot_service.py",
        "if failure is not None:",
        "if False:",
        "tests/test_serving_lots.py",
    ),
    mutant.Mutant(
        "retry of a request that may have run",
        f"{DRIVERS}/forwarding.py",
        "if history.may_have_run and not route.is_repeatable:",
        "if False:",
        "tests/test_serving_requests.py",
    ),
    mutant.Mutant(
        "weight orders sent before leadership is acquired",
        f"{DRIVERS}/lot_scheduler.py",
        "self.may_send_orders = fence > 0",
        "self.may_send_orders = True",
        "tests/test_serving_failover.py",
    ),
    mutant.Mutant(
        "isolated preferred standby runs the lots too",
        f"{DRIVERS}/leader_election.py",
        "if self.link.is_synced and await self.link.may_start_early():",
        "if self.link.is_synced:",
        "tests/test_serving_failover.py",
    ),
    mutant.Mutant(
        "age of feed changes counted from their arrival",
        f"{DECISIONS}/feeds.py",
        "confirmed_at_ms = answer.sent_at_ms - part.age_ms",
        "confirmed_at_ms = now_ms - part.age_ms",
        f"{DECISIONS}/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "changes of earlier revisions applied again",
        f"{DECISIONS}/prefix_history.py",
        "if c.revision > self.revision]",
        "if c.revision]",
        f"{DECISIONS}/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "changes sent as complete although some are missing",
        f"{DECISIONS}/prefix_history.py",
        "is_snapshot = revision < self.recent_since",
        "is_snapshot = False",
        f"{DECISIONS}/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "feed changes considered fresh indefinitely",
        f"{DECISIONS}/feeds.py",
        "return max(0, confirmed_at_ms + self.max_age_ms"
        " - self.clock.now_ms())",
        "return self.max_age_ms",
        f"{DECISIONS}/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "lot removed by a listing older than the lot",
        f"{DRIVERS}/lots_view.py",
        "if not self._is_newer(lot_id):",
        "if True:",
        "tests/test_serving_hints.py",
    ),
    mutant.Mutant(
        "ended lot restored by a late hint",
        f"{DRIVERS}/lots_view.py",
        "if self.history is None or hint.revision <= self.history.revision:",
        "if self.history is None:",
        "tests/test_serving_hints.py",
    ),
    mutant.Mutant(
        "failed engine tried by each item",
        f"{DECISIONS}/engine_view.py",
        "if self.losses and self.running:",
        "if False:",
        f"{DECISIONS}/tests/test_planning.py",
    ),
    mutant.Mutant(
        "leadership acquired despite a provisional leader",
        f"{DRIVERS}/leader_election.py",
        "if self.failover.has_provisional_leader():",
        "if False:",
        "tests/test_serving_failover.py",
    ),
    mutant.Mutant(
        "orders sent before the previous leader's time has passed",
        f"{DECISIONS}/order_lock.py",
        "wait_ms = VALID_MS + ARRIVAL_MS + self.rules.turn_ms",
        "wait_ms = ARRIVAL_MS + self.rules.turn_ms",
        f"{DECISIONS}/tests/test_order_lock.py",
    ),
    mutant.Mutant(
        "lease of the previous leader not revoked",
        f"{DECISIONS}/order_lock.py",
        "return RevokeLease(self.holder.lease)",
        "return RevokeLease(-1)",
        f"{DECISIONS}/tests/test_order_lock.py",
    ),
    mutant.Mutant(
        "order lock taken from a holder that has not released it",
        f"{DECISIONS}/order_lock.py",
        "if holder is None or holder.is_released:",
        "if holder is None or holder.name:",
        "tests/test_serving_orders.py",
    ),
)
