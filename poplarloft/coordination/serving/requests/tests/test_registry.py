"""Announcements of upstreams that are removed or expire."""

from poplarloft.coordination import serving
from poplarloft import state


def sampler(name="a", born_ms=1, is_leaving=False):
    address = state.Address("127.0.0.1", 1)
    return state.Sampler(
        name, born_ms, "pool", address, "z", 4, is_leaving, {"m": 1}
    )


def made():
    clock = state.ManualClock()
    registry = serving.SamplerRegistry(clock)
    registry.on_store_available()
    clock.advance(10_000)
    registry.announce(sampler())
    return clock, registry


def test_upstream_removed_without_outage_is_gone_at_once():
    _, registry = made()
    registry.remove("a")
    assert registry.of_service("pool") == []


def test_upstream_removed_around_an_outage_stays_eligible():
    clock, registry = made()
    registry.on_store_unavailable()
    registry.on_store_available()
    registry.remove("a")
    assert [s.name for s in registry.of_service("pool")] == ["a"]
    clock.advance(2_000)
    assert registry.of_service("pool")
    clock.advance(600)
    assert registry.of_service("pool") == []


def test_leaving_upstream_is_neither_eligible_nor_expired():
    _, registry = made()
    registry.announce(sampler(is_leaving=True))
    assert registry.of_service("pool") == []
    registry.on_store_unavailable()
    registry.remove("a")
    assert registry.of_service("pool") == []


def test_another_incarnation_is_another_upstream():
    _, registry = made()
    before = registry.known["a"]
    registry.announce(sampler(born_ms=2))
    assert not registry.is_current(before)
    assert registry.is_current(sampler(born_ms=2))


def test_listing_removes_upstreams_it_lacks():
    _, registry = made()
    registry.announce(sampler("b"))
    assert registry.keep_only({"b"}) == ["a"]
    assert [s.name for s in registry.of_service("pool")] == ["b"]


def test_a_run_that_was_replaced_gets_nothing_until_the_other_is_announced():
    _, registry = made()
    registry.on_replaced(registry.known["a"].engine_id)
    assert registry.of_service("pool") == []
    registry.announce(sampler())  # a late announcement of the earlier run
    assert registry.of_service("pool") == []
    registry.announce(sampler(born_ms=2))
    assert [s.born_ms for s in registry.of_service("pool")] == [2]
