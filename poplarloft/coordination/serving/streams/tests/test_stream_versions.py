"""Streams and the versions that began them, with bounds and lifetimes."""

import dataclasses

import pytest

from poplarloft.coordination import serving
from poplarloft.coordination.serving.streams import stream_versions
from poplarloft import state

LIFETIME_MS = stream_versions.STREAM_LIFETIME_MS
SAMPLER = state.Sampler(
    "s0", 1, "app", state.Address("h", 1), "z", 4, software_version="a"
)
UNKNOWN = state.StreamRecord("k", "", "")


@pytest.fixture
def clock():
    return state.ManualClock(5_000)


def record(key, version="a"):
    return state.StreamRecord(key, "app", version)


def test_a_stream_is_known_for_its_lifetime(clock):
    table = serving.StreamTable(clock)
    table.add(record("k"))
    clock.advance(LIFETIME_MS)
    assert table.find("k") == record("k")
    clock.advance(1)
    assert table.find("k") == UNKNOWN
    table.add(record("other"))
    assert list(table.begun) == ["other"]


def test_a_million_streams_fill_no_table(clock):
    table = serving.StreamTable(clock, max_streams=100)
    for number in range(1_000):
        table.add(record(f"k{number}"))
    assert len(table.begun) == 100
    assert table.find("k999") == record("k999")
    assert table.find("k0").software_version == ""


@pytest.fixture
def history(clock):
    made = serving.VersionHistory(clock, clock)
    made.observe([SAMPLER])
    return made


def test_the_only_version_counts_once_it_was_observed_for_long(history, clock):
    assert history.only_origin("k", ("app",)) == UNKNOWN
    clock.advance(LIFETIME_MS)
    assert history.only_origin("k", ("app",)) == record("k")
    assert history.only_origin("k", ("app", "other")) == UNKNOWN


@pytest.mark.parametrize("version", ["b", ""])
def test_a_version_that_has_left_counts_while_its_streams_may_live(
    history, clock, version
):
    other = dataclasses.replace(SAMPLER, software_version=version)
    history.observe([SAMPLER, other])
    clock.advance(LIFETIME_MS)
    assert history.only_origin("k", ("app",)) == UNKNOWN
    history.observe([SAMPLER])
    clock.advance(LIFETIME_MS)
    assert history.only_origin("k", ("app",)) == UNKNOWN
    clock.advance(1)
    assert history.only_origin("k", ("app",)) == record("k")


def test_a_gap_in_what_was_observed_begins_the_history_anew(history, clock):
    clock.advance(LIFETIME_MS)
    history.observe([SAMPLER], gaps=1)
    assert history.only_origin("k", ("app",)) == UNKNOWN
    clock.advance(LIFETIME_MS)
    history.observe([SAMPLER], gaps=1)
    assert history.only_origin("k", ("app",)) == record("k")


def test_a_suspension_begins_the_history_anew(clock):
    steady_clock = state.ManualClock()
    history = serving.VersionHistory(clock, steady_clock)
    history.observe([SAMPLER])
    clock.advance(LIFETIME_MS)
    steady_clock.advance(LIFETIME_MS)
    assert history.only_origin("k", ("app",)) == record("k")
    clock.advance(stream_versions.MAX_SUSPENSION_MS + 1)
    assert history.only_origin("k", ("app",)) == UNKNOWN
    clock.advance(LIFETIME_MS)
    steady_clock.advance(LIFETIME_MS)
    assert history.only_origin("k", ("app",)) == record("k")


@pytest.mark.parametrize(
    ("pause_ms", "gaps"),
    [(serving.MAX_GAP_MS, 1), (serving.MAX_GAP_MS + 1, 2)],
)
def test_a_listing_long_after_the_last_confirmation_is_a_gap(
    clock, pause_ms, gaps
):
    prefix_history = serving.PrefixHistory(clock, "servers/")
    prefix_history.on_listing([], 1, clock.now_ms())
    clock.advance(pause_ms)
    prefix_history.on_listing([], 2, clock.now_ms())
    assert prefix_history.gaps == gaps
