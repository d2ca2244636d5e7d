"""Mutants of the code that serves behind a platform's balancer and store."""

from benchmarks import mutant

__all__ = ["MUTANTS"]

DECISIONS = "poplarloft/coordination/serving"
DRIVERS = "poplarloft/daemon/serving"

MUTANTS = (
    mutant.Mutant(
        "results listed after a write of unknown outcome",
        f"{DECISIONS}/rollouts/result_log.py",
        "case state.WriteStatus.APPLIED:",
        "case state.WriteStatus.APPLIED | state.WriteStatus.UNKNOWN:",
        f"{DECISIONS}/rollouts/tests/test_result_log.py",
    ),
    mutant.Mutant(
        "404 for a lot while the store is unavailable",
        f"{DRIVERS}/rollouts/lot_service.py",
        "if failure is not None:",
        "if False:",
        "tests/test_serving_lots.py",
    ),
    mutant.Mutant(
        "retry of a request that may have run",
        f"{DRIVERS}/requests/forwarding.py",
        "if history.may_have_run and not route.is_repeatable:",
        "if False:",
        "tests/test_serving_requests.py",
    ),
    mutant.Mutant(
        "weight orders sent before leadership is acquired",
        f"{DRIVERS}/rollouts/lot_scheduler.py",
        "self.may_send_orders = fence > 0",
        "self.may_send_orders = True",
        "tests/test_serving_failover.py",
    ),
    mutant.Mutant(
        "isolated preferred standby runs the lots too",
        f"{DRIVERS}/leadership/leader_election.py",
        "if self.link.is_synced and await self.link.may_start_early():",
        "if self.link.is_synced:",
        "tests/test_serving_failover.py",
    ),
    mutant.Mutant(
        "age of feed changes counted from their arrival",
        f"{DECISIONS}/store/feeds.py",
        "confirmed_at_ms = answer.sent_at_ms - part.age_ms",
        "confirmed_at_ms = now_ms - part.age_ms",
        f"{DECISIONS}/store/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "changes of earlier revisions applied again",
        f"{DECISIONS}/store/prefix_history.py",
        "if change.revision <= self.revision:",
        "if False:",
        f"{DECISIONS}/store/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "changes older than a listed entry applied over it",
        f"{DECISIONS}/store/prefix_history.py",
        "if known is not None and known.revision >= change.revision:",
        "if False:",
        f"{DECISIONS}/store/tests/test_prefix_history.py",
    ),
    mutant.Mutant(
        "a watch before the last page of a listing has come",
        f"{DECISIONS}/rollouts/log_position.py",
        "if not has_more:",
        "if True:",
        f"{DRIVERS}/rollouts/tests/test_lot_reading.py",
    ),
    mutant.Mutant(
        "an entry appended behind a gap",
        f"{DECISIONS}/rollouts/log_position.py",
        "if number == self.next_number:",
        "if number >= self.next_number:",
        f"{DRIVERS}/rollouts/tests/test_lot_reading.py",
    ),
    mutant.Mutant(
        "changes sent as complete although some are missing",
        f"{DECISIONS}/store/prefix_history.py",
        "is_snapshot = revision < self.recent_since",
        "is_snapshot = False",
        f"{DECISIONS}/store/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "feed changes considered fresh indefinitely",
        f"{DECISIONS}/store/feeds.py",
        "return max(0, confirmed_at_ms + self.max_age_ms"
        " - self.clock.now_ms())",
        "return self.max_age_ms",
        f"{DECISIONS}/store/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "lot removed by a listing older than the lot",
        f"{DRIVERS}/store/lots_view.py",
        "if not self._is_newer(lot_id):",
        "if True:",
        "tests/test_serving_hints.py",
    ),
    mutant.Mutant(
        "ended lot restored by a late hint",
        f"{DRIVERS}/store/lots_view.py",
        "if self.history is None or hint.revision <= self.history.revision:",
        "if self.history is None:",
        "tests/test_serving_hints.py",
    ),
    mutant.Mutant(
        "failed engine tried by each item",
        f"{DECISIONS}/rollouts/engine_view.py",
        "if self.losses and self.running:",
        "if False:",
        f"{DECISIONS}/rollouts/tests/test_planning.py",
    ),
    mutant.Mutant(
        "leadership acquired despite a provisional leader",
        f"{DRIVERS}/leadership/leader_election.py",
        "if self.failover.has_provisional_leader():",
        "if False:",
        "tests/test_serving_failover.py",
    ),
    mutant.Mutant(
        "orders sent before the previous leader's time has passed",
        f"{DECISIONS}/leadership/order_lock.py",
        "ended_ms = self.clock.now_ms() + VALID_MS + ARRIVAL_MS",
        "ended_ms = self.clock.now_ms() + ARRIVAL_MS",
        f"{DECISIONS}/leadership/tests/test_order_lock.py",
    ),
    mutant.Mutant(
        "lease of the previous leader not revoked",
        f"{DECISIONS}/leadership/order_lock.py",
        "return RevokeLease(self.holder.lease)",
        "return RevokeLease(-1)",
        f"{DECISIONS}/leadership/tests/test_order_lock.py",
    ),
    mutant.Mutant(
        "order lock taken from a holder that has not released it",
        f"{DECISIONS}/leadership/order_lock.py",
        "elif holder.is_released:",
        "elif holder.name:",
        "tests/test_serving_orders.py",
    ),
    mutant.Mutant(
        "standby that nobody answers takes over",
        f"{DECISIONS}/leadership/failover.py",
        "if not heard_at_ms:\n            return False",
        "if not heard_at_ms:\n            return True",
        f"{DECISIONS}/leadership/tests/test_failover.py",
    ),
    mutant.Mutant(
        "window reported with other counts than are recorded",
        "poplarloft/coordination/metering/window_ledger.py",
        "return ReportWindow(window, record.counts)",
        "return ReportWindow(window, self._decide(window).counts)",
        "poplarloft/coordination/metering/tests/test_window_ledger.py",
    ),
    mutant.Mutant(
        "unknown key refused by an instance that may be behind",
        "poplarloft/coordination/accounts/access.py",
        "if self._is_confirmed(arrived_at_ms):",
        "if True:",
        "poplarloft/coordination/accounts/tests/test_access.py",
    ),
)
