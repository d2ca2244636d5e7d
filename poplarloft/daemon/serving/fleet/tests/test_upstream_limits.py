"""Choice among upstreams with and without a limit, on one instance."""

import asyncio
import random

import pytest
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft.daemon.serving.fleet import upstream_limits
from poplarloft import state

ADDRESS = state.Address("127.0.0.1", 1)
SAMPLERS = [state.Sampler(f"s{n}", 1, "a", ADDRESS, "z", 4) for n in range(9)]
NEED = serving.PermitNeed("r", 0, 10)


class Alone:
    """Knows no other instances."""

    members = {}
    may_issue = False

    def now_ms(self):
        return 0


class CountingLimits(upstream_limits.UpstreamLimits):
    """Counts the questions to the issuer."""

    def __init__(self):
        super().__init__("a", peer_link.PeerLink(), Alone(), has_peers=False)
        self.asked = []
        decide = self.link.decide_here

        def counted(engine_id, need, place):
            self.asked.append(engine_id)
            return decide(engine_id, need, place)

        self.link.decide_here = counted


@pytest.fixture
def limits():
    return CountingLimits()


@pytest.fixture
def balancer():
    clock = state.MonotonicClock()
    return serving.LeastExpectedTime(clock, random.Random(0), lambda _: 0.0)


def limit(limits, samplers, rate_per_s):
    for sampler in samplers:
        limits.on_response(sampler, state.NamedLimit(rate_per_s), "r")


async def test_without_limits_nobody_is_asked(limits, balancer):
    chosen = await limits.choose(balancer, SAMPLERS, ["s0"], NEED)
    assert chosen.unwrap().name != "s0"
    assert limits.asked == []


async def test_an_upstream_without_a_limit_goes_first(limits, balancer):
    limit(limits, SAMPLERS[1:], 1.0)
    chosen = await limits.choose(balancer, SAMPLERS, (), NEED)
    assert chosen == result.Success(SAMPLERS[0])


async def test_few_upstreams_are_asked_for_one_request(limits, balancer):
    limit(limits, SAMPLERS, 0.5)
    refused = await limits.choose(balancer, SAMPLERS, (), NEED)
    assert refused.failure() > 1_000
    assert len(limits.asked) == upstream_limits.MAX_ASKED


async def test_a_denial_answers_the_requests_after_it(limits, balancer):
    limit(limits, SAMPLERS[:1], 0.5)
    for _ in range(5):
        await limits.choose(balancer, SAMPLERS[:1], (), NEED)
    assert len(limits.asked) == 1


async def test_a_denial_does_not_outlast_its_limit(limits, balancer):
    limit(limits, SAMPLERS[:1], 0.0)
    assert (await limits.acquire(SAMPLERS[0], NEED)).failure() > 20_000
    limit(limits, SAMPLERS[:1], 500.0)
    await limits.acquire(SAMPLERS[0], NEED)
    assert len(limits.asked) == 2


async def test_no_upstream_at_all_is_no_wait(limits, balancer):
    assert await limits.choose(balancer, (), (), NEED) == result.Failure(None)


async def test_upstreams_that_are_gone_are_forgotten(limits, balancer):
    limit(limits, SAMPLERS, 0.5)
    await limits.choose(balancer, SAMPLERS, (), NEED)
    limits.follow(serving.SamplerRegistry(state.ManualClock()))
    assert limits.table.known == {}
    assert limits.denials == {}
    assert limits.link.issuer.schedules == {}


async def test_a_silent_issuer_delays_no_request_that_a_sibling_can_take(
    limits, balancer
):
    async def never_answer(engine_id, need):
        await asyncio.Event().wait()

    limits.has_peers = True
    limits.link.ask = never_answer
    limit(limits, SAMPLERS[1:], 1.0)
    async with asyncio.timeout(5):
        chosen = await limits.choose(balancer, SAMPLERS, (), NEED)
    assert chosen == result.Success(SAMPLERS[0])
