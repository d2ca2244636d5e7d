"""What daemons believe of the runner's place."""

from poplarloft.coordination import serving
from poplarloft import state


def here(fence):
    return state.LeaderAnnouncement(fence, state.Address("127.0.0.1", fence))


def test_the_newest_runner_counts():
    known = serving.LeaderLocation(state.ManualClock())
    assert known.address() is None
    known.on_leader(here(7))
    known.on_leader(here(5))
    assert known.address().port == 7


def test_a_runner_that_is_not_heard_is_not_told():
    clock = state.ManualClock()
    known = serving.LeaderLocation(clock)
    known.on_leader(here(7))
    clock.advance(4_001)
    assert known.address() is None
    known.on_leader(here(8))
    assert known.address().port == 8
