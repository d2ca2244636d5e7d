"""Mixes of engines that stay and engines that may be reclaimed."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from poplarloft.coordination import capacity
from poplarloft.coordination.capacity import engine_mix
from poplarloft import state

PRICES = {"a": 0.85, "b": 1.0, "c": 1.2, "d": 0.85, "e": 1.1, "f": 1.2}
SCALING = state.EngineScaling(1, 8, 4_000, PRICES, 0.22)


@pytest.mark.parametrize("needed", range(2, 30, 3))
def test_mix_bears_the_loss_of_the_cheap_engines_of_any_place(needed):
    mix = capacity.cheapest_mix("s", SCALING, needed)
    for place in PRICES:
        cheap = state.EnginePool("s", place, True)
        left = sum(mix.counts.values()) - mix.counts.get(cheap, 0)
        assert left >= needed
    assert mix.safe * 2 >= needed


@pytest.mark.parametrize("needed", range(2, 30, 3))
def test_mix_costs_less_than_engines_that_stay(needed):
    mix = capacity.cheapest_mix("s", SCALING, needed)
    without = state.EngineScaling(1, 8, 4_000, PRICES)
    safe_only = capacity.cheapest_mix("s", without, needed)
    assert safe_only.safe >= needed
    assert mix.price(SCALING) <= safe_only.price(SCALING)


def test_bounds_of_each_place_hold():
    for needed in (2, 20, 200):
        mix = capacity.cheapest_mix("s", SCALING, needed)
        for place in PRICES:
            count = sum(
                n for p, n in mix.counts.items() if p.data_centre == place
            )
            assert 1 <= count <= 8


def test_pools_without_engines_are_left_out():
    gone = {state.EnginePool("s", place, True) for place in PRICES}
    mix = capacity.cheapest_mix("s", SCALING, 10, gone)
    assert not any(mix.counts.get(pool) for pool in gone)
    assert mix.safe >= 10


def test_places_without_a_price_get_no_engine():
    scaling = state.EngineScaling(0, 8, 4_000, {"a": 1.0}, 0.2)
    mix = capacity.cheapest_mix("s", scaling, 3)
    assert {pool.data_centre for pool in mix.counts} == {"a"}


@st.composite
def scalings(draw):
    places = "abcd"[: draw(st.integers(1, 4))]
    return state.EngineScaling(
        draw(st.integers(0, 2)),
        draw(st.integers(2, 6)),
        4_000,
        {place: draw(st.floats(0.5, 2.0)) for place in places},
        draw(st.sampled_from([None, 0.2, 0.9])),
    )


@given(scalings(), st.integers(1, 16))
def test_no_mix_of_as_many_engines_is_cheaper(scaling, needed):
    search = engine_mix.MixSearch("s", scaling, needed, ())
    found = capacity.cheapest_mix("s", scaling, needed)
    best = min(
        search.rank(search.spread(safe, cheap))
        for safe in range(search.first, search.last + 1)
        for cheap in range(search.ceiling - safe + 1)
    )
    assert search.rank(found) == best


@pytest.mark.parametrize("needed", [100, 1_000, 5_700])
def test_the_search_does_not_grow_with_the_need(needed, monkeypatch):
    """The leader's loop waits for it."""
    spreads = []
    spread = engine_mix.MixSearch.spread

    def counted(search, safe, cheap):
        spreads.append((safe, cheap))
        return spread(search, safe, cheap)

    monkeypatch.setattr(engine_mix.MixSearch, "spread", counted)
    scaling = state.EngineScaling(1, needed // 2, 4_000, PRICES, 0.22)
    mix = capacity.cheapest_mix("s", scaling, needed)
    assert mix.is_enough(needed)
    assert len(spreads) < 10_000
