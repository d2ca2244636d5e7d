"""What instances tell the leader of the requests that they began."""

import pytest

from poplarloft.coordination import metering
from poplarloft import state

ADDRESS = state.Address("127.0.0.1", 1)
WINDOW_MS = 5_000
KEPT_MS = 20_000
START_MS = 1_000_000


@pytest.fixture
def clock():
    return state.ManualClock(START_MS)


@pytest.fixture
def counter(clock):
    return metering.UsageCounter(clock, "front", WINDOW_MS, KEPT_MS)


def told(notice):
    return {row.window: row.counts for row in notice.windows}


def test_requests_count_in_the_window_in_which_they_began(counter):
    counter.count("a", START_MS - 1)
    counter.count("a", START_MS)
    counter.count("b", START_MS)
    assert told(counter.next_notice(ADDRESS, 7)) == {
        199: {"a": 1},
        200: {"a": 1, "b": 1},
    }


def test_notice_is_repeated_until_it_is_confirmed(counter):
    counter.count("a", START_MS)
    first = counter.next_notice(ADDRESS, 7)
    assert told(counter.next_notice(ADDRESS, 7)) == told(first)
    counter.on_receipt(state.UsageReceipt(first.ticket, 7))
    assert counter.next_notice(ADDRESS, 7) is None


def test_receipt_does_not_confirm_what_was_counted_since(counter):
    counter.count("a", START_MS)
    notice = counter.next_notice(ADDRESS, 7)
    counter.count("a", START_MS)
    counter.on_receipt(state.UsageReceipt(notice.ticket, 7))
    assert told(counter.next_notice(ADDRESS, 7)) == {200: {"a": 2}}


def test_new_leader_is_told_all(counter):
    counter.count("a", START_MS)
    notice = counter.next_notice(ADDRESS, 7)
    counter.on_receipt(state.UsageReceipt(notice.ticket, 7))
    assert told(counter.next_notice(ADDRESS, 9)) == {200: {"a": 1}}
    counter.on_receipt(state.UsageReceipt(notice.ticket, 7))
    assert counter.next_notice(ADDRESS, 9) is not None


def test_windows_that_can_not_be_reported_are_forgotten(counter, clock):
    counter.count("a", START_MS)
    clock.advance(KEPT_MS + WINDOW_MS)
    assert counter.next_notice(ADDRESS, 7) is None
    assert not counter.windows
