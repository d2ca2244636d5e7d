"""Mixes of engines that stay and engines that may be reclaimed."""

import pytest

from poplarloft.coordination import capacity
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
