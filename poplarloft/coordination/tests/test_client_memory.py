"""Which clients go when they make an instance hold too much."""

import hypothesis
from hypothesis import strategies

from poplarloft.coordination import client_memory

Hold = client_memory.ClientHold
MAX_BYTES = 1_000


def test_clients_that_hold_most_in_excess_go_first():
    memory = client_memory.ClientMemory(MAX_BYTES)
    memory.update(1, Hold(ahead_bytes=300))
    memory.update(2, Hold(unread_bytes=400))
    memory.update(3, Hold(body_bytes=400))
    assert memory.to_close() == [2]
    assert memory.total_bytes == 700
    assert memory.to_close() == []


def test_request_that_is_served_is_not_closed():
    memory = client_memory.ClientMemory(MAX_BYTES)
    memory.update(1, Hold(body_bytes=5_000))
    assert memory.to_close() == []


def test_single_body_is_always_read():
    memory = client_memory.ClientMemory(MAX_BYTES)
    assert memory.may_take_body(1, 5_000)
    memory.update(1, Hold(body_bytes=5_000))
    assert memory.may_take_body(1, 6_000)
    assert not memory.may_take_body(2, 1)


def test_bodies_share_the_bound():
    memory = client_memory.ClientMemory(MAX_BYTES)
    memory.update(1, Hold(body_bytes=600))
    assert memory.may_take_body(2, 400)
    assert not memory.may_take_body(2, 401)
    memory.remove(1)
    assert memory.may_take_body(2, 401)


HOLDS = strategies.builds(
    Hold,
    strategies.integers(0, 400),
    strategies.integers(0, 400),
    strategies.integers(0, 400),
)


@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.integers(1, 6), HOLDS))
)
def test_excess_stays_within_the_bound(steps):
    memory = client_memory.ClientMemory(MAX_BYTES)
    for client, hold in steps:
        memory.update(client, hold)
        memory.to_close()
        bodies = sum(h.body_bytes for h in memory.holds.values())
        assert memory.total_bytes <= max(MAX_BYTES, bodies)
        total = sum(h.total_bytes for h in memory.holds.values())
        assert total == memory.total_bytes
