"""Lots whose trainers pull samples from this instance."""

import asyncio
import dataclasses

import eliot
from returns import result

from poplarloft import coordination
from poplarloft.daemon import configuration
from poplarloft.daemon import generation
from poplarloft.daemon import tasks
from poplarloft.daemon import upstreams
from poplarloft.daemon import weights
from poplarloft.protocol import credentials
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.protocol import pulls
from poplarloft import state

__all__ = ["LotStatus", "RolloutService"]

LEASE_TTL_MS = 5_000
LEASE_RENEW_MS = 1_500
MAX_PULL_WAIT_MS = 500
PLAN_INTERVAL_MS = 100
STREAMS_PER_ENGINE = 8
FAILURE_BACKOFF_MS = 200
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class LotStatus:
    """The status of a lot, as operators see it."""

    name: str
    owner: str
    step: int
    steps: int
    weight_version: int
    buffered: int
    running: int
    wasted_tokens: int


class RolloutService:
    """Serves trainers' pulls and generates samples for their lots.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    store : state.KeyValueStore
        Stores the lots' leases.
    holder : str
        This instance's incarnation, the holder of its leases.
    configuration_service : configuration.ConfigurationService
        Lots in force and their owners.
    upstream_service : upstreams.UpstreamService
        Eligible engines.
    producer : generation.SampleProducer
        Generates and scores samples.
    weight_service : weights.WeightService
        Receives the weight versions that trainers have published.
    task_set : tasks.TaskSet
        Runs planning, generations and scorings.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.KeyValueStore,
        holder: str,
        configuration_service: configuration.ConfigurationService,
        upstream_service: upstreams.UpstreamService,
        producer: generation.SampleProducer,
        weight_service: "weights.WeightService",
        task_set: tasks.TaskSet,
    ) -> None:
        self.clock = clock
        self.store = store
        self.holder = holder
        self.configuration = configuration_service
        self.upstreams = upstream_service
        self.producer = producer
        self.weights = weight_service
        self.task_set = task_set
        self.lots: dict[str, _LotDriver] = {}

    async def handle_pull(
        self, name: str, request: http.HttpRequest
    ) -> http.HttpResponse:
        """Answer ``POST /v1/lots/{name}/pull``."""
        try:
            headers = http.parse_caller_headers(request.headers)
            holdings, insist = pulls.decode_pull_request(request.body)
        except errors.FieldError as error:
            return _refuse(state.Reason.BAD_REQUEST, str(error))
        document = self.configuration.current.find(
            state.DocumentKind.LOT, name
        )
        if document is None:
            return _refuse(
                state.Reason.UNKNOWN_LOT, f"lot {name!r} is not in force"
            )
        owner = credentials.find_caller(
            self.configuration.current, headers.token
        )
        if owner != document.owner:
            return _refuse(
                state.Reason.FORBIDDEN,
                f"lot {name!r} does not belong to the token's owner",
            )
        driver = self._driver(document)
        other_holder = await driver.ensure_lease()
        if other_holder is not None and not insist:
            return _refuse(state.Reason.CONFLICT, other_holder)
        samples = await driver.pull(holdings)
        body = pulls.encode_pull_answer(name, holdings.step, samples)
        return http.HttpResponse(
            200, (("content-type", "application/json"),), body
        )

    def statuses(self) -> list[LotStatus]:
        """Return the status of each lot that runs here."""
        return [d.status() for d in self.lots.values()]

    def stop(self) -> None:
        """Start no further generations."""
        for driver in self.lots.values():
            driver.is_stopped = True

    def _driver(self, document: state.Document) -> "_LotDriver":
        assert isinstance(document.body, state.LotBody)
        driver = self.lots.get(document.name)
        if driver is None or driver.document != document:
            driver = _LotDriver(self, document, document.body)
            self.lots[document.name] = driver
        return driver


class _LotDriver:
    """Carries out the actions of one lot's planner."""

    def __init__(
        self,
        service: RolloutService,
        document: state.Document,
        lot: state.LotBody,
    ) -> None:
        self.service = service
        self.document = document
        self.lot = lot
        self.planner = coordination.LotPlanner(
            service.clock,
            document.name,
            lot,
            coordination.RateRedispatch(),
        )
        self.generations: dict[int, asyncio.Task[None]] = {}
        self.sample_buffered = asyncio.Event()
        self.lease_checked_ms: int | None = None
        self.failures = 0
        self.backoff_until_ms = 0
        self.is_planning = False
        self.is_stopped = False

    def status(self) -> LotStatus:
        """Return the lot's status."""
        holdings = self.planner.holdings
        return LotStatus(
            self.document.name,
            self.document.owner,
            holdings.step if holdings else 0,
            self.lot.steps,
            holdings.weight_version if holdings else 0,
            len(self.planner.buffer.samples),
            len(self.planner.attempts),
            self.planner.waste.total_tokens,
        )

    async def ensure_lease(self) -> str | None:
        """Acquire or renew the lease; return the conflict, if any.

        The lease only avoids duplicate work. The lot continues while the
        key-value service is unavailable: the trainer decides which
        samples it takes.
        """
        now_ms = self.service.clock.now_ms()
        checked_ms = self.lease_checked_ms
        if checked_ms is not None and now_ms - checked_ms < LEASE_RENEW_MS:
            return None
        leased = await self.service.store.lease(
            f"lots/{self.document.name}", self.service.holder, LEASE_TTL_MS
        )
        match leased:
            case result.Failure(refusal):
                if refusal.reason is state.Reason.CONFLICT:
                    return refusal.detail
        self.lease_checked_ms = now_ms
        return None

    async def pull(self, holdings: state.Holdings) -> tuple[state.Sample, ...]:
        """Return samples; if there are none, wait up to `MAX_PULL_WAIT_MS`."""
        self.service.weights.on_target(
            self.lot.service, holdings.weight_version
        )
        self._start_planning()
        offer = self.planner.on_pull(holdings)
        self._plan()
        if offer.samples or self.is_stopped:
            return offer.samples
        self.sample_buffered.clear()
        try:
            async with asyncio.timeout(MAX_PULL_WAIT_MS / MS_PER_S):
                await self.sample_buffered.wait()
        except TimeoutError:
            pass
        return self.planner.on_pull(holdings).samples

    def _start_planning(self) -> None:
        if not self.is_planning:
            self.is_planning = True
            self.service.task_set.spawn(self._plan_periodically())

    async def _plan_periodically(self) -> None:
        """Plan at each interval, since the set of engines changes."""
        while not self.is_stopped:
            self._plan()
            await asyncio.sleep(PLAN_INTERVAL_MS / MS_PER_S)

    def _plan(self) -> None:
        is_backing_off = self.service.clock.now_ms() < self.backoff_until_ms
        if not self.is_stopped and not is_backing_off:
            self._perform(self.planner.plan(self._free_streams()))

    def _free_streams(self) -> int:
        engines = self.service.upstreams.registry.eligible(self.lot.service)
        capacity = STREAMS_PER_ENGINE * len(engines)
        return max(0, capacity - len(self.generations))

    def _perform(self, actions: list[coordination.LotAction]) -> None:
        spawn = self.service.task_set.spawn
        for action in actions:
            match action:
                case coordination.GenerateSample():
                    self.generations[action.attempt] = spawn(
                        self._generate(action)
                    )
                case coordination.ScoreSample():
                    spawn(self._score(action))
                case coordination.CancelSample(attempt=attempt):
                    task = self.generations.pop(attempt, None)
                    if task is not None:
                        task.cancel()

    async def _generate(self, order: coordination.GenerateSample) -> None:
        outcome = await self.service.producer.generate(
            self.document.owner,
            self.lot.service,
            order,
            lambda tokens: self.planner.on_progress(order.attempt, tokens),
        )
        self.generations.pop(order.attempt, None)
        match outcome:
            case result.Success(made):
                self._perform(
                    self.planner.on_generated(
                        order.attempt,
                        made.tokens,
                        made.spans,
                        made.produced_by,
                    )
                )
            case result.Failure(failed):
                self.planner.on_generation_failed(
                    order.attempt, failed.wasted_tokens
                )
                self._on_generation_failed(failed.reason)

    def _on_generation_failed(self, reason: str) -> None:
        """Start no generations for `FAILURE_BACKOFF_MS`.

        Failures within that time are counted but not logged.
        """
        now_ms = self.service.clock.now_ms()
        self.failures += 1
        if now_ms < self.backoff_until_ms:
            return
        self.backoff_until_ms = now_ms + FAILURE_BACKOFF_MS
        eliot.log_message(
            "generations-failed",
            lot=self.document.name,
            reason=reason,
            failures=self.failures,
        )

    async def _score(self, order: coordination.ScoreSample) -> None:
        score = await self.service.producer.score(self.lot.scorer, order)
        if self.planner.on_scored(order.attempt, score):
            self.sample_buffered.set()


def _refuse(reason: state.Reason, detail: str) -> http.HttpResponse:
    return http.problem_response(
        state.Refusal(reason, state.Verdict.NOT_RUN, detail)
    )
