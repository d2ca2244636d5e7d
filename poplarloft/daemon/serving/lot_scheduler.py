"""The duty of running lots: items, rewards, results and weights."""

import asyncio
from collections import abc

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving import checkpoint_store
from poplarloft.daemon.serving import garbage_collection
from poplarloft.daemon.serving import generation
from poplarloft.daemon.serving import result_writer
from poplarloft.daemon.serving import rewards
from poplarloft.daemon.serving import store_views
from poplarloft.daemon.serving import weights
from poplarloft.daemon import tasks
from poplarloft.platform import samplers
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["LotScheduler"]

TICK_MS = 200
KEEP_RUNS_MS = 3_500  # most trainers ask for the next step by then
KEEP_REWARDS_MS = 1_500
FORGET_MS = 60_000
MS_PER_S = 1_000
READ_MS = 300  # a store in another region has answered by then


class LotScheduler:
    """Runs all open lots of a cell while it holds the duty.

    Parameters
    ----------
    clock, wall_clock : state.Clock
        Monotonic time, and the time that records carry.
    store : state.RevisionStore
        Keeps lots and results.
    client : http_client.HttpClient
        Connections to upstreams.
    name : str
        This daemon's name.
    fence : int
        Fencing number of the duty, 0 while it is not taken: then items
        are generated and no orders are given.
    balancer : serving.LeastExpectedTime
        Chooses upstreams for rewards.
    is_near : callable
        Tells whether a data centre is in this region.
    kept_ms : int
        Time for which a lot can be read.
    views : store_views.StoreViews
        What is known of the store.
    inheritance : serving.CheckpointCollector or None
        The texts of the runner before, if they are known already.
    """

    def __init__(
        self,
        clock: state.Clock,
        wall_clock: state.Clock,
        store: state.RevisionStore,
        client: http_client.HttpClient,
        name: str,
        fence: int,
        balancer: serving.LeastExpectedTime,
        is_near: abc.Callable[[str], bool],
        kept_ms: int,
        views: store_views.StoreViews,
        inheritance: serving.CheckpointCollector | None = None,
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.store = store
        self.fence = fence
        self.may_send_orders = fence > 0
        self.task_set = tasks.TaskSet()
        self.operator = views.operator
        self.known = views.samplers
        self.lots = views.lots
        self.inheritance = inheritance
        self.planner = serving.Planner(clock, is_near)
        self.backup = checkpoint_store.CheckpointStore(
            clock, store, lambda: self.fence, self.open_texts
        )
        sampler_client = samplers.SamplerClient(client)
        self.rewards = rewards.RewardCaller(
            clock, self.operator, self.known, sampler_client, balancer
        )
        self.generation = generation.OutputGenerator(
            clock, wall_clock, sampler_client, self.planner, self.task_set
        )
        self.generation.on_whole = self._on_whole
        self.generation.on_failed = self._on_result
        self.generation.on_end = self.kick
        self.weights = weights.WeightUpdater(
            clock,
            sampler_client,
            self.planner,
            self.task_set,
            name,
            self,
            self.kick,
        )
        self.sweeper = garbage_collection.LotGarbageCollector(
            wall_clock, store, kept_ms
        )
        self.listings: dict[str, result_writer.ResultWriter] = {}
        self.ended: set[str] = set()
        self.scoring: dict[str, asyncio.Task[None]] = {}
        self.is_kicked = False
        self.is_stopped = False
        self.has_inherited = False

    async def start(self) -> None:
        """Take the open lots and begin; lots wait for the copied texts."""
        self.operator.listeners.append(self.kick)
        self.known.listeners.append(self.kick)
        self.lots.listener = self
        for record in list(self.lots.records.values()):
            self.on_lot(record, False)
        if self.inheritance is not None:
            self.planner.restore(self.inheritance)
            self.task_set.spawn(self.backup.read())
        else:
            self.planner.restore(await self.backup.read())
        self.has_inherited = True
        self.task_set.spawn(self._tick())
        self.task_set.spawn(self.backup.run())
        self.task_set.spawn(self.sweeper.run())
        self.kick()

    async def stop(self) -> None:
        """Stop all runs and calls; what ends now starts nothing new."""
        self.is_stopped = True
        self.lots.listener = None
        self.operator.listeners.remove(self.kick)
        self.known.listeners.remove(self.kick)
        await self.task_set.cancel_all()

    def on_lot(self, record: state.LotRecord, is_new: bool) -> None:
        """Take an open lot; what may be listed of it is read."""
        if record.lot.id not in self.ended:
            self.task_set.spawn(self._open(record, is_new))

    def on_lot_end(self, lot_id: str) -> None:
        """Stop a lot; texts that run may go on for the lot that follows."""
        if lot_id in self.ended:
            return
        self.ended.add(lot_id)
        book = self.listings.pop(lot_id, None)
        if book is not None:
            book.close()
        loop = asyncio.get_running_loop()
        for text in self.planner.end_lot(lot_id):
            loop.call_later(KEEP_RUNS_MS / MS_PER_S, self._stop_kept, text)
            loop.call_later(
                KEEP_REWARDS_MS / MS_PER_S, self._stop_scoring, text
            )
            loop.call_later(FORGET_MS / MS_PER_S, self.planner.drop_kept, text)
        loop.call_later(FORGET_MS / MS_PER_S, self.ended.discard, lot_id)
        eliot.log_message("lot-stopped", request=lot_id)
        self.kick()

    def all_outputs(self) -> abc.Iterator[serving.ItemOutput]:
        """Yield all texts of open lots, and those kept from ended ones."""
        for plan in list(self.planner.lots.values()):
            for group in plan.groups.values():
                yield from group
        yield from self.planner.kept.values()

    def open_texts(self) -> abc.Iterator[serving.ItemOutput]:
        """Yield the texts that are not listed yet."""
        for plan in list(self.planner.lots.values()):
            book = self.listings[plan.lot.id].book
            for group in plan.groups.values():
                for text in group:
                    if text.item.id not in book.listed:
                        yield text
        yield from self.planner.kept.values()

    def kick(self) -> None:
        """Decide anew soon; many calls make one decision."""
        if not self.is_kicked:
            self.is_kicked = True
            asyncio.get_running_loop().call_soon(self._decide)

    def _decide(self) -> None:
        self.is_kicked = False
        configuration = self.operator.configuration
        if not self.has_inherited or self.is_stopped:
            return
        if configuration is None or not self.known.is_listed.is_set():
            return
        for target in self.operator.targets.values():
            self.weights.planner.update_target(target)
        self._plan_waiting(configuration)
        engines = [
            sampler
            for service in configuration.services.values()
            if service.is_engine
            for sampler in self.known.registry.of_service(service.name)
        ]
        self.planner.update_engines(engines)
        self.weights.give_orders()
        for start in self.planner.next_starts():
            self.generation.start(start)

    async def _tick(self) -> None:
        """Decide now and then, since time alone changes decisions."""
        while True:
            await asyncio.sleep(TICK_MS / MS_PER_S)
            self._give_up_old()
            self.kick()

    async def _open(self, record: state.LotRecord, is_new: bool) -> None:
        """Read what is listed of a lot, then plan the rest.

        While the store is away the lot is planned without the listing.
        """
        lot = record.lot
        book = result_writer.ResultWriter(
            self.clock, self.store, lot, self.task_set, self._on_listed
        )
        if is_new:
            book.begin()
        else:
            reading = self.task_set.spawn(book.read())
            await asyncio.wait({reading}, timeout=READ_MS / MS_PER_S)
        if lot.id in self.ended:
            book.close()
            return
        self.listings[lot.id] = book
        eliot.log_message(
            "lot-opened",
            request=lot.id,
            step=lot.step,
            model=lot.model,
            min_version=lot.min_version,
            items=len(lot.items),
            listed=len(book.book.listed),
            is_read=book.is_read,
            age_ms=self.wall_clock.now_ms() - record.accepted_at_ms,
        )
        self.kick()

    def _plan_waiting(self, configuration: state.ServingConfiguration) -> None:
        """Plan the lots that are read but not planned yet."""
        for lot_id, book in self.listings.items():
            if lot_id in self.planner.lots or lot_id in self.ended:
                continue
            record = self.lots.records.get(lot_id)
            if record is None:
                continue
            self.weights.planner.update_allowed_lag(record.lot)
            route = configuration.find_route(record.lot.host, record.lot.path)
            if book.book.is_complete or route is None:
                continue
            age_ms = self.wall_clock.now_ms() - record.accepted_at_ms
            plan = self.planner.add_lot(
                record.lot,
                route,
                self.clock.now_ms() - age_ms,
                book.book.listed,
            )
            for group in plan.groups.values():
                for text in group:
                    self._resume(text, plan)

    def _resume(self, text: serving.ItemOutput, plan: serving.LotPlan) -> None:
        """Go on with a text, which may be kept from an earlier lot."""
        self.generation.move_to(text, plan)
        if text.stage is serving.Stage.COMPLETE:
            self._on_whole(text)
        elif text.stage is serving.Stage.SCORED:
            self._on_result(text)

    def _on_whole(self, text: serving.ItemOutput) -> None:
        item_id = text.item.id
        if self.is_stopped or item_id in self.scoring:
            return
        if item_id in self.planner.kept:
            return
        task = self.task_set.spawn(self._score(text))
        self.scoring[item_id] = task
        task.add_done_callback(lambda _: self._on_scored(text, task))

    async def _score(self, text: serving.ItemOutput) -> None:
        await self.rewards.score(text)
        self._on_result(text)

    def _on_scored(
        self, text: serving.ItemOutput, task: asyncio.Task[None]
    ) -> None:
        if self.scoring.get(text.item.id) is task:
            del self.scoring[text.item.id]

    def _on_result(self, text: serving.ItemOutput) -> None:
        """List a scored or failed text in the lot that has it open."""
        for plan in self.planner.lots.values():
            group = plan.groups.get(text.item.group, [])
            if not any(held is text for held in group):
                continue
            is_awaited = plan.should_list_now(self.clock.now_ms())
            self.listings[plan.lot.id].add(text.result(), is_awaited)
            return

    def _on_listed(self, lot_id: str) -> None:
        """Stop what is listed, by whomever."""
        opened = self.listings.get(lot_id)
        if opened is None:
            return
        book = opened.book
        for text in self.planner.drop_listed(lot_id, book.listed):
            self.generation.cancel(text.item.id)
            task = self.scoring.pop(text.item.id, None)
            if task is not None:
                task.cancel()
        if book.is_complete:
            self.planner.end_lot(lot_id)

    def _stop_kept(self, text: serving.ItemOutput) -> None:
        """Stop a text that no further lot has taken."""
        if self.planner.kept.get(text.item.id) is text:
            self.generation.cancel(text.item.id)

    def _stop_scoring(self, text: serving.ItemOutput) -> None:
        if self.planner.kept.get(text.item.id) is text:
            task = self.scoring.pop(text.item.id, None)
            if task is not None:
                task.cancel()

    def _give_up_old(self) -> None:
        """Fail the items whose time to live has passed."""
        now_ms = self.clock.now_ms()
        for plan in list(self.planner.lots.values()):
            if now_ms - plan.accepted_at_ms < plan.route.item_ttl_ms:
                continue
            for group in plan.groups.values():
                for text in group:
                    if text.stage in (
                        serving.Stage.WAITING,
                        serving.Stage.RUNNING,
                    ):
                        self.generation.cancel(text.item.id)
                        text.stage = serving.Stage.FAILED
                        self._on_result(text)
