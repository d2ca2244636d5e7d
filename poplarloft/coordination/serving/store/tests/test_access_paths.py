"""Paths of calls to the store."""

import random

from poplarloft.coordination import serving
from poplarloft import state


def made():
    clock = state.ManualClock()
    selector = serving.AccessPathSelector(clock, random.Random(0))
    selector.update_peers(["a", "b", "c"])
    return clock, selector


def test_direct_path_is_tried_first_then_some_peers():
    _, selector = made()
    paths = selector.paths_to_try()
    assert paths[0] == serving.DIRECT
    assert len(paths) == 3


def test_refused_direct_path_backs_off():
    clock, selector = made()
    selector.on_failure(serving.DIRECT)
    assert selector.paths_to_try()[-1] == serving.DIRECT
    clock.advance(3_001)
    assert selector.paths_to_try()[0] == serving.DIRECT


def test_peer_that_relayed_a_call_is_tried_first():
    _, selector = made()
    selector.on_failure(serving.DIRECT)
    selector.on_answer("c")
    assert all(selector.paths_to_try()[0] == "c" for _ in range(10))


def test_backoff_of_a_refusing_peer_grows():
    clock, selector = made()
    selector.on_failure("a")
    clock.advance(3_001)
    assert selector.is_usable("a")
    selector.on_failure("a")
    clock.advance(3_001)
    assert not selector.is_usable("a")
    selector.on_answer("a")
    assert selector.is_usable("a")


def test_unavailable_store_costs_one_call():
    clock, selector = made()
    selector.on_all_failed()
    assert selector.paths_to_try() == [serving.DIRECT]
    clock.advance(701)
    assert len(selector.paths_to_try()) == 3


def test_a_path_is_silent_after_two_calls_in_a_row_without_an_answer():
    selector = serving.AccessPathSelector(
        state.ManualClock(), random.Random(0)
    )
    selector.on_no_answer("b")
    assert not selector.is_silent("b")
    selector.on_answer("b")
    selector.on_no_answer("b")
    assert not selector.is_silent("b")
    selector.on_no_answer("b")
    assert selector.is_silent("b")
    assert not selector.is_silent(serving.DIRECT)
    selector.on_answer("b")
    assert not selector.is_silent("b")
