"""The leader's address as known to other daemons."""

from poplarloft.coordination import serving
from poplarloft import state


def announcement(fence):
    return state.LeaderAnnouncement(fence, state.Address("127.0.0.1", fence))


def test_newest_leader_counts():
    location = serving.LeaderLocation(state.ManualClock())
    assert location.address() is None
    location.on_leader(announcement(7))
    location.on_leader(announcement(5))
    assert location.address().port == 7


def test_leader_without_recent_announcement_is_unknown():
    clock = state.ManualClock()
    location = serving.LeaderLocation(clock)
    location.on_leader(announcement(7))
    clock.advance(4_001)
    assert location.address() is None
    location.on_leader(announcement(8))
    assert location.address().port == 8
