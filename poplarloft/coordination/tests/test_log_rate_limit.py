"""Rate limits of log lines."""

from poplarloft.coordination import log_rate_limit
from poplarloft import state


def test_lines_are_bounded_and_counted_when_omitted():
    clock = state.ManualClock()
    budget = log_rate_limit.LogRateLimiter(clock)
    written = sum(budget.allows("a", False) for _ in range(1_000))
    assert written == 200
    assert budget.take_omitted() == [log_rate_limit.OmittedLines("a", 800)]
    assert budget.take_omitted() == []
    clock.advance(1_000)
    assert sum(budget.allows("a", False) for _ in range(1_000)) == 50


def test_failure_lines_are_omitted_last():
    budget = log_rate_limit.LogRateLimiter(state.ManualClock())
    for _ in range(300):
        budget.allows("a", False)
    assert all(budget.allows("a", True) for _ in range(800))
    assert not budget.allows("a", True)
