"""Knowledge of the limits that upstreams name."""

import pytest

from poplarloft.coordination import serving
from poplarloft import state

SERVER = ("s", 1)
NO_LIMIT = state.NamedLimit(None)


@pytest.fixture
def clock():
    return state.ManualClock(10_000)


@pytest.fixture
def table(clock):
    return serving.LimitTable(clock, "a")


def report(rate_per_s, age_ms, heard_by="b"):
    return state.LimitReport(*SERVER, rate_per_s, age_ms, heard_by)


def test_responses_without_a_limit_take_no_space(table):
    for number in range(5_700):
        table.on_response((f"s{number}", 1), NO_LIMIT)
    assert table.known == {}


def test_a_response_without_the_limit_ends_it(table):
    assert table.on_response(SERVER, state.NamedLimit(2.0))
    assert not table.on_response(SERVER, state.NamedLimit(2.0))
    assert table.on_response(SERVER, NO_LIMIT)
    assert table.rate_of(SERVER) is None


def test_an_unreadable_limit_changes_nothing(table):
    table.on_response(SERVER, state.NamedLimit(2.0))
    assert not table.on_response(SERVER, state.NamedLimit(None, "text"))
    assert table.rate_of(SERVER) == 2.0


def test_a_limit_does_not_outlive_its_upstream(table):
    table.on_response(SERVER, state.NamedLimit(2.0))
    assert table.rate_of(("s", 2)) is None
    table.keep_only({("s", 2)})
    assert table.known == {}


def test_the_newest_word_counts_wherever_it_was_heard(table, clock):
    table.on_response(SERVER, state.NamedLimit(2.0))
    clock.advance(100)
    assert not table.on_report(report(None, age_ms=150))
    assert table.rate_of(SERVER) == 2.0
    assert table.on_report(report(None, age_ms=50))
    assert table.rate_of(SERVER) is None
    assert not table.on_report(report(9.0, age_ms=60))


def test_own_news_that_comes_back_late_does_not_revive_a_limit(table, clock):
    table.on_response(SERVER, state.NamedLimit(2.0))
    table.on_response(SERVER, NO_LIMIT)
    clock.advance(30)
    assert not table.on_report(report(2.0, age_ms=0, heard_by="a"))
    assert table.rate_of(SERVER) is None
