"""Scores whole texts by calls to the services that rate them."""

import asyncio

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving import view
from poplarloft.platform import samplers
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["RewardCaller"]

CALL_TIMEOUT_MS = 2_500
RETRY_MS = 100
SLOTS_LEFT = 1  # per upstream, for requests of clients
MS_PER_S = 1_000


class RewardCaller:
    """Calls plain services for scores.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    operator : view.OperatorView
        Routes.
    known : view.SamplerView
        Upstreams.
    client : samplers.SamplerClient
        Connections to them.
    balancer : serving.LeastExpectedTime
        Chooses among them.
    """

    def __init__(
        self,
        clock: state.Clock,
        operator: view.OperatorView,
        known: view.SamplerView,
        client: samplers.SamplerClient,
        balancer: serving.LeastExpectedTime,
    ) -> None:
        self.clock = clock
        self.operator = operator
        self.known = known
        self.client = client
        self.balancer = balancer
        self.freed = asyncio.Event()

    async def score(self, text: serving.ItemOutput) -> None:
        """Set a whole text's score, or fail it, or leave it whole.

        It is left whole if its lot ends meanwhile.
        """
        reward = text.item.reward
        if reward is None:
            text.stage = serving.Stage.SCORED
            return
        while text.stage is serving.Stage.COMPLETE:
            route = self._route(reward)
            if route is not None:
                sampler = await self._acquire(route)
                await self._call(text, reward, route, sampler)
            if text.stage is serving.Stage.COMPLETE:
                await asyncio.sleep(RETRY_MS / MS_PER_S)

    def _route(self, reward: state.RewardCall) -> state.PathRoute | None:
        configuration = self.operator.configuration
        if configuration is None:
            return None
        return configuration.find_route(reward.host, reward.path)

    async def _acquire(self, route: state.PathRoute) -> state.Sampler:
        """Return an upstream with a free slot."""
        while True:
            service = route.targets[0].service
            there = self.known.registry.of_service(service)
            free = [
                sampler
                for sampler in there
                if self.balancer.load_of(sampler).in_flight
                < max(1, sampler.slots - SLOTS_LEFT)
            ]
            chosen = self.balancer.choose(free, ())
            if chosen is not None:
                return chosen
            self.freed.clear()
            try:
                async with asyncio.timeout(RETRY_MS / MS_PER_S):
                    await self.freed.wait()
            except TimeoutError:
                pass

    async def _call(
        self,
        text: serving.ItemOutput,
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
                case result.Success(answer):
                    detail = await self._take(text, reward, route, answer)
                case result.Failure(failure):
                    detail = f"{failure.kind.value}: {failure.detail}"
        finally:
            self.balancer.on_end(sampler)
            self.freed.set()
        duration_ms = self.clock.now_ms() - started_ms
        eliot.log_message(
            "reward-failed" if detail else "reward",
            item=text.item.id,
            request=reward.id,
            upstream=sampler.name,
            detail=detail[:200],
            duration_ms=duration_ms,
        )
        if detail:
            self.balancer.on_failure(sampler)
        else:
            self.balancer.on_answer(sampler, duration_ms)

    async def _take(
        self,
        text: serving.ItemOutput,
        reward: state.RewardCall,
        route: state.PathRoute,
        answer: http_client.UpstreamAnswer,
    ) -> str:
        """Return what is wrong with an answer, empty if nothing is."""
        if not samplers.is_answer_to(answer, reward.id):
            answer.close()
            return "an answer to another request"
        try:
            await answer.read()
        except http_client.AnswerCut as error:
            return str(error)
        signature = samplers.signature(answer)
        if 200 <= answer.status < 300 and signature:
            text.score = signature
            text.stage = serving.Stage.SCORED
            return ""
        if not samplers.proves_not_run(answer):
            text.reward_errors += 1
            if text.reward_errors >= route.max_attempts:
                text.stage = serving.Stage.FAILED
        return f"status {answer.status}"
