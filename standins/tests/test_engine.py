"""The engine stand-in's faults: lagged load, failed swaps, old fences."""

import random

from poplarloft.protocol import engine as messages
from poplarloft import state
from standins import engine


def make_engine(**options):
    upstream = state.Upstream(
        "e",
        1,
        "pool",
        state.UpstreamKind.ENGINE,
        state.Address("127.0.0.1", 0),
        state.Location("r", "d"),
    )
    times = engine.EngineTimes(preload_ms=0, switch_ms=0)
    return engine.EngineServer(upstream, random.Random(1), times, **options)


def order(kind, version, fence=1):
    return messages.WeightOrder(kind=kind, weight_version=version, fence=fence)


def test_load_report_is_as_old_as_the_lag():
    made = make_engine(load_lag_ms=1_000)
    made.clock = state.ManualClock(10_000)
    assert made._lagged_state().running == 0
    made.running = 5
    made.clock.advance(600)
    assert made._lagged_state().running == 0
    made.clock.advance(600)
    report = made._lagged_state()
    assert (report.running, report.age_ms) == (0, 1_200)
    made.clock.advance(600)
    report = made._lagged_state()
    assert (report.running, report.age_ms) == (5, 1_200)


async def test_failed_swap_leaves_the_engine_on_its_old_version():
    made = make_engine()
    made.fail_next_swaps = 1
    assert (await made._obey(order("preload", 1))).accepted
    assert not (await made._obey(order("switch", 1))).accepted
    assert made.weight_version == 0
    assert (await made._obey(order("switch", 1))).accepted
    assert made.weight_version == 1


async def test_old_fencing_number_is_refused():
    made = make_engine()
    assert (await made._obey(order("preload", 1, fence=3))).accepted
    refused = await made._obey(order("preload", 2, fence=2))
    assert refused.detail == "fence 2 is below 3"
