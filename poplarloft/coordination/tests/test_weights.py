"""Weight orders (fencing, read-back, capacity) and sample labels."""

import hypothesis
from hypothesis import strategies
from returns import result

from poplarloft import coordination
from poplarloft import state


def make_rollout(clock, **changes):
    settings = coordination.WeightSettings(**changes)
    rollout = coordination.WeightRollout(clock, settings)
    rollout.on_lease(state.Lease("weights", "a", 3, 6_000))
    rollout.on_target(1)
    return rollout


def report(name, version, preloaded=(), honours_fence=True, incarnation=1):
    return coordination.EngineReport(
        name, incarnation, version, frozenset(preloaded), honours_fence
    )


def kinds(orders):
    return [(o.engine, o.kind.value, o.fence) for o in orders]


def test_engines_preload_a_few_at_a_time_and_switch_when_all_have():
    clock = state.ManualClock()
    rollout = make_rollout(clock, max_preloads=1)
    rollout.on_report(report("a", 0))
    rollout.on_report(report("b", 0))
    assert kinds(rollout.plan()) == [("a", "preload", 3)]
    assert rollout.plan() == []
    rollout.on_order_done("a", True)
    rollout.on_report(report("a", 0, [1]))
    assert kinds(rollout.plan()) == [("b", "preload", 3)]
    rollout.on_order_done("b", True)
    rollout.on_report(report("b", 0, [1]))
    assert kinds(rollout.plan()) == [("a", "switch", 3)]


def test_without_a_lease_nothing_is_ordered():
    rollout = make_rollout(state.ManualClock())
    rollout.on_report(report("a", 0))
    rollout.on_lease(None)
    assert rollout.plan() == []


def test_new_issuer_waits_out_orders_to_engines_that_ignore_fences():
    clock = state.ManualClock()
    rollout = make_rollout(clock, order_timeout_ms=5_000)
    rollout.on_report(report("a", 0, honours_fence=False))
    assert rollout.plan() == []
    clock.advance(5_000)
    assert kinds(rollout.plan()) == [("a", "preload", 3)]


def test_engine_found_on_another_version_is_ordered_again():
    rollout = make_rollout(state.ManualClock())
    rollout.on_report(report("a", 1))
    assert rollout.plan() == [] and rollout.is_done()
    rollout.on_report(report("a", 0, [0]))
    assert kinds(rollout.plan()) == [("a", "preload", 3)]


def test_unanswered_order_is_sent_again_after_its_timeout():
    clock = state.ManualClock()
    rollout = make_rollout(clock, order_timeout_ms=5_000)
    rollout.on_report(report("a", 0))
    rollout.plan()
    clock.advance(5_001)
    assert kinds(rollout.plan()) == [("a", "preload", 3)]


def test_report_of_an_earlier_incarnation_is_ignored():
    rollout = make_rollout(state.ManualClock())
    rollout.on_report(report("a", 1, incarnation=2))
    rollout.on_report(report("a", 0, incarnation=1))
    assert rollout.is_done()


def chunk(version, *tokens, engine="e#1"):
    return state.Chunk(tokens, version, engine)


@hypothesis.given(
    versions=strategies.lists(strategies.integers(0, 3), min_size=1)
)
def test_spans_name_the_version_of_every_token(versions):
    labeller = coordination.Labeller("e#1")
    for version in versions:
        labeller.on_chunk(chunk(version, 10 + version, 20 + version))
    tokens, spans = labeller.finish().unwrap()
    named = []
    for span in spans:
        count = span.last_token - span.first_token + 1
        named += [span.weight_version] * count
    assert named == [token % 10 for token in tokens]
    assert all(
        a.weight_version != b.weight_version
        for a, b in zip(spans, spans[1:], strict=False)
    )


def test_uncertain_version_makes_the_sample_unusable():
    labeller = coordination.Labeller("e#1")
    labeller.on_chunk(chunk(1, 5))
    labeller.on_chunk(chunk(None, 6))
    fault = coordination.LabelFault.UNCERTAIN_VERSION
    assert labeller.finish() == result.Failure(fault)


def test_chunk_of_another_incarnation_is_a_fault_unless_announced():
    labeller = coordination.Labeller("e#1")
    labeller.on_chunk(chunk(1, 5))
    labeller.on_chunk(chunk(1, 6, engine="e#2"))
    fault = coordination.LabelFault.ENGINE_CHANGED
    assert labeller.finish() == result.Failure(fault)
    resumed = coordination.Labeller("e#1")
    resumed.on_chunk(chunk(1, 5))
    resumed.on_resume("f#4")
    resumed.on_chunk(chunk(2, 6, engine="f#4"))
    _, spans = resumed.finish().unwrap()
    assert spans == (state.Span(1, 0, 0), state.Span(2, 1, 1))
