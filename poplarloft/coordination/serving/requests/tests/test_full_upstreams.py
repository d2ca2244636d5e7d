"""Requests that were sent ahead leave full upstreams to others."""

from poplarloft.coordination import serving
from poplarloft.coordination.serving.requests import full_upstreams
from poplarloft import state

FIRST = ("s0", 1)
SECOND = ("s1", 1)
HOLD_MS = full_upstreams.HOLD_BACK_MS


def test_requests_wait_until_the_first_full_upstream_may_have_room():
    clock = state.ManualClock(10_000)
    full = serving.FullUpstreams(clock)
    assert full.hold_back_ms([]) == 0
    full.on_refused(FIRST)
    assert full.hold_back_ms([FIRST, SECOND]) == 0
    clock.advance(100)
    full.on_refused(SECOND)
    assert full.hold_back_ms([SECOND, FIRST]) == HOLD_MS - 100
    full.on_refused(FIRST)
    assert full.hold_back_ms([FIRST, SECOND]) == HOLD_MS
    assert full.hold_back_ms([("s0", 2)]) == 0  # started again
    clock.advance(HOLD_MS)
    assert full.hold_back_ms([FIRST, SECOND]) == 0
    full.on_refused(SECOND)
    assert list(full.refused_ms) == [SECOND]
