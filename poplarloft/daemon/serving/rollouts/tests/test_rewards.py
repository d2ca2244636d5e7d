"""Choice of the upstream that scores an output."""

import asyncio
import dataclasses
import random

import pytest

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft.daemon.serving.fleet import upstream_limits
from poplarloft.daemon.serving.rollouts import rewards
from poplarloft.daemon.serving.store import view
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


class Alone:
    """Knows no other instances."""

    members = {}
    may_issue = False

    def now_ms(self):
        return 0


@pytest.fixture
def caller():
    clock = state.MonotonicClock()
    samplers = view.SamplerView(clock, 0, 0)
    samplers.registry.announce(BUSY)
    samplers.registry.announce(LIMITED)
    limits = upstream_limits.UpstreamLimits(
        "a", peer_link.PeerLink(), Alone(), has_peers=False
    )
    limits.on_response(LIMITED, state.NamedLimit(0.0), "r")
    balancer = serving.LeastExpectedTime(
        clock, random.Random(0), lambda _: 0.0
    )
    operator = view.OperatorView(clock)
    operator.configuration = state.ServingConfiguration(
        1, (ROUTE,), {}, state.ServingLimits()
    )
    return rewards.RewardCaller(
        clock, operator, samplers, None, balancer, limits
    )


async def test_a_busy_upstream_is_awaited_rather_than_a_limited_one(
    caller, monkeypatch
):
    monkeypatch.setattr(rewards, "PERMIT_WAIT_MS", 3_600_000)
    caller.balancer.on_send(BUSY)
    async with asyncio.timeout(5):
        acquiring = asyncio.ensure_future(caller.acquire(CALL))
        await asyncio.sleep(0)
        caller.balancer.on_end(BUSY)
        caller.slot_freed.set()
        assert await acquiring == (ROUTE, BUSY)


def configured(caller, *targets):
    """Apply a configuration in which the route has these targets."""
    route = dataclasses.replace(ROUTE, targets=targets)
    configuration = caller.operator_view.configuration
    caller.operator_view.configuration = dataclasses.replace(
        configuration, version=configuration.version + 1, routes=(route,)
    )


OTHER = dataclasses.replace(BUSY, name="other", service="other")


async def test_a_call_goes_to_the_service_that_has_the_weight(caller):
    # Guards against calls to the first service of a split route.
    caller.sampler_view.registry.announce(OTHER)
    configured(caller, state.Target("app", 0.0), state.Target("other", 1.0))
    _, chosen = await caller.acquire(CALL)
    assert chosen == OTHER


async def test_a_waiting_call_follows_a_route_that_moves(caller):
    # Guards against calls that hold on to the route of their beginning.
    caller.balancer.on_send(BUSY)
    acquiring = asyncio.ensure_future(caller.acquire(CALL))
    await asyncio.sleep(0.05)
    assert not acquiring.done()
    caller.sampler_view.registry.announce(OTHER)
    configured(caller, state.Target("other"))
    async with asyncio.timeout(5):
        route, chosen = await acquiring
    assert chosen == OTHER
    assert route.targets == (state.Target("other"),)
