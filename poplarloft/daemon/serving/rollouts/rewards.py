"""Scores complete outputs by calls to reward services."""

import asyncio

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import upstream_limits
from poplarloft.daemon.serving.store import view
from poplarloft.platform import samplers
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["RewardCaller"]

CALL_TIMEOUT_MS = 2_500
RETRY_MS = 100
PERMIT_WAIT_MS = 1_000
MAX_SCORE_BYTES = 1_048_576
RESERVED_SLOTS = 1  # per upstream, for requests of clients
MS_PER_S = 1_000


class RewardCaller:
    """Calls reward services, with limited concurrency per upstream.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    operator_view : view.OperatorView
        Provides the routes to reward services.
    sampler_view : view.SamplerView
        Provides the upstreams of these services.
    client : samplers.SamplerClient
        Connections to the upstreams.
    balancer : serving.LeastExpectedTime
        Chooses among the upstreams that have a free slot.
    limits : upstream_limits.UpstreamLimits
        Permits for upstreams that have named a limit.
    """

    def __init__(
        self,
        clock: state.Clock,
        operator_view: view.OperatorView,
        sampler_view: view.SamplerView,
        client: samplers.SamplerClient,
        balancer: serving.LeastExpectedTime,
        limits: upstream_limits.UpstreamLimits,
    ) -> None:
        self.clock = clock
        self.operator_view = operator_view
        self.sampler_view = sampler_view
        self.client = client
        self.balancer = balancer
        self.limits = limits
        self.slot_freed = asyncio.Event()

    async def score(self, output: serving.ItemOutput) -> None:
        """Set the score of a complete output, or mark the output as failed.

        Calls are retried. An output whose item has no reward call counts as
        scored. The output stays complete if this is cancelled, as when its
        lot ends meanwhile.
        """
        reward = output.item.reward
        if reward is None:
            output.stage = serving.Stage.SCORED
            return
        while output.stage is serving.Stage.COMPLETE:
            route, sampler = await self.acquire(reward)
            await self._call(output, reward, route, sampler)
            if output.stage is serving.Stage.COMPLETE:
                await asyncio.sleep(RETRY_MS / MS_PER_S)

    def _route(self, reward: state.RewardCall) -> state.PathRoute | None:
        configuration = self.operator_view.configuration
        if configuration is None:
            return None
        return configuration.find_route(reward.host, reward.path)

    def _announced(
        self, route: state.PathRoute, reward: state.RewardCall
    ) -> list[state.Sampler]:
        """Return the upstreams of the service that gets a call.

        If it has none, another service of the route gets it.
        """
        point = serving.spread_point(reward.id)
        for service in serving.rank_services(route.targets, point):
            announced = self.sampler_view.registry.of_service(service)
            if announced:
                return announced
        return []

    async def acquire(
        self, reward: state.RewardCall
    ) -> tuple[state.PathRoute, state.Sampler]:
        """Wait for an upstream with a free slot; return it and the route.

        The configuration may change during the wait.
        """
        while True:
            route = self._route(reward)
            if route is None:
                await self._wait_for_slot()
                continue
            need = serving.PermitNeed(
                reward.id, route.priority, PERMIT_WAIT_MS
            )
            announced = self._announced(route, reward)
            candidates = [
                sampler
                for sampler in announced
                if self.balancer.load_of(sampler).in_flight
                < max(1, sampler.slots - RESERVED_SLOTS)
            ]
            all_limited = all(
                self.limits.rate_of(sampler.engine_id) is not None
                for sampler in announced
            )
            match await self.limits.choose(
                self.balancer,
                candidates,
                (),
                need if all_limited else need.as_trial(),
            ):
                case result.Success(chosen):
                    return route, chosen
                case result.Failure(int() as wait_ms) if all_limited:
                    pause_ms = min(max(RETRY_MS, wait_ms), PERMIT_WAIT_MS)
                    await asyncio.sleep(pause_ms / MS_PER_S)
                case _:
                    await self._wait_for_slot()

    async def _wait_for_slot(self) -> None:
        """Wait until a call has ended, but at most `RETRY_MS`."""
        self.slot_freed.clear()
        try:
            async with asyncio.timeout(RETRY_MS / MS_PER_S):
                await self.slot_freed.wait()
        except TimeoutError:
            pass

    async def _call(
        self,
        output: serving.ItemOutput,
        reward: state.RewardCall,
        route: state.PathRoute,
        sampler: state.Sampler,
    ) -> None:
        started_ms = self.clock.now_ms()
        timeout_ms = min(CALL_TIMEOUT_MS, route.timeout_ms)
        self.balancer.on_send(sampler)
        try:
            sent = await self.client.call_reward(sampler, reward, timeout_ms)
            match sent:
                case result.Success(response):
                    detail = await self._process_response(
                        output, reward, route, response
                    )
                case result.Failure(failure):
                    detail = f"{failure.kind.value}: {failure.detail}"
        finally:
            self.balancer.on_end(sampler)
            self.slot_freed.set()
        duration_ms = self.clock.now_ms() - started_ms
        eliot.log_message(
            "reward-failed" if detail else "reward",
            item=output.item.id,
            request=reward.id,
            upstream=sampler.name,
            detail=detail[:200],
            duration_ms=duration_ms,
        )
        if detail:
            self.balancer.on_failure(sampler)
        else:
            self.balancer.on_answer(sampler, duration_ms)

    async def _process_response(
        self,
        output: serving.ItemOutput,
        reward: state.RewardCall,
        route: state.PathRoute,
        response: http_client.UpstreamResponse,
    ) -> str:
        """Set the score from a response; return an error, empty if none.

        An error counts towards the route's maximum of attempts unless the
        response proves that the call was not run.
        """
        if not samplers.is_response_to(response, reward.id):
            response.close()
            return "response belongs to another request"
        try:
            await response.read(MAX_SCORE_BYTES)
        except http_client.TruncatedResponseError as error:
            return str(error)
        signature = samplers.signature(response)
        if 200 <= response.status < 300 and signature:
            output.score = signature
            output.stage = serving.Stage.SCORED
            return ""
        if not samplers.proves_not_run(response):
            output.reward_errors += 1
            if output.reward_errors >= route.max_attempts:
                output.stage = serving.Stage.FAILED
        return f"status {response.status}"
