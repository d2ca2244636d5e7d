"""Runs the lots whose trainers pull from this instance."""

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
PULL_WAIT_MS = 500
PLAN_INTERVAL_MS = 100
STREAMS_PER_ENGINE = 8
FAILURE_HOLD_MS = 200
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class LotStatus:
    """What operators see of a lot that runs here."""

    name: str
    owner: str
    step: int
    steps: int
    weight_version: int
    buffered: int
    running: int
    wasted_tokens: int


class RolloutService:
    """Answers trainers' pulls and keeps their lots supplied.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    store : state.KeyValueStore
        Holds the lots' leases.
    holder : str
        This instance's incarnation and listening address.
    configuration_service, upstream_service, producer, weight_service
        The parts that it uses.
    task_set : tasks.TaskSet
        Runs generations.
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
        other = await driver.ensure_lease()
        if other is not None and not insist:
            return _refuse(state.Reason.CONFLICT, other)
        samples = await driver.pull(holdings)
        body = pulls.encode_pull_answer(name, holdings.step, samples)
        return http.HttpResponse(
            200, (("content-type", "application/json"),), body
        )

    def statuses(self) -> list[LotStatus]:
        """Return the status of each lot that runs here."""
        return [d.status() for d in self.lots.values()]

    def stop(self) -> None:
        """Start no further generation."""
        for driver in self.lots.values():
            driver.stopped = True

    def _driver(self, document: state.Document) -> "_LotDriver":
        assert isinstance(document.body, state.LotBody)
        driver = self.lots.get(document.name)
        if driver is None or driver.document != document:
            driver = _LotDriver(self, document, document.body)
            self.lots[document.name] = driver
        return driver


class _LotDriver:
    """Carries out the actions of one lot's runner."""

    def __init__(
        self,
        service: RolloutService,
        document: state.Document,
        lot: state.LotBody,
    ) -> None:
        self.service = service
        self.document = document
        self.lot = lot
        self.runner = coordination.LotPlanner(
            service.clock,
            document.name,
            lot,
            coordination.RateRedispatch(),
        )
        self.generations: dict[int, asyncio.Task[None]] = {}
        self.arrived = asyncio.Event()
        self.lease_checked_ms: int | None = None
        self.failures = 0
        self.held_until_ms = 0
        self.planning = False
        self.stopped = False

    def status(self) -> LotStatus:
        """Return what operators see."""
        holdings = self.runner.holdings
        return LotStatus(
            self.document.name,
            self.document.owner,
            holdings.step if holdings else 0,
            self.lot.steps,
            holdings.weight_version if holdings else 0,
            len(self.runner.buffer.samples),
            len(self.runner.attempts),
            self.runner.waste.total_tokens,
        )

    async def ensure_lease(self) -> str | None:
        """Take or renew the lease; return its other holder, if any.

        The lease only saves double work. Without the key-value service
        the lot runs on: deliveries are decided by the trainer.
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
        """Return samples, waiting a little while there are none."""
        self.service.weights.on_target(
            self.lot.service, holdings.weight_version
        )
        self._start_planning()
        offer = self.runner.on_pull(holdings)
        self._plan()
        if offer.samples or self.stopped:
            return offer.samples
        self.arrived.clear()
        try:
            async with asyncio.timeout(PULL_WAIT_MS / MS_PER_S):
                await self.arrived.wait()
        except TimeoutError:
            pass
        return self.runner.on_pull(holdings).samples

    def _start_planning(self) -> None:
        if not self.planning:
            self.planning = True
            self.service.task_set.spawn(self._plan_regularly())

    async def _plan_regularly(self) -> None:
        """Plan again now and then, since engines come and go."""
        while not self.stopped:
            self._plan()
            await asyncio.sleep(PLAN_INTERVAL_MS / MS_PER_S)

    def _plan(self) -> None:
        held = self.service.clock.now_ms() < self.held_until_ms
        if not self.stopped and not held:
            self._perform(self.runner.plan(self._free_streams()))

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
            lambda tokens: self.runner.on_progress(order.attempt, tokens),
        )
        self.generations.pop(order.attempt, None)
        match outcome:
            case result.Success(made):
                self._perform(
                    self.runner.on_generated(
                        order.attempt,
                        made.tokens,
                        made.spans,
                        made.produced_by,
                    )
                )
            case result.Failure(failed):
                self.runner.on_generation_failed(
                    order.attempt, failed.wasted_tokens
                )
                self._note_failure(failed.reason)

    def _note_failure(self, reason: str) -> None:
        """Hold further orders for a moment; log the first of a series."""
        now_ms = self.service.clock.now_ms()
        self.failures += 1
        if now_ms < self.held_until_ms:
            return
        self.held_until_ms = now_ms + FAILURE_HOLD_MS
        eliot.log_message(
            "generations-failed",
            lot=self.document.name,
            reason=reason,
            failures=self.failures,
        )

    async def _score(self, order: coordination.ScoreSample) -> None:
        score = await self.service.producer.score(self.lot.scorer, order)
        if self.runner.on_scored(order.attempt, score):
            self.arrived.set()


def _refuse(reason: state.Reason, detail: str) -> http.HttpResponse:
    return http.problem_response(
        state.Refusal(reason, state.Verdict.NOT_RUN, detail)
    )
