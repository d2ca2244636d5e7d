"""Streams one sample from an engine and has it scored."""

import asyncio
from collections import abc
import dataclasses

import msgspec
from returns import result
import xxhash

from poplarloft import coordination
from poplarloft.daemon import upstreams
from poplarloft.protocol import engine
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["Generated", "GenerationFailed", "SampleProducer"]

OK = 200
ROLLOUT_PRIORITY = 10
SCORE_TIMEOUT_MS = 5_000
SCORE_RETRY_MS = 200
SCORE_RETRY_LIMIT_MS = 5_000
PURPOSE_ROLLOUT = "rollout"
PURPOSE_WASTE = "waste"
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Generated:
    """A whole labelled generation."""

    tokens: tuple[int, ...]
    spans: tuple[state.Span, ...]
    produced_by: str


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationFailed:
    """A generation that gave nothing of use.

    `wasted_tokens` were produced in vain.
    """

    reason: str
    wasted_tokens: int


Progress = abc.Callable[[int], None]
Generation = result.Result[Generated, GenerationFailed]


class SampleProducer:
    """Carries out generation and scoring orders of lots.

    Parameters
    ----------
    client : http_client.HttpClient
        Connections to engines and scorers.
    upstream_service : upstreams.UpstreamService
        Eligible engines and scorers.
    policy : coordination.RoutingPolicy
        Chooses among engines.
    meter : coordination.UsageMeter
        Books engine time to the lots' owners.
    timeout_ms : int
        Longest time for one generation.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        upstream_service: upstreams.UpstreamService,
        policy: coordination.RoutingPolicy,
        meter: coordination.UsageMeter,
        timeout_ms: int = 600_000,
    ) -> None:
        self.client = client
        self.upstreams = upstream_service
        self.policy = policy
        self.meter = meter
        self.timeout_ms = timeout_ms

    async def generate(
        self,
        owner: str,
        service: str,
        order: coordination.GenerateSample,
        on_progress: Progress,
    ) -> Generation:
        """Stream one sample from an engine of `service` for `owner`."""
        request = coordination.RouteRequest.of_prompt(
            order.prompt, order.max_tokens
        )
        candidates = self._fresh_candidates(
            service, order.min_version, request
        )
        if not candidates:
            return _failed("no engine serves a fresh enough version", 0)
        name = self.policy.choose(request, candidates).name
        load = self.upstreams.load
        ticket = load.on_dispatch(name, request)
        begun_ms = load.clock.now_ms()
        purpose = PURPOSE_WASTE
        try:
            generation = await self._stream(
                self.upstreams.find(name), order, on_progress
            )
            if isinstance(generation, result.Success):
                purpose = PURPOSE_ROLLOUT
            return generation
        finally:
            load.on_done(name, ticket)
            busy_ms = load.clock.now_ms() - begun_ms
            self.meter.add(
                owner, state.UpstreamKind.ENGINE.value, purpose, busy_ms
            )

    async def score(
        self, service: str, order: coordination.ScoreSample
    ) -> float:
        """Return a sample's score; tries until a scorer answers."""
        delay_ms = SCORE_RETRY_MS
        while True:
            scored = await self._score_once(service, order)
            match scored:
                case result.Success(value):
                    return value
            await asyncio.sleep(delay_ms / MS_PER_S)
            delay_ms = min(2 * delay_ms, SCORE_RETRY_LIMIT_MS)

    def _fresh_candidates(
        self,
        service: str,
        min_version: int,
        request: coordination.RouteRequest,
    ) -> list[coordination.Candidate]:
        """Return engines whose reported version is of use.

        The report only steers the choice; the label alone decides.
        """
        reports = self.upstreams.load.reports
        fresh = []
        for candidate in self.upstreams.candidates(
            service, frozenset(), request
        ):
            report = reports.get(candidate.name)
            version = report.weight_version if report else None
            if version is not None and version >= min_version:
                fresh.append(candidate)
        return fresh

    async def _stream(
        self,
        upstream: state.Upstream,
        order: coordination.GenerateSample,
        on_progress: Progress,
    ) -> Generation:
        slot = order.slot
        request = engine.CompletionRequest(
            prompt=order.prompt,
            max_tokens=order.max_tokens,
            priority=ROLLOUT_PRIORITY,
            seed=_seed(slot),
        )
        sent = await self.client.send(
            upstream.address,
            "POST",
            "/v1/completions",
            body=engine.encode(request),
            timeout_ms=self.timeout_ms,
        )
        match sent:
            case result.Success(answer):
                return await self._collect(upstream, answer, on_progress)
            case result.Failure(failure):
                return _failed(failure.detail, 0)
        raise AssertionError(sent)

    async def _collect(
        self,
        upstream: state.Upstream,
        answer: http_client.UpstreamAnswer,
        on_progress: Progress,
    ) -> Generation:
        if answer.status != OK:
            answer.close()
            return _failed(f"status {answer.status}", 0)
        labeller = coordination.Labeller(
            str(state.Incarnation(upstream.name, upstream.incarnation))
        )
        done = False
        try:
            async with asyncio.timeout(self.timeout_ms / MS_PER_S):
                async for line in _lines(answer):
                    done = line.done
                    labeller.on_chunk(
                        state.Chunk(
                            tuple(line.tokens),
                            line.weight_version,
                            line.engine,
                        )
                    )
                    on_progress(len(labeller.tokens))
        except (OSError, TimeoutError, msgspec.MsgspecError) as error:
            return _failed(str(error), len(labeller.tokens))
        if not done:
            return _failed("stream without an end", len(labeller.tokens))
        match labeller.finish():
            case result.Success((tokens, spans)):
                return result.Success(
                    Generated(tokens, spans, labeller.engine)
                )
            case result.Failure(fault):
                return _failed(str(fault), len(labeller.tokens))
        raise AssertionError

    async def _score_once(
        self, service: str, order: coordination.ScoreSample
    ) -> result.Result[float, str]:
        candidates = self.upstreams.candidates(service, frozenset())
        if not candidates:
            return result.Failure(f"service {service!r} has no upstream")
        chosen = self.policy.choose(coordination.RouteRequest(), candidates)
        slot = order.slot
        request = engine.ScoreRequest(
            lot=slot.lot,
            step=slot.step,
            group=slot.group,
            index=slot.index,
            tokens=list(order.tokens),
        )
        sent = await self.client.send(
            self.upstreams.find(chosen.name).address,
            "POST",
            "/v1/score",
            body=engine.encode(request),
            timeout_ms=SCORE_TIMEOUT_MS,
        )
        match sent:
            case result.Success(answer):
                try:
                    body = await answer.read()
                    if answer.status == OK:
                        return result.Success(engine.decode_score(body))
                except (OSError, msgspec.MsgspecError) as error:
                    return result.Failure(str(error))
                return result.Failure(f"status {answer.status}")
            case result.Failure(failure):
                return result.Failure(failure.detail)
        raise AssertionError(sent)


async def _lines(
    answer: http_client.UpstreamAnswer,
) -> abc.AsyncIterator[engine.StreamLine]:
    """Yield the decoded lines of a completion stream."""
    rest = b""
    async for piece in answer.chunks():
        *lines, rest = (rest + piece).split(b"\n")
        for line in lines:
            if line:
                yield engine.decode_stream_line(line)


def _seed(slot: state.Slot) -> int:
    """Return a seed that differs between slots but not between copies."""
    text = f"{slot.lot}/{slot.step}/{slot.group}/{slot.index}"
    return xxhash.xxh32_intdigest(text.encode())


def _failed(reason: str, wasted_tokens: int) -> Generation:
    return result.Failure(GenerationFailed(reason, wasted_tokens))
