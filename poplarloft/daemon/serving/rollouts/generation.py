"""Generates the outputs of items on engines."""

import asyncio
from collections import abc
import dataclasses

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import upstream_limits
from poplarloft.daemon import tasks
from poplarloft.platform import event_stream
from poplarloft.platform import samplers
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["OutputGenerator"]

FIRST_EVENT_TIMEOUT_MS = 1_500
MIN_STALL_TIMEOUT_MS = 500
STALL_INTERVALS = 10
MAX_EVENT_MS = 2_000  # between events, even if single bytes keep arriving
RETRY_MS = 100
PERMIT_WAIT_MS = 1_000
UNPROCESSABLE = 422
KNOWN_RUN = (state.ProbeOutcome.SAME_RUN, state.ProbeOutcome.ANSWERED)
OK = 200


class _Stopped(Exception):
    """Raised when a run ends before its output is complete.

    Parameters
    ----------
    outcome : str
        The outcome that is logged.
    is_engine_fault : bool
        Whether the planner should avoid the engine for a while.
    is_connection_lost : bool
        Whether the connection was lost or never established.
    """

    def __init__(
        self,
        outcome: str,
        is_engine_fault: bool = True,
        is_connection_lost: bool = False,
    ) -> None:
        super().__init__(outcome)
        self.is_engine_fault = is_engine_fault
        self.is_connection_lost = is_connection_lost


@dataclasses.dataclass(slots=True)
class _Run:
    """The generation of one output on one engine."""

    output: serving.ItemOutput
    plan: serving.LotPlan
    view: serving.EngineView
    run_id: int
    task: asyncio.Task[None] | None = None


def _ignore(output: serving.ItemOutput) -> None:
    pass


def _do_nothing() -> None:
    pass


def _ignore_run(sampler: state.Sampler) -> None:
    pass


class OutputGenerator:
    """Runs the generation of outputs, at most one run per item.

    The callbacks `on_complete` and `on_failed` are called with an output
    when its run has completed it or failed it permanently; `on_end` is
    called after each run, and `on_replaced` with an engine at whose address
    another run answers.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    client : samplers.SamplerClient
        Connections to engines.
    planner : serving.Planner
        Holds the plans of lots and the state of engines.
    task_set : tasks.TaskSet
        Runs the generation tasks.
    limits : upstream_limits.UpstreamLimits
        Permits for engines that have named a limit.
    """

    def __init__(
        self,
        clock: state.Clock,
        client: samplers.SamplerClient,
        planner: serving.Planner,
        task_set: tasks.TaskSet,
        limits: upstream_limits.UpstreamLimits,
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.client = client
        self.planner = planner
        self.task_set = task_set
        self.runs: dict[str, _Run] = {}
        self.on_complete: abc.Callable[[serving.ItemOutput], None] = _ignore
        self.on_failed: abc.Callable[[serving.ItemOutput], None] = _ignore
        self.on_end: abc.Callable[[], None] = _do_nothing
        self.on_replaced: abc.Callable[[state.Sampler], None] = _ignore_run

    def start(self, start: serving.StartItem) -> None:
        """Start a run that the planner decided on; cancel an earlier one."""
        plan = self.planner.lots[start.lot_id]
        output = next(
            output
            for group in plan.groups.values()
            for output in group
            if output.item.id == start.item_id
        )
        self.cancel(start.item_id)
        engine = self.planner.engines[start.sampler.engine_id]
        run = _Run(output, plan, engine, start.run_id)
        self.runs[start.item_id] = run
        run.task = self.task_set.spawn(self._run(run))
        # A task that is cancelled before it begins runs no clean-up.
        run.task.add_done_callback(lambda _: self._on_run_ended(run))

    def reassign(
        self, output: serving.ItemOutput, plan: serving.LotPlan
    ) -> None:
        """Continue an output's run for another lot.

        A run of the same item with an earlier output is cancelled.
        """
        run = self.runs.get(output.item.id)
        if run is not None and run.output is output:
            run.plan = plan
        else:
            self.cancel(output.item.id)

    def cancel(self, item_id: str) -> None:
        """Cancel an item's run, if there is one."""
        run = self.runs.pop(item_id, None)
        if run is not None and run.task is not None:
            run.task.cancel()

    async def _run(self, run: _Run) -> None:
        output, view = run.output, run.view
        initial_events = len(output.events)
        started_ms = self.clock.now_ms()
        outcome = "cancelled"
        try:
            await self._generate(run)
            outcome = "whole"
        except _Stopped as stopped:
            outcome = str(stopped)
            self._on_stopped(run, stopped)
        except Exception as error:
            # Without a limit the item would be started again at once.
            outcome = f"failed: {error!r}"
            self._count_error(run)
            self._on_stopped(run, _Stopped(outcome))
        finally:
            self._release(run)
            eliot.log_message(
                "item-run",
                item=output.item.id,
                lot=run.plan.lot.id,
                upstream=view.sampler.name,
                held=initial_events,
                events=len(output.events),
                predicted=round(output.predicted_events),
                versions=output.versions,
                software_version=output.software_version,
                restarts=output.restarts,
                duration_ms=self.clock.now_ms() - started_ms,
                outcome=outcome,
            )
        if output.stage is serving.Stage.COMPLETE:
            self.on_complete(output)
        elif output.stage is serving.Stage.FAILED:
            self.on_failed(output)

    def _on_run_ended(self, run: _Run) -> None:
        self._release(run)
        self.on_end()

    def _release(self, run: _Run) -> None:
        """Free the slot of a run that has ended, and its item if waiting.

        The item may be in another run by then.
        """
        output = run.output
        run.view.running.discard(run.run_id)
        run.view.awaiting_permit.discard(run.run_id)
        if self.runs.get(output.item.id) is run:
            del self.runs[output.item.id]
        if output.item.id in self.runs:
            return
        if output.stage is serving.Stage.RUNNING:
            output.stage = serving.Stage.WAITING

    def _on_stopped(self, run: _Run, stopped: _Stopped) -> None:
        output = run.output
        output.avoided_engine = run.view.sampler.name
        if stopped.is_engine_fault:
            output.engine_failures += 1
            output.not_before_ms = self.clock.now_ms() + RETRY_MS
            self.planner.on_engine_failure(
                run.view, stopped.is_connection_lost
            )

    async def _generate(self, run: _Run) -> None:
        """Generate the rest of an output, or raise `_Stopped`."""
        output, plan = run.output, run.plan
        await self._await_permit(run)
        if not self.planner.may_start_at(plan, output, run.view.sampler):
            raise _Stopped("the engine may not be used", is_engine_fault=False)
        if output.events or run.view.losses:
            await self._check_run(run)
        output.begin_run(run.view.sampler)
        left_ms = (
            plan.accepted_at_ms + plan.route.item_ttl_ms - self.clock.now_ms()
        )
        sent = await self.client.start_item(
            run.view.sampler,
            plan.lot,
            output.item,
            max(1, left_ms),
            len(output.events),
            min(9, plan.route.priority),
            FIRST_EVENT_TIMEOUT_MS,
        )
        match sent:
            case result.Success(response):
                try:
                    await self._process_response(run, response)
                finally:
                    response.close()
            case result.Failure(failure):
                raise _Stopped(
                    f"{failure.kind.value}: {failure.detail}",
                    is_connection_lost=True,
                )

    async def _check_run(self, run: _Run) -> None:
        """Raise `_Stopped` unless the engine still is the announced run.

        A run that has taken its place may have another software version,
        and doesn't go on with what the earlier one began.
        """
        sampler = run.view.sampler
        outcome = await self.client.probe(sampler, new_connection=False)
        if outcome is state.ProbeOutcome.OTHER_RUN:
            self.on_replaced(sampler)
            raise _Stopped("another run is at its address", False)
        if outcome not in KNOWN_RUN:
            raise _Stopped(f"unsure of its run: {outcome.value}")

    async def _await_permit(self, run: _Run) -> None:
        """Wait until the engine may get the run, or raise `_Stopped`."""
        view = run.view
        need = serving.PermitNeed(
            run.output.item.id, run.plan.route.priority, PERMIT_WAIT_MS
        )
        try:
            acquired = await self.limits.acquire(view.sampler, need)
        finally:
            view.awaiting_permit.discard(run.run_id)
        match acquired:
            case result.Failure(wait_ms):
                pause_ms = min(wait_ms, PERMIT_WAIT_MS)
                view.limited_until_ms = self.clock.now_ms() + pause_ms
                raise _Stopped("no permit", is_engine_fault=False)

    async def _process_response(
        self, run: _Run, response: http_client.UpstreamResponse
    ) -> None:
        output = run.output
        if not samplers.is_response_to(response, output.item.id):
            raise _Stopped("an answer to another request")
        if response.status == UNPROCESSABLE:
            output.stage = serving.Stage.FAILED
            raise _Stopped("status 422", is_engine_fault=False)
        if response.status != OK:
            await self._raise_refusal(run, response)
        version = samplers.first_version(response)
        if version is None:
            if not output.versions:
                raise _Stopped("an answer without a weight version")
            # A resumed output that was complete already: the engine
            # generates nothing, so it sends no version.
            version = output.versions[-1]
        self._check_version(run, version)
        await self._process_events(run, response, version)
        output.stage = serving.Stage.COMPLETE

    async def _raise_refusal(
        self, run: _Run, response: http_client.UpstreamResponse
    ) -> None:
        await samplers.discard(response)
        if not samplers.proves_not_run(response):
            self._count_error(run)
        raise _Stopped(f"status {response.status}")

    def _count_error(self, run: _Run) -> None:
        """Count a failed attempt; fail the item after too many of them."""
        run.output.errors += 1
        if run.output.errors >= run.plan.route.max_attempts:
            run.output.stage = serving.Stage.FAILED

    async def _process_events(
        self,
        run: _Run,
        response: http_client.UpstreamResponse,
        version: int,
    ) -> None:
        output, view = run.output, run.view
        reader = event_stream.EventReader()
        last_ms = None
        progress_ms = self.clock.now_ms()
        try:
            async for chunk in response.chunks():
                events = reader.feed(chunk)
                if events and self.planner.has_restarted(view):
                    output.restart()
                    raise _Stopped("the engine has restarted", False)
                for event in events:
                    version = event.version or version
                    self._check_version(run, version)
                    output.append(event.number, event.data, version)
                now_ms = self.clock.now_ms()
                if not events:
                    if now_ms - progress_ms > MAX_EVENT_MS:
                        raise _Stopped("no event has been completed")
                    continue
                progress_ms = now_ms
                view.end_backoff()
                if last_ms is not None:
                    view.on_event((now_ms - last_ms) / len(events))
                last_ms = now_ms
                response.idle_timeout_ms = int(
                    max(
                        MIN_STALL_TIMEOUT_MS,
                        STALL_INTERVALS * view.event_interval_ms,
                    )
                )
                if self.planner.should_move(run.plan, output, view):
                    raise _Stopped("moved to a faster engine", False)
        except http_client.TruncatedResponseError as error:
            raise _Stopped(f"cut: {error}", is_connection_lost=True) from error
        except serving.OutputTooLargeError as error:
            output.restart()
            raise _Stopped(f"spoilt: {error}") from error
        except (ValueError, UnicodeDecodeError) as error:
            raise _Stopped(f"spoilt: {error}") from error
        if reader.buffer.strip():
            raise _Stopped("ended within an event")

    def _check_version(self, run: _Run, version: int) -> None:
        """Record the engine's version; raise `_Stopped` if not allowed.

        If all of an output must have one version and the engine has
        another, the output starts again from its beginning.
        """
        lot = run.plan.lot
        run.view.versions[lot.model] = version
        if version < lot.min_version:
            raise _Stopped(f"version {version} under {lot.min_version}", False)
        output = run.output
        single = run.plan.route.single_version
        if single and output.versions and version not in output.versions:
            output.restart()
            raise _Stopped(f"a second version {version}", False)
