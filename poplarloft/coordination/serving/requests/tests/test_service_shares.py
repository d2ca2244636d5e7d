"""Shares of a route's services."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from poplarloft.coordination import serving
from poplarloft.coordination.serving.requests import service_shares
from poplarloft import state


def targets(*weights):
    return tuple(
        state.Target(f"s{n}", weight) for n, weight in enumerate(weights)
    )


def chosen(route_targets, lot_id, items):
    return [
        serving.rank_services(
            route_targets, serving.spread_point(lot_id, position)
        )[0]
        for position in range(items)
    ]


@given(st.text(max_size=20), st.integers(1, 300), st.floats(0.05, 0.95))
def test_few_and_many_items_are_shared_by_weights(lot_id, items, share):
    services = chosen(targets(share, 1 - share), lot_id, items)
    assert abs(services.count("s0") - share * items) <= 4


@pytest.mark.parametrize("items", [2, 4, 8])
def test_both_of_two_equal_services_get_items_of_a_small_lot(items):
    for number in range(50):
        services = chosen(targets(1, 1), f"lot-{number}", items)
        assert abs(services.count("s0") - items / 2) <= 1


@given(st.lists(st.floats(0, 10), min_size=1, max_size=5), st.floats(0, 0.999))
def test_a_service_without_weight_gets_nothing(weights, point):
    ranked = serving.rank_services(targets(*weights), point)
    allowed = service_shares.allowed_services(targets(*weights))
    assert sorted(ranked) == sorted(allowed)
    if any(weights):
        assert all(weights[int(name[1:])] > 0 for name in ranked)
    else:
        assert ranked == ("s0",)
