"""Ways of calls to the store."""

import random

from poplarloft.coordination import serving
from poplarloft import state


def made():
    clock = state.ManualClock()
    choice = serving.AccessPathSelector(clock, random.Random(0))
    choice.update_peers(["a", "b", "c"])
    return clock, choice


def test_direct_way_goes_first_and_some_peers_follow():
    _, choice = made()
    ways = choice.paths_to_try()
    assert ways[0] == serving.DIRECT
    assert len(ways) == 3


def test_refused_direct_way_rests():
    clock, choice = made()
    choice.on_failure(serving.DIRECT)
    assert choice.paths_to_try()[-1] == serving.DIRECT
    clock.advance(3_001)
    assert choice.paths_to_try()[0] == serving.DIRECT


def test_peer_that_carried_a_call_is_asked_again():
    _, choice = made()
    choice.on_failure(serving.DIRECT)
    choice.on_answer("c")
    assert all(choice.paths_to_try()[0] == "c" for _ in range(10))


def test_peer_that_goes_on_refusing_is_tried_less_and_less():
    clock, choice = made()
    choice.on_failure("a")
    clock.advance(3_001)
    assert choice.is_usable("a")
    choice.on_failure("a")
    clock.advance(3_001)
    assert not choice.is_usable("a")
    choice.on_answer("a")
    assert choice.is_usable("a")


def test_store_that_is_away_costs_one_call():
    clock, choice = made()
    choice.on_all_failed()
    assert choice.paths_to_try() == [serving.DIRECT]
    clock.advance(701)
    assert len(choice.paths_to_try()) == 3
