"""Orders of several daemons that lead in turn, under faults."""

from hypothesis import settings
from hypothesis import stateful
import pytest

from poplarloft.coordination.serving.leadership import order_lock
from poplarloft.coordination.serving.leadership.tests import orders_model
from poplarloft import state

CASES = settings(max_examples=100, stateful_step_count=20)


def test_no_two_daemons_order_in_turn():
    stateful.run_state_machine_as_test(
        orders_model.OrdersModel, settings=CASES
    )


def test_nobody_orders_again_within_a_turn():
    stateful.run_state_machine_as_test(orders_model.TurnsModel, settings=CASES)


def hand_over_and_back(model):
    """Daemons 0 and 1 lead, order and release the lock by turns."""
    model.pass_time(6_000, ("none",) * 3, late_ms=50)
    for index in (0, 1, 0):
        model.fail_over(index=index, previous="unaware", frozen_ms=50)
        model.pass_time(1_000, ("none",) * 3, late_ms=50)
        model.release(index=index)
    model.nobody_orders_again_within_a_turn()


def test_daemon_that_gets_the_lock_back_waits_for_its_turn():
    model = orders_model.TurnsModel()
    hand_over_and_back(model)
    assert {order.name for order in model.orders} == {"a", "b"}


def test_model_finds_turns_of_impatient_daemons():
    with pytest.raises(AssertionError, match="Order"):
        hand_over_and_back(orders_model.ImpatientModel())


def test_model_finds_orders_in_turn_without_the_lock():
    with pytest.raises(AssertionError, match="Order"):
        stateful.run_state_machine_as_test(
            orders_model.UnguardedModel, settings=CASES
        )


def leading(rules, name="b"):
    clock = state.ManualClock()
    lock = order_lock.OrderLock(clock, name, rules)
    lock.begin(7, clock.now_ms(), orders_model.FENCE)
    return clock, lock


def test_nothing_waits_where_engines_check_fences():
    _, lock = leading(order_lock.OrderRules(True, orders_model.TURN_MS))
    assert lock.remaining_ms() > 0
    assert lock.next_action() is None
    assert lock.release() is None


def test_released_lock_is_taken_at_once():
    clock, lock = started_long_ago()
    assert lock.next_action() == order_lock.ReadHolder()
    lock.on_read(state.OrderHolder("a", 3, is_released=True), 12)
    own_record = state.OrderHolder("b", 7, fence=orders_model.FENCE)
    written = order_lock.WriteHolder(own_record, 12)
    assert lock.next_action() == written
    lock.on_written(orders_model.Status.APPLIED, 13)
    assert lock.remaining_ms() == order_lock.VALID_MS


def test_a_leader_unaware_of_its_successor_orders_no_more():
    model = orders_model.OrdersModel()
    model.fail_over(index=1, previous="cut off", frozen_ms=50)
    model.fail_over(index=0, previous="frozen", frozen_ms=50)
    model.pass_time(6_000, ("none",) * 3, late_ms=50)
    model.no_two_holders_in_turn()
    assert {order.name for order in model.orders} == {"a"}


def test_a_replaced_leader_takes_no_lock_from_a_newer_one():
    _, lock = leading(order_lock.OrderRules(False, orders_model.TURN_MS))
    lock.on_read(state.OrderHolder("a", 3, fence=orders_model.FENCE + 1), 12)
    assert lock.next_action() is None
    assert lock.remaining_ms() == 0


def started_long_ago(name="b"):
    clock = state.ManualClock()
    rules = order_lock.OrderRules(False, orders_model.TURN_MS)
    lock = order_lock.OrderLock(clock, name, rules)
    clock.advance(60_000)
    lock.begin(7, clock.now_ms(), orders_model.FENCE)
    return clock, lock


def test_holder_that_may_still_order_is_waited_out():
    clock, lock = started_long_ago()
    lock.on_read(state.OrderHolder("a", 3), 12)
    assert lock.next_action() == order_lock.RevokeLease(3)
    lock.on_failed()
    clock.advance(order_lock.RETRY_MS)
    assert lock.next_action() == order_lock.RevokeLease(3)
    lock.on_revoked()
    wait_ms = order_lock.VALID_MS + order_lock.ARRIVAL_MS
    assert lock.wait_ms() == wait_ms
    clock.advance(wait_ms - 1)
    assert lock.next_action() is None
    clock.advance(1)
    assert isinstance(lock.next_action(), order_lock.WriteHolder)


def test_former_holder_waits_for_its_turn():
    clock, lock = started_long_ago()
    lock.on_read(None, state.ABSENT)
    lock.on_written(orders_model.Status.APPLIED, 2)
    lock.end()
    clock.advance(100)
    lock.begin(8, clock.now_ms(), orders_model.FENCE + 2)
    lock.on_read(state.OrderHolder("a", 3, is_released=True), 12)
    own_last_ms = order_lock.VALID_MS + order_lock.ARRIVAL_MS
    assert lock.wait_ms() == own_last_ms + orders_model.TURN_MS - 100
    clock.advance(lock.wait_ms())
    assert isinstance(lock.next_action(), order_lock.WriteHolder)


def test_daemon_that_has_just_started_takes_itself_for_a_former_holder():
    clock, lock = leading(order_lock.OrderRules(False, orders_model.TURN_MS))
    lock.on_read(state.OrderHolder("a", 3), 12)
    lock.on_revoked()
    assert lock.wait_ms() == order_lock.ARRIVAL_MS + orders_model.TURN_MS


def test_orders_end_without_renewals():
    clock, lock = leading(order_lock.OrderRules(False, orders_model.TURN_MS))
    lock.on_read(None, state.ABSENT)
    lock.on_written(orders_model.Status.APPLIED, 2)
    clock.advance(1_000)
    lock.on_renewed(800)
    assert lock.remaining_ms() == order_lock.VALID_MS - 200
    clock.advance(order_lock.VALID_MS - 200)
    assert lock.remaining_ms() == 0
