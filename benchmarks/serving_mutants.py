"""Deliberate faults behind a platform's balancer and store."""

from benchmarks import mutant

__all__ = ["MUTANTS"]

DECISIONS = "poplarloft/coordination/serving"
DRIVERS = "poplarloft/daemon/serving"

MUTANTS = (
    mutant.Mutant(
        "results listed after an unknown write",
        f"{DECISIONS}/result_log.py",
        "case state.WriteStatus.APPLIED:",
        "case state.WriteStatus.APPLIED | state.WriteStatus.UNKNOWN:",
        f"{DECISIONS}/tests/test_result_log.py",
    ),
    mutant.Mutant(
        "404 for a lot that the store can't be asked about",
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
        "orders before the duty is had",
        f"{DRIVERS}/lot_scheduler.py",
        "self.may_send_orders = fence > 0",
        "self.may_send_orders = True",
        "tests/test_serving_succession.py",
    ),
    mutant.Mutant(
        "an heir that is cut off runs the lots too",
        f"{DRIVERS}/leader_election.py",
        "if self.link.is_synced and await self.link.may_start_early():",
        "if self.link.is_synced:",
        "tests/test_serving_succession.py",
    ),
    mutant.Mutant(
        "age of news counted from their arrival",
        f"{DECISIONS}/feeds.py",
        "confirmed_at_ms = answer.sent_at_ms - part.age_ms",
        "confirmed_at_ms = now_ms - part.age_ms",
        f"{DECISIONS}/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "older changes taken again",
        f"{DECISIONS}/prefix_history.py",
        "if c.revision > self.revision]",
        "if c.revision]",
        f"{DECISIONS}/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "changes told though some are missing",
        f"{DECISIONS}/prefix_history.py",
        "is_snapshot = position < self.recent_since",
        "is_snapshot = False",
        f"{DECISIONS}/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "news trusted for ever",
        f"{DECISIONS}/feeds.py",
        "return max(0, confirmed_at_ms + self.max_age_ms"
        " - self.clock.now_ms())",
        "return self.max_age_ms",
        f"{DECISIONS}/tests/test_feeds.py",
    ),
    mutant.Mutant(
        "an older listing ends a newer lot",
        f"{DRIVERS}/lots_view.py",
        "if not self._is_newer(lot_id):",
        "if True:",
        "tests/test_serving_hints.py",
    ),
    mutant.Mutant(
        "a late hint brings an ended lot back",
        f"{DRIVERS}/lots_view.py",
        "if self.history is None or hint.revision <= self.history.revision:",
        "if self.history is None:",
        "tests/test_serving_hints.py",
    ),
    mutant.Mutant(
        "a dead engine is tried by each item",
        f"{DECISIONS}/planning.py",
        "if self.losses and self.running:",
        "if False:",
        f"{DECISIONS}/tests/test_planning.py",
    ),
    mutant.Mutant(
        "a free duty is taken from who runs the lots",
        f"{DRIVERS}/leader_election.py",
        "if self.failover.has_provisional_leader():",
        "if False:",
        "tests/test_serving_succession.py",
    ),
)
