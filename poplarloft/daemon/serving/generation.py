"""Runs items' texts on engines."""

import asyncio
from collections import abc
import dataclasses

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon import tasks
from poplarloft.platform import samplers
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["OutputGenerator"]

FIRST_EVENT_MS = 1_500
MIN_STALL_MS = 500
STALL_PACES = 10
RETRY_MS = 100
UNPROCESSABLE = 422
OK = 200


class _Stopped(Exception):
    """A run that ends before its text does."""

    def __init__(
        self, why: str, blames_engine: bool = True, is_lost: bool = False
    ) -> None:
        super().__init__(why)
        self.blames_engine = blames_engine
        self.is_lost = is_lost


@dataclasses.dataclass(slots=True)
class _Run:
    """One text on one engine."""

    text: serving.ItemOutput
    plan: serving.LotPlan
    view: serving.EngineView
    run_id: int
    task: asyncio.Task[None] | None = None


def _ignore(text: serving.ItemOutput) -> None:
    pass


def _nothing() -> None:
    pass


class OutputGenerator:
    """Texts under way, at most one run an item.

    Parameters
    ----------
    clock, wall_clock : state.Clock
        Monotonic and calendar time.
    client : samplers.SamplerClient
        Connections to engines.
    planner : serving.Planner
        Knows lots and engines.
    task_set : tasks.TaskSet
        Keeps runs alive.
    """

    def __init__(
        self,
        clock: state.Clock,
        wall_clock: state.Clock,
        client: samplers.SamplerClient,
        planner: serving.Planner,
        task_set: tasks.TaskSet,
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.client = client
        self.planner = planner
        self.task_set = task_set
        self.runs: dict[str, _Run] = {}
        self.on_whole: abc.Callable[[serving.ItemOutput], None] = _ignore
        self.on_failed: abc.Callable[[serving.ItemOutput], None] = _ignore
        self.on_end: abc.Callable[[], None] = _nothing

    def start(self, start: serving.StartItem) -> None:
        """Carry out a start that the planner decided."""
        plan = self.planner.lots[start.lot_id]
        text = next(
            text
            for group in plan.groups.values()
            for text in group
            if text.item.id == start.item_id
        )
        self.cancel(start.item_id)
        engine = self.planner.engines[start.sampler.engine_id]
        run = _Run(text, plan, engine, start.run_id)
        self.runs[start.item_id] = run
        run.task = self.task_set.spawn(self._run(run))

    def move_to(self, text: serving.ItemOutput, plan: serving.LotPlan) -> None:
        """Let a text's run go on for another lot; end any other run."""
        run = self.runs.get(text.item.id)
        if run is not None and run.text is text:
            run.plan = plan
        else:
            self.cancel(text.item.id)

    def cancel(self, item_id: str) -> None:
        """Stop an item's run, if there is one."""
        run = self.runs.pop(item_id, None)
        if run is not None and run.task is not None:
            run.task.cancel()

    async def _run(self, run: _Run) -> None:
        text, view = run.text, run.view
        held = len(text.events)
        started_ms = self.clock.now_ms()
        outcome = "cancelled"
        try:
            await self._generate(run)
            outcome = "whole"
        except _Stopped as stopped:
            outcome = str(stopped)
            self._on_stopped(run, stopped)
        finally:
            view.running.discard(run.run_id)
            if self.runs.get(text.item.id) is run:
                del self.runs[text.item.id]
            if text.stage is serving.Stage.RUNNING:
                text.stage = serving.Stage.WAITING
            eliot.log_message(
                "item-run",
                item=text.item.id,
                lot=run.plan.lot.id,
                upstream=view.sampler.name,
                held=held,
                events=len(text.events),
                predicted=round(text.predicted_events),
                versions=text.versions,
                duration_ms=self.clock.now_ms() - started_ms,
                outcome=outcome,
            )
            self.on_end()
        if text.stage is serving.Stage.COMPLETE:
            self.on_whole(text)
        elif text.stage is serving.Stage.FAILED:
            self.on_failed(text)

    def _on_stopped(self, run: _Run, stopped: _Stopped) -> None:
        text = run.text
        text.avoided_engine = run.view.sampler.name
        if stopped.blames_engine:
            text.engine_failures += 1
            text.not_before_ms = self.clock.now_ms() + RETRY_MS
            self.planner.on_engine_failure(run.view, stopped.is_lost)

    async def _generate(self, run: _Run) -> None:
        """Run a text to its end, or raise `_Stopped`."""
        text, plan = run.text, run.plan
        left_ms = (
            plan.accepted_at_ms + plan.route.item_ttl_ms - self.clock.now_ms()
        )
        sent = await self.client.start_item(
            run.view.sampler,
            plan.lot.host,
            text.item,
            max(1, left_ms),
            len(text.events),
            min(9, plan.route.priority),
            FIRST_EVENT_MS,
        )
        match sent:
            case result.Success(answer):
                try:
                    await self._take_answer(run, answer)
                finally:
                    answer.close()
            case result.Failure(failure):
                raise _Stopped(
                    f"{failure.kind.value}: {failure.detail}", is_lost=True
                )

    async def _take_answer(
        self, run: _Run, answer: http_client.UpstreamAnswer
    ) -> None:
        text = run.text
        if not samplers.is_answer_to(answer, text.item.id):
            raise _Stopped("an answer to another request")
        if answer.status == UNPROCESSABLE:
            text.stage = serving.Stage.FAILED
            raise _Stopped("status 422", blames_engine=False)
        if answer.status != OK:
            await self._take_refusal(run, answer)
        version = samplers.first_version(answer)
        if version is None:
            if not text.versions:
                raise _Stopped("an answer without a weight version")
            # Nothing is left to generate of a text that is resumed.
            version = text.versions[-1]
        self._check_version(run, version)
        await self._take_events(run, answer, version)
        text.stage = serving.Stage.COMPLETE

    async def _take_refusal(
        self, run: _Run, answer: http_client.UpstreamAnswer
    ) -> None:
        await samplers.discard(answer)
        text = run.text
        if not samplers.proves_not_run(answer):
            text.errors += 1
            if text.errors >= run.plan.route.max_attempts:
                text.stage = serving.Stage.FAILED
        raise _Stopped(f"status {answer.status}")

    async def _take_events(
        self,
        run: _Run,
        answer: http_client.UpstreamAnswer,
        version: int,
    ) -> None:
        text, view = run.text, run.view
        reader = samplers.EventReader()
        last_ms = None
        try:
            async for piece in answer.chunks():
                events = reader.feed(piece)
                for event in events:
                    version = event.version or version
                    self._check_version(run, version)
                    text.append(event.number, event.data, version)
                if not events:
                    continue
                view.on_alive()
                now_ms = self.clock.now_ms()
                if last_ms is not None:
                    view.on_event((now_ms - last_ms) / len(events))
                last_ms = now_ms
                answer.idle_timeout_ms = int(
                    max(MIN_STALL_MS, STALL_PACES * view.event_interval_ms)
                )
                if self.planner.should_move(run.plan, text, view):
                    raise _Stopped("moved to a faster engine", False)
        except http_client.AnswerCut as error:
            raise _Stopped(f"cut: {error}", is_lost=True) from error
        except (ValueError, UnicodeDecodeError) as error:
            raise _Stopped(f"spoilt: {error}") from error
        if reader.buffer.strip():
            raise _Stopped("ended within an event")

    def _check_version(self, run: _Run, version: int) -> None:
        """Note an engine's version; stop a text that may not have it."""
        lot = run.plan.lot
        run.view.versions[lot.model] = version
        if version < lot.min_version:
            raise _Stopped(f"version {version} under {lot.min_version}", False)
        text = run.text
        single = run.plan.route.single_version
        if single and text.versions and version not in text.versions:
            text.restart()
            raise _Stopped(f"a second version {version}", False)
