"""Upstreams that say themselves that they leave."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from poplarloft.coordination import serving
from poplarloft import state

BOUND_MS = 3_000
LAST_USE_MS = BOUND_MS // 2
NAMES = ("a", "b", "c")
SAMPLER = state.Sampler("a", 1, "app", state.Address("h", 1), "z", 4)
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["say", "announce", "remove", "list", "restart", "down", "up"]
        ),
        st.sampled_from(NAMES),
        st.integers(0, 4_000),
    ),
    max_size=30,
)


@given(EVENTS)
def test_a_run_that_leaves_gets_no_request_after_the_bound(events):
    """Announcements, late news and answers may come in any order."""
    clock = state.ManualClock(1_000)
    registry = serving.SamplerRegistry(clock, LAST_USE_MS)
    born = dict.fromkeys(NAMES, 1)
    said_at_ms = {}

    def current(name, born_ms=None):
        return dataclasses.replace(
            SAMPLER, name=name, born_ms=born_ms or born[name]
        )

    for kind, name, pause_ms in events:
        match kind:
            case "say":
                run = current(name).engine_id
                registry.on_leaving(run)
                said_at_ms.setdefault(run, clock.now_ms())
            case "announce":
                registry.announce(current(name))
            case "remove":
                registry.remove(name)
            case "list":
                registry.keep_only({name})
            case "restart":
                born[name] += 1
                registry.announce(current(name))
                assert name in {s.name for s in registry.of_service("app")}
            case "down":
                registry.on_store_unavailable()
            case "up":
                registry.on_store_available()
        clock.advance(pause_ms)
        usable = registry.of_service("app")
        for sampler in usable:
            at_ms = said_at_ms.get(sampler.engine_id)
            assert at_ms is None or clock.now_ms() - at_ms < BOUND_MS
        staying = [s for s in usable if s.engine_id not in said_at_ms]
        assert not staying or len(staying) == len(usable)


def test_nothing_is_kept_where_nobody_leaves():
    registry = serving.SamplerRegistry(state.ManualClock())
    registry.announce(SAMPLER)
    assert registry.of_service("app") == [SAMPLER]
    assert registry.leaving_since_ms == {}


def test_news_count_once():
    registry = serving.SamplerRegistry(state.ManualClock())
    assert registry.on_leaving(SAMPLER.engine_id)
    assert not registry.on_leaving(SAMPLER.engine_id)
