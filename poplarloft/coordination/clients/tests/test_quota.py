"""Memory that several users share."""

import hypothesis
from hypothesis import strategies

from poplarloft.coordination import clients

MAX_BYTES = 100


def test_users_wait_in_the_order_of_asking():
    quota = clients.MemoryQuota(MAX_BYTES)
    given = []
    for user, size in (("a", 150), ("b", 90), ("c", 10), ("d", 20)):
        quota.ask(user, size, lambda user=user: given.append(user))
    assert given == ["a"]  # alone, though it is larger than the quota
    quota.give_back(150)
    assert given == ["a", "b", "c"]
    assert quota.withdraw("d")
    assert not quota.withdraw("b")  # which has its memory by then


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["ask", "withdraw", "end"]),
            strategies.integers(0, 7),
            strategies.integers(1, 60),
        )
    )
)
def test_bound_holds_and_nothing_is_leaked(steps):
    quota = clients.MemoryQuota(MAX_BYTES)
    held = {}
    sizes = {}
    for action, user, size in steps:
        if action == "ask" and user not in sizes:
            sizes[user] = size
            quota.ask(user, size, lambda u=user: held.update({u: sizes[u]}))
        elif action == "withdraw" and quota.withdraw(user):
            del sizes[user]
        elif action == "end" and user in held:
            del sizes[user]
            quota.give_back(held.pop(user))
        assert quota.taken_bytes == sum(held.values()) <= MAX_BYTES
    while held:
        user = next(iter(held))
        quota.give_back(held.pop(user))
    assert quota.taken_bytes == 0
    assert not quota.waiting
