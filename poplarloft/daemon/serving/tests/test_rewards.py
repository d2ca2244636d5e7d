"""Choice of the upstream that scores an output."""

import asyncio
import random

import pytest

from poplarloft.coordination import serving
from poplarloft.daemon.serving import peer_link
from poplarloft.daemon.serving import rewards
from poplarloft.daemon.serving import upstream_limits
from poplarloft.daemon.serving import view
from poplarloft import state

ADDRESS = state.Address("127.0.0.1", 1)
BUSY, LIMITED = (
    state.Sampler(name, 1, "app", ADDRESS, "z", 2)
    for name in ("busy", "limited")
)
ROUTE = state.PathRoute(
    "r", "h", "/p/", state.RouteKind.IDEMPOTENT, (state.Target("app"),)
)
CALL = state.RewardCall("reward", "h", "/p/1", b"")


@pytest.fixture
def caller():
    clock = state.MonotonicClock()
    samplers = view.SamplerView(clock, 0, 0)
    samplers.registry.announce(BUSY)
    samplers.registry.announce(LIMITED)
    limits = upstream_limits.UpstreamLimits(
        "a", peer_link.PeerLink(), dict, has_peers=False
    )
    limits.on_response(LIMITED, state.NamedLimit(0.0), "r")
    balancer = serving.LeastExpectedTime(
        clock, random.Random(0), lambda _: 0.0
    )
    return rewards.RewardCaller(clock, None, samplers, None, balancer, limits)


async def test_a_busy_upstream_is_awaited_rather_than_a_limited_one(
    caller, monkeypatch
):
    monkeypatch.setattr(rewards, "PERMIT_WAIT_MS", 3_600_000)
    caller.balancer.on_send(BUSY)
    async with asyncio.timeout(5):
        acquiring = asyncio.ensure_future(caller.acquire(ROUTE, CALL))
        await asyncio.sleep(0)
        caller.balancer.on_end(BUSY)
        caller.slot_freed.set()
        assert await acquiring == BUSY
