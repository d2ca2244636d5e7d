"""Which lots are held, and which wait in the store."""

import hypothesis
from hypothesis import strategies

from poplarloft.coordination.serving.rollouts import lot_backlog

MAX_BYTES = 800
LARGE = 150


def test_large_lots_leave_room_for_small_ones():
    backlog = lot_backlog.LotBacklog(MAX_BYTES)
    admitted = [backlog.admit(f"large-{n}", LARGE) for n in range(6)]
    assert admitted == [True, True, False, False, False, False]
    assert all(backlog.admit(f"small-{n}", 100) for n in range(5))
    assert not backlog.admit("small-5", 100)


def test_small_lots_that_wait_come_first():
    backlog = lot_backlog.LotBacklog(MAX_BYTES)
    for lot_id, size in (("a", 790), ("b", 700), ("c", 30), ("d", 30)):
        backlog.admit(lot_id, size)
    assert backlog.next_deferred() is None
    backlog.remove("a")
    assert backlog.next_deferred() == "c"


def test_backlog_is_full_while_as_much_waits_as_may_be_held():
    backlog = lot_backlog.LotBacklog(MAX_BYTES)
    for lot_id in "abc":
        backlog.admit(lot_id, 700)
    assert backlog.is_full
    backlog.remove("c")
    assert not backlog.is_full


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 9), strategies.integers(1, 1_000)
        )
    )
)
def test_bound_holds_and_every_lot_has_its_turn(steps):
    backlog = lot_backlog.LotBacklog(MAX_BYTES)
    for number, size in steps:
        lot_id = str(number)
        if lot_id in backlog.held or lot_id in backlog.deferred:
            backlog.remove(lot_id)
        else:
            backlog.admit(lot_id, size)
        sizes = backlog.held.values()
        assert sum(sizes) == backlog.held_bytes
        assert backlog.held_bytes <= max(MAX_BYTES, *sizes, 0)
    while backlog.held or backlog.deferred:
        lot_id = backlog.next_deferred()
        if lot_id is None:
            backlog.remove(next(iter(backlog.held)))
        else:
            size = backlog.deferred[lot_id]
            backlog.remove(lot_id)
            assert backlog.admit(lot_id, size)
    assert backlog.held_bytes == backlog.large_bytes == 0
    assert backlog.deferred_bytes == 0
