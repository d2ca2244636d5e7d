"""What an instance remembers of a lot's log is a whole prefix of it.

Guards against results at other positions than before, and against
positions that stay empty, at an instance that read a log of several pages
while the store was slow, failed or forgot its history.
"""

import asyncio
import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
from returns import result

from poplarloft.daemon.serving.rollouts import lot_service
from poplarloft.platform import ingress
from poplarloft.protocol import lot_records
from poplarloft import state

LOT = "lot-a"
TOTAL = 1_000  # the log never becomes complete
PAGE_ENTRIES = 2
WAIT_MS = 1_000
TURNS = 12  # of the event loop, until nothing is left to do
DOWN = state.StoreFailure(state.StoreFailureKind.NOT_DONE, "down")


@dataclasses.dataclass(eq=False)
class Call:
    """A call that the store has got, executes later and answers later."""

    kind: str
    key: str
    revision: int
    future: asyncio.Future
    answer: object = None


class SlowStore:
    """Holds a result log; a test decides when each call gets its answer."""

    def __init__(self):
        self.revision = 1
        self.oldest = 0
        self.entries = []
        self.calls = []
        self.listings = 0
        self.append(lot_records.encode_head(state.LotHead(TOTAL)))

    def append(self, value):
        """Add an entry to the log."""
        self.revision += 1
        key = f"{lot_records.batches_prefix(LOT)}{len(self.entries):06d}"
        self.entries.append(state.Entry(key, value, self.revision))

    async def list_page(self, prefix, after_key="", allow_stale=False):
        self.listings += 1
        return await self._call("list", after_key, 0)

    async def watch(self, prefix, after_revision, wait_ms):
        return await self._call("watch", "", after_revision)

    async def _call(self, kind, key, revision):
        future = asyncio.get_running_loop().create_future()
        call = Call(kind, key, revision, future)
        self.calls.append(call)
        try:
            return await future
        finally:
            self.calls.remove(call)

    def execute(self, call):
        """Work out the answer to a call from the log of now."""
        if call.kind == "list":
            found = [e for e in self.entries if e.key > call.key]
            page = tuple(found[:PAGE_ENTRIES])
            call.answer = result.Success(
                state.Page(page, len(found) > len(page), self.revision)
            )
        elif call.revision < self.oldest:
            kind = state.StoreFailureKind.COMPACTED
            call.answer = result.Failure(state.StoreFailure(kind, "gone"))
        else:
            call.answer = result.Success(
                state.Changes(
                    tuple(
                        state.Change(e.key, e.revision, e)
                        for e in self.entries
                        if e.revision > call.revision
                    ),
                    self.revision,
                )
            )

    def deliver(self, call):
        """Answer a call."""
        if call.answer is None:
            self.execute(call)
        if not call.future.done():
            call.future.set_result(call.answer)


class LotReading(stateful.RuleBasedStateMachine):
    """Readers of one lot at one instance, before a store that is slow."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = SlowStore()
        self.written = []
        self.readers = []
        self.service = self.loop.run_until_complete(self._make_service())

    async def _make_service(self):
        clock = state.ManualClock()
        return lot_service.LotService(
            clock, clock, self.store, 60_000, lambda message: None
        )

    def _run(self):
        async def turns():
            for _ in range(TURNS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(turns())

    def _read(self, position, wait_ms):
        return self.loop.create_task(
            self.service.read(ingress.ReadLot(LOT, position, wait_ms))
        )

    @stateful.rule(results=st.integers(1, 3), batches=st.integers(1, 3))
    def append(self, results, batches):
        for _ in range(batches):
            rows = tuple(
                state.LotResult(
                    f"i{len(self.written) + n}", state.ItemState.COMPLETED
                )
                for n in range(results)
            )
            self.written += [row.item_id for row in rows]
            self.store.append(lot_records.encode_batch(rows))

    @stateful.rule()
    def write_elsewhere(self):
        self.store.revision += 1

    @stateful.rule()
    def compact(self):
        self.store.oldest = self.store.revision

    @stateful.rule(
        back=st.sampled_from([0, 0, 1, 3, 100]),
        wait_ms=st.sampled_from([0, WAIT_MS]),
    )
    def start_reader(self, back, wait_ms):
        position = max(0, len(self.written) - back)
        self.readers.append((position, self._read(position, wait_ms)))
        self._run()

    @stateful.precondition(lambda self: self.readers)
    @stateful.rule(number=st.integers(0, 7))
    def leave(self, number):
        _, reader = self.readers.pop(number % len(self.readers))
        reader.cancel()
        self._run()

    @stateful.precondition(lambda self: self.store.calls)
    @stateful.rule(number=st.integers(0, 7))
    def execute(self, number):
        self.store.execute(self.store.calls[number % len(self.store.calls)])

    @stateful.precondition(lambda self: self.store.calls)
    @stateful.rule(number=st.integers(0, 7), missed=st.integers(1, 3))
    def miss_changes(self, number, missed):
        """A watch may miss changes before those that it returns."""
        call = self.store.calls[number % len(self.store.calls)]
        self.store.execute(call)
        match call.answer:
            case result.Success(state.Changes() as found):
                rest = dataclasses.replace(
                    found, changes=found.changes[missed:]
                )
                call.answer = result.Success(rest)

    @stateful.precondition(lambda self: self.store.calls)
    @stateful.rule(number=st.integers(0, 7))
    def deliver(self, number):
        self.store.deliver(self.store.calls[number % len(self.store.calls)])
        self._run()

    @stateful.precondition(lambda self: self.store.calls)
    @stateful.rule(number=st.integers(0, 7))
    def fail(self, number):
        call = self.store.calls[number % len(self.store.calls)]
        call.answer = result.Failure(DOWN)
        self.store.deliver(call)
        self._run()

    @stateful.invariant()
    def remembers_a_whole_prefix(self):
        lot = self.service.cache.find(LOT)
        if lot is not None:
            held = [row.item_id for row in lot.results]
            assert held == self.written[: len(held)]

    @stateful.invariant()
    def watches_from_a_revision_up_to_which_all_is_read(self):
        lot = self.service.cache.find(LOT)
        watched = [c.revision for c in self.store.calls if c.kind == "watch"]
        if lot is not None and watched:
            written = sum(
                len(lot_records.decode_batch(entry.value))
                for entry in self.store.entries[1:]
                if entry.revision <= max(watched)
            )
            assert len(lot.results) >= written

    @stateful.invariant()
    def readers_get_what_is_at_their_position(self):
        for position, reader in list(self.readers):
            if reader.done():
                self.readers.remove((position, reader))
                rows = [row.item_id for row in reader.result().results]
                end = position + len(rows)
                assert rows == self.written[position:end]

    @stateful.invariant()
    def one_listing_at_a_time(self):
        kinds = [call.kind for call in self.store.calls]
        assert kinds.count("list") <= 1

    def teardown(self):
        """Check that all results are found once the store answers."""
        try:
            for _ in range(len(self.written) + 2):
                final = self._read(len(self.written), 0)
                for _ in range(1_000):
                    self._run()
                    if final.done() and not self.store.calls:
                        break
                    for call in list(self.store.calls):
                        self.store.deliver(call)
                assert final.done()
            self.remembers_a_whole_prefix()
            lot = self.service.cache.find(LOT)
            assert [row.item_id for row in lot.results] == self.written
        finally:
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self._run()
            self.loop.close()


TestLotReading = LotReading.TestCase
TestLotReading.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
