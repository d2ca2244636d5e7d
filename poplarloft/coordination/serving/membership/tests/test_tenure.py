"""This instance's entry, and a list that was asked for too early."""

from poplarloft.coordination import serving
from poplarloft import state

ADDRESS = state.Address("127.0.0.1", 1)


def test_a_renewal_that_is_answered_after_leaving_changes_nothing():
    """Guards against an issuer that has left and goes on."""
    tenure = serving.Tenure(state.ManualClock())
    tenure.on_attempt()
    tenure.on_done()
    assert tenure.is_current
    tenure.on_attempt()
    tenure.leave()
    tenure.on_done()
    assert not tenure.is_listed
    assert not tenure.is_current


def test_a_list_asked_for_before_the_others_came_is_not_whole():
    """Guards against a slow listing that is taken for a late one."""
    clock = state.ManualClock(10_000)
    roster = serving.Roster(clock)
    listed = {"a": state.PeerRecord(ADDRESS)}
    roster.on_listing(listed)
    roster.on_registered("a", listed["a"])
    asked_at_ms = clock.now_ms()
    clock.advance(4_000)
    roster.on_listing(listed, asked_at_ms)
    assert not roster.has_all_of_start
    assert roster.needs_current_listing
    roster.on_listing(listed)
    assert roster.has_all_of_start
