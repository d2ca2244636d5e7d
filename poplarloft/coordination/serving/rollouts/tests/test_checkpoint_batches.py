"""Batches of checkpoints stay below what a value of the store may have."""

from hypothesis import given
from hypothesis import strategies as st

from poplarloft.coordination import serving
from poplarloft.coordination.serving.rollouts import checkpoints
from poplarloft import state


def increment(number, size):
    return state.CheckpointIncrement(
        f"i{number}", 1, ("a" * size,), (1,), False, ""
    )


@given(st.lists(st.integers(0, 1_000_000), max_size=40))
def test_batches_are_bounded_and_lose_nothing(sizes):
    increments = [increment(n, size) for n, size in enumerate(sizes)]
    batches = list(serving.split_increments(increments))
    assert [x for batch in batches for x in batch] == increments
    for batch in batches:
        size = sum(len(x.events[0]) for x in batch)
        assert len(batch) <= 1 or size <= checkpoints.MAX_BATCH_BYTES
