"""Generation of one sample by an engine, and its scoring."""

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

__all__ = ["GeneratedSample", "GenerationFailure", "SampleProducer"]

OK = 200
MAX_SCORE_BYTES = 65_536
ROLLOUT_PRIORITY = 10
SCORE_TIMEOUT_MS = 5_000
SCORE_RETRY_MS = 200
SCORE_RETRY_LIMIT_MS = 5_000
PURPOSE_ROLLOUT = "rollout"
PURPOSE_WASTE = "waste"
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class GeneratedSample:
    """A complete sample; `spans` label its tokens with weight versions."""

    tokens: tuple[int, ...]
    spans: tuple[state.Span, ...]
    produced_by: str


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationFailure:
    """A generation that ended without a usable sample.

    `wasted_tokens` counts the tokens that were generated until then.
    """

    reason: str
    wasted_tokens: int


ProgressCallback = abc.Callable[[int], None]
GenerationOutcome = result.Result[GeneratedSample, GenerationFailure]


class SampleProducer:
    """Carries out the generation and scoring actions of lots.

    Parameters
    ----------
    client : http_client.HttpClient
        Sends requests to engines and scorers.
    upstream_service : upstreams.UpstreamService
        Eligible engines and scorers.
    policy : coordination.RoutingPolicy
        Chooses among engines.
    meter : coordination.UsageMeter
        Meters engine time for the lots' owners.
    timeout_ms : int
        Time limit of one generation.
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
        on_progress: ProgressCallback,
    ) -> GenerationOutcome:
        """Stream one sample from an engine of `service` for `owner`.

        `on_progress` is called with the number of tokens so far.
        """
        request = coordination.RouteRequest.of_prompt(
            order.prompt, order.max_tokens
        )
        candidates = self._recent_candidates(
            service, order.min_version, request
        )
        if not candidates:
            return _failure(
                f"no engine of service {service!r} reports weight version "
                f"{order.min_version} or newer",
                0,
            )
        name = self.policy.choose(request, candidates).name
        load = self.upstreams.load
        ticket = load.on_dispatch(name, request)
        started_ms = load.clock.now_ms()
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
            busy_ms = load.clock.now_ms() - started_ms
            self.meter.add(
                owner, state.UpstreamKind.ENGINE.value, purpose, busy_ms
            )

    async def score(
        self, service: str, order: coordination.ScoreSample
    ) -> float:
        """Return a sample's score; retry until a scorer responds."""
        delay_ms = SCORE_RETRY_MS
        while True:
            scored = await self._score_once(service, order)
            match scored:
                case result.Success(value):
                    return value
            await asyncio.sleep(delay_ms / MS_PER_S)
            delay_ms = min(2 * delay_ms, SCORE_RETRY_LIMIT_MS)

    def _recent_candidates(
        self,
        service: str,
        min_version: int,
        request: coordination.RouteRequest,
    ) -> list[coordination.Candidate]:
        """Return engines that report `min_version` or newer.

        The report only steers the choice: whether a sample is recent
        enough is decided by its labels alone.
        """
        reports = self.upstreams.load.reports
        recent = []
        for candidate in self.upstreams.candidates(
            service, frozenset(), request
        ):
            report = reports.get(candidate.name)
            version = report.weight_version if report else None
            if version is not None and version >= min_version:
                recent.append(candidate)
        return recent

    async def _stream(
        self,
        upstream: state.Upstream,
        order: coordination.GenerateSample,
        on_progress: ProgressCallback,
    ) -> GenerationOutcome:
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
                return _failure(failure.detail, 0)
        raise AssertionError(sent)

    async def _collect(
        self,
        upstream: state.Upstream,
        answer: http_client.UpstreamResponse,
        on_progress: ProgressCallback,
    ) -> GenerationOutcome:
        if answer.status != OK:
            answer.close()
            return _failure(f"engine responded with status {answer.status}", 0)
        labeller = coordination.Labeller(
            str(state.Incarnation(upstream.name, upstream.incarnation))
        )
        done = False
        try:
            async with asyncio.timeout(self.timeout_ms / MS_PER_S):
                async for line in _stream_lines(answer):
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
            return _failure(str(error), len(labeller.tokens))
        if not done:
            return _failure(
                "completion stream ended without its final line",
                len(labeller.tokens),
            )
        match labeller.finish():
            case result.Success((tokens, spans)):
                return result.Success(
                    GeneratedSample(tokens, spans, labeller.engine)
                )
            case result.Failure(fault):
                return _failure(str(fault), len(labeller.tokens))
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
                    body = await answer.read(MAX_SCORE_BYTES)
                    if answer.status == OK:
                        return result.Success(engine.decode_score(body))
                except (OSError, msgspec.MsgspecError) as error:
                    return result.Failure(str(error))
                return result.Failure(
                    f"scorer responded with status {answer.status}"
                )
            case result.Failure(failure):
                return result.Failure(failure.detail)
        raise AssertionError(sent)


async def _stream_lines(
    answer: http_client.UpstreamResponse,
) -> abc.AsyncIterator[engine.StreamLine]:
    """Yield the decoded lines of a completion stream."""
    rest = b""
    async for piece in answer.chunks():
        *lines, rest = (rest + piece).split(b"\n")
        for line in lines:
            if line:
                yield engine.decode_stream_line(line)


def _seed(slot: state.Slot) -> int:
    """Return a seed that differs between slots but not between attempts."""
    text = f"{slot.lot}/{slot.step}/{slot.group}/{slot.index}"
    return xxhash.xxh32_intdigest(text.encode())


def _failure(reason: str, wasted_tokens: int) -> GenerationOutcome:
    return result.Failure(GenerationFailure(reason, wasted_tokens))
