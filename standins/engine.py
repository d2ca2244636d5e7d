"""Stand-in for a model engine.

Each token encodes the weight version that produced it, so a check can
compare the labels of a sample with the actual versions: see
`true_version`.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import random

import msgspec
from returns import result

from poplarloft import coordination
from poplarloft.protocol import engine
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client
from standins import serving

__all__ = ["EngineServer", "EngineTimes", "true_version"]

TOKENS_PER_VERSION = 1_000_000
# A prompt that contains this crashes the engine.
POISON = "crash-the-engine"
MS_PER_S = 1_000
# Shortest typical output, and the divisor of `max_tokens` that gives the
# typical length of an output.
FEW_TOKENS = 4
OK = 200
MAX_WEIGHTS_BYTES = 1_073_741_824


def true_version(token: int) -> int:
    """Return the weight version that produced a token, as encoded in it."""
    return token // TOKENS_PER_VERSION


@dataclasses.dataclass(frozen=True)
class EngineTimes:
    """Model of the time that an engine takes.

    Parameters
    ----------
    step_ms : float
        Time of one decoding step of an empty batch.
    step_per_stream_ms : float
        Time that each stream of the batch adds to a step.
    prefill_per_token_ms : float
        Time per prompt token that is not cached.
    preload_ms, switch_ms : int
        Times to execute a preload and a switch order.
    restart_ms : int
        Time from a crash until the engine listens again.
    chunk_tokens : int
        Number of tokens per streamed line.
    """

    step_ms: float = 1.0
    step_per_stream_ms: float = 0.02
    prefill_per_token_ms: float = 0.05
    preload_ms: int = 50
    switch_ms: int = 50
    restart_ms: int = 500
    chunk_tokens: int = 8


class EngineServer(serving.StandIn):
    """Serves completions, state reports and weight orders.

    Parameters
    ----------
    upstream : state.Upstream
        Its entry in the instance list.
    rng : random.Random
        Draws which responses are lost; lengths come from the request's
        seed.
    times : EngineTimes
        The time model.
    weight_version : int
        The version served at the start.
    max_streams : int
        Maximum number of streams in the batch; further ones wait.
    sigma : float
        Standard deviation of the logarithm of the output lengths.
    weight_store : state.Address or None
        Store from which versions are read; None only waits `preload_ms`.
    load_lag_ms : int
        Minimum age of the reported state.
    """

    def __init__(
        self,
        upstream: state.Upstream,
        rng: random.Random,
        times: EngineTimes | None = None,
        weight_version: int = 0,
        max_streams: int = 16,
        sigma: float = 0.5,
        weight_store: state.Address | None = None,
        load_lag_ms: int = 0,
    ) -> None:
        super().__init__(rng)
        self.upstream = upstream
        self.times = times or EngineTimes()
        self.weight_version: int | None = weight_version
        self.loaded_version = weight_version
        self.max_streams = max_streams
        self.sigma = sigma
        self.weight_store = weight_store
        self.load_lag_ms = load_lag_ms
        self.reports: list[tuple[int, engine.EngineState]] = []
        self.client = http_client.HttpClient()
        self.clock = state.MonotonicClock()
        self.slots = asyncio.Semaphore(max_streams)
        self.preloaded: set[int] = {weight_version}
        self.fence = 0
        self.running = 0
        self.pending_tokens = 0
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.cache_blocks = 4_096
        self.leaving = False
        self.fail_next_swaps = 0
        self.crashes = 0
        self.prefilled_tokens = 0
        self.produced_tokens = 0
        self.on_restart: abc.Callable[[state.Upstream], None] = print

    @property
    def identity(self) -> str:
        """Name and incarnation, as in each streamed line."""
        upstream = self.upstream
        return str(state.Incarnation(upstream.name, upstream.incarnation))

    async def crash(self) -> None:
        """Cut all connections and restart as a new incarnation."""
        self.crashes += 1
        await self.stop()
        await asyncio.sleep(self.times.restart_ms / MS_PER_S)
        self.upstream = dataclasses.replace(
            self.upstream, incarnation=self.upstream.incarnation + 1
        )
        self.slots = asyncio.Semaphore(self.max_streams)
        self.running = self.pending_tokens = 0
        self.reports.clear()
        self.cache.clear()
        self.preloaded = {self.loaded_version}
        self.weight_version = self.loaded_version
        await self.start(self.address)
        self.on_restart(self.upstream)

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Respond to a completion, a state request or a weight order."""
        match request.method, request.path:
            case "POST", "/v1/completions":
                return self._complete(request)
            case "GET", "/v1/state":
                return serving.json_response(self._lagged_state())
            case "POST", "/v1/orders":
                order = serving.decode(request.body, engine.WeightOrder)
                return serving.json_response(await self._execute_order(order))
            case "POST", "/control/fail-swaps":
                self.fail_next_swaps = int(request.body)
                return serving.json_response({})
            case "POST", "/control/crash":
                asyncio.get_running_loop().create_task(self.crash())
                return serving.json_response({})
        return http.HttpResponse(404)

    def _complete(self, request: http.HttpRequest) -> http.HttpResponse:
        if self.leaving:
            headers = (
                (http.NOT_EXECUTED_HEADER, "true"),
                (http.LEAVING_HEADER, "true"),
            )
            return http.HttpResponse(503, headers)
        completion = serving.decode(request.body, engine.CompletionRequest)
        if POISON in completion.prompt:
            asyncio.get_running_loop().create_task(self.crash())
        return http.HttpResponse(
            200,
            (("content-type", "application/x-ndjson"),),
            self._stream(completion),
        )

    async def _stream(
        self, completion: engine.CompletionRequest
    ) -> abc.AsyncIterator[bytes]:
        length = self._length(completion) - len(completion.resume_from)
        self.pending_tokens += length
        remaining = length
        try:
            async with self.slots:
                self.running += 1
                try:
                    await self._prefill(completion.prompt)
                    while remaining:
                        count = min(remaining, self.times.chunk_tokens)
                        await self._decode_steps(count)
                        yield self._line(count)
                        remaining -= count
                        self.pending_tokens -= count
                finally:
                    self.running -= 1
        finally:
            self.pending_tokens -= remaining
        yield msgspec.json.encode(engine.StreamLine(done=True)) + b"\n"

    def _length(self, completion: engine.CompletionRequest) -> int:
        """Return a log-normal length, drawn with the seed of the request."""
        factor = random.Random(completion.seed).lognormvariate(0.0, self.sigma)
        typical = max(FEW_TOKENS, completion.max_tokens // FEW_TOKENS)
        return max(1, min(completion.max_tokens, int(typical * factor)))

    async def _prefill(self, prompt: str) -> None:
        uncached_tokens = 0
        for block in coordination.prefix_blocks(prompt):
            if block in self.cache:
                self.cache.move_to_end(block)
                continue
            uncached_tokens += (
                coordination.BLOCK_CHARS // coordination.CHARS_PER_TOKEN
            )
            self.cache[block] = None
        while len(self.cache) > self.cache_blocks:
            self.cache.popitem(last=False)
        self.prefilled_tokens += uncached_tokens
        delay_ms = uncached_tokens * self.times.prefill_per_token_ms
        await asyncio.sleep(delay_ms / MS_PER_S)

    async def _decode_steps(self, count: int) -> None:
        times = self.times
        step_ms = times.step_ms + times.step_per_stream_ms * self.running
        await asyncio.sleep(count * step_ms / MS_PER_S)

    def _line(self, count: int) -> bytes:
        base = self.loaded_version * TOKENS_PER_VERSION
        tokens = [base + self.produced_tokens + i for i in range(count)]
        tokens = [base + token % TOKENS_PER_VERSION for token in tokens]
        self.produced_tokens += count
        line = engine.StreamLine(
            tokens=tokens,
            weight_version=self.weight_version,
            engine=self.identity,
        )
        return msgspec.json.encode(line) + b"\n"

    def _lagged_state(self) -> engine.EngineState:
        """Return the newest report that is at least `load_lag_ms` old."""
        now_ms = self.clock.now_ms()
        self.reports.append((now_ms, self._state()))
        lagged = [r for r in self.reports if now_ms - r[0] >= self.load_lag_ms]
        reported_at_ms, report = lagged[-1] if lagged else self.reports[0]
        self.reports = [r for r in self.reports if r[0] >= reported_at_ms]
        return msgspec.structs.replace(report, age_ms=now_ms - reported_at_ms)

    def _state(self) -> engine.EngineState:
        return engine.EngineState(
            engine=self.identity,
            age_ms=0,
            running=self.running,
            queued_tokens=self.pending_tokens,
            weight_version=self.weight_version,
            leaving=self.leaving,
            cached_prefixes=list(self.cache)[-256:],
            fence=self.fence,
            preloaded=sorted(self.preloaded),
        )

    async def _execute_order(
        self, order: engine.WeightOrder
    ) -> engine.OrderAnswer:
        if self.upstream.honours_fence and order.fence < self.fence:
            return engine.OrderAnswer(
                accepted=False,
                detail=f"fence {order.fence} is below {self.fence}",
            )
        self.fence = max(self.fence, order.fence)
        if order.kind == coordination.OrderKind.PRELOAD:
            return await self._preload(order.weight_version)
        return await self._switch(order.weight_version)

    async def _preload(self, weight_version: int) -> engine.OrderAnswer:
        await asyncio.sleep(self.times.preload_ms / MS_PER_S)
        if self.weight_store is not None:
            outcome = await self.client.send(
                self.weight_store, "GET", f"/v1/weights/{weight_version}"
            )
            match outcome:
                case result.Success(response):
                    await response.read(MAX_WEIGHTS_BYTES)
                    if response.status != OK:
                        return engine.OrderAnswer(
                            accepted=False,
                            detail="weight version not in the weight store",
                        )
                case result.Failure(failure):
                    return engine.OrderAnswer(
                        accepted=False, detail=failure.detail
                    )
        self.preloaded.add(weight_version)
        return engine.OrderAnswer(accepted=True)

    async def _switch(self, weight_version: int) -> engine.OrderAnswer:
        """Switch weights; meanwhile streamed lines carry no version."""
        if weight_version not in self.preloaded:
            return engine.OrderAnswer(
                accepted=False, detail="weight version not preloaded"
            )
        self.weight_version = None
        await asyncio.sleep(self.times.switch_ms / MS_PER_S)
        if self.fail_next_swaps > 0:
            self.fail_next_swaps -= 1
            self.weight_version = self.loaded_version
            return engine.OrderAnswer(
                accepted=False, detail="weight switch failed on demand"
            )
        self.loaded_version = weight_version
        self.weight_version = weight_version
        self.preloaded = {weight_version}
        return engine.OrderAnswer(accepted=True)
