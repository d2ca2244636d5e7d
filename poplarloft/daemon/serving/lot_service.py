"""Accepts lots, reads and ends them, through the store alone."""

import asyncio
from collections import abc
import dataclasses

import eliot
from returns import result

from poplarloft.platform import ingress
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["LotService"]

ACCEPT_TIMEOUT_MS = 4_000
END_TIMEOUT_MS = 3_000
WRITE_AGAIN_MS = 100
RETRY_AFTER_MS = 200
MAX_WAIT_MS = 1_000
MAX_PAGE_BYTES = 900_000
RESULT_OVERHEAD_BYTES = 400
MS_PER_S = 1_000
Status = state.WriteStatus


@dataclasses.dataclass(slots=True)
class _LotView:
    """What this instance has read of a lot's list."""

    total: int = 0
    results: list[state.LotResult] = dataclasses.field(default_factory=list)
    last_key: str = ""
    revision: int = 0
    record: state.LotRecord | None = None
    seen_at_ms: int = 0

    @property
    def is_known(self) -> bool:
        """Tell whether the store has shown that the lot exists."""
        return bool(self.last_key)

    @property
    def is_whole(self) -> bool:
        """Tell whether each item is listed."""
        return self.is_known and len(self.results) >= self.total

    def take(self, entries: abc.Iterable[state.Entry]) -> None:
        """Take entries of the list that follow those held."""
        for entry in entries:
            if entry.key <= self.last_key:
                continue
            if not self.last_key:
                self.total = lot_records.decode_head(entry.value)
            else:
                self.results += lot_records.decode_batch(entry.value)
            self.last_key = entry.key


class LotService:
    """Answers trainers from what the store has acknowledged.

    Parameters
    ----------
    clock, wall_clock : state.Clock
        Monotonic time, and the time that records carry.
    store : state.RevisionStore
        Keeps the lots.
    kept_ms : int
        Time for which a lot can be read.
    tell_runner : callable
        Hints at a lot that began or ended.
    """

    def __init__(
        self,
        clock: state.Clock,
        wall_clock: state.Clock,
        store: state.RevisionStore,
        kept_ms: int,
        tell_runner: abc.Callable[[state.ServingMessage], None],
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.store = store
        self.kept_ms = kept_ms
        self.tell_runner = tell_runner
        self.views: dict[str, _LotView] = {}

    async def accept(self, lot: state.Lot) -> state.Refusal | None:
        """Keep a lot; None once the store has acknowledged it."""
        record = state.LotRecord(lot, self.wall_clock.now_ms())
        puts = [
            state.Put(
                lot_records.lot_key(lot.id), lot_records.encode_record(record)
            ),
            state.Put(
                lot_records.head_key(lot.id),
                lot_records.encode_head(len(lot.items)),
            ),
        ]
        answer = await self._write_surely(puts)
        eliot.log_message(
            "lot-submitted",
            request=lot.id,
            step=lot.step,
            items=len(lot.items),
            outcome=answer.status.value,
            revision=answer.revision,
            detail=answer.detail,
        )
        if answer.status is Status.APPLIED:
            self.tell_runner(state.LotAccepted(record, answer.revision))
        if answer.status in (Status.APPLIED, Status.CONFLICT):
            return None
        if answer.status is Status.NOT_DONE:
            return _not_ready(f"the lot was not kept: {answer.detail}")
        return state.Refusal(
            state.Reason.UPSTREAM_FAILED,
            state.Verdict.MAY_HAVE_RUN,
            "the store did not say whether it kept the lot",
        )

    async def read(self, question: ingress.ReadLot) -> state.ResultPage:
        """Return results from a position on."""
        self._forget_old()
        held = self.views.setdefault(question.lot_id, _LotView())
        held.seen_at_ms = self.clock.now_ms()
        if not held.is_whole and len(held.results) <= question.position:
            wait_ms = min(question.wait_ms, MAX_WAIT_MS)
            failure = await self._refresh(question.lot_id, held, wait_ms)
            if failure is not None:
                eliot.log_message(
                    "lot-read-refused",
                    request=question.lot_id,
                    position=question.position,
                    held=len(held.results),
                    revision=held.revision,
                    detail=failure.detail,
                )
                return _unread(_not_ready(failure.detail))
        if not held.is_known:
            self.views.pop(question.lot_id, None)
            return _unread(_unknown(question.lot_id))
        return _page(held, question.position)

    async def item_body(
        self, question: ingress.ReadItem
    ) -> result.Result[bytes, state.Refusal]:
        """Return the body of an item."""
        record = await self._record(question.lot_id)
        match record:
            case result.Success(state.LotRecord() as found):
                item = found.lot.find_item(question.item_id)
                if item is not None:
                    return result.Success(item.body)
                return result.Failure(_unknown(question.item_id))
            case result.Failure(refusal):
                return result.Failure(refusal)
        raise AssertionError(record)

    async def end(self, lot_id: str) -> state.Refusal | None:
        """End a lot; None once the store has acknowledged it."""
        # The end of a lot that does not exist changes nothing.
        refusal, answer = await asyncio.gather(
            self._check_exists(lot_id), self._write_end(lot_id)
        )
        if refusal is not None:
            return refusal
        eliot.log_message(
            "lot-ended",
            request=lot_id,
            outcome=answer.status.value,
            revision=answer.revision,
            detail=answer.detail,
        )
        if answer.status is Status.APPLIED:
            self.tell_runner(state.LotEnded(lot_id))
            return None
        return _not_ready("the store did not keep the end")

    async def _check_exists(self, lot_id: str) -> state.Refusal | None:
        held = self.views.get(lot_id)
        if held is not None and held.is_known:
            return None
        found = await self.store.get(lot_records.head_key(lot_id))
        match found:
            case result.Success(None):
                return _unknown(lot_id)
            case result.Failure(failure):
                return _not_ready(failure.detail)
        return None

    async def _write_end(self, lot_id: str) -> state.WriteAnswer:
        """Remove a lot's record; doing so again changes nothing."""
        end_ms = self.clock.now_ms() + END_TIMEOUT_MS
        ended = lot_records.ended_key(lot_id, self.wall_clock.now_ms())
        while True:
            answer = await self.store.write(
                [], [state.Put(ended, b"")], [lot_records.lot_key(lot_id)]
            )
            is_unknown = answer.status is Status.UNKNOWN
            if not is_unknown or self.clock.now_ms() >= end_ms:
                return answer
            await asyncio.sleep(WRITE_AGAIN_MS / MS_PER_S)

    async def _write_surely(self, puts: list[state.Put]) -> state.WriteAnswer:
        """Create keys; an unknown outcome is settled by trying again.

        Each attempt has the same condition, so a conflict after an
        unknown outcome shows that the keys are there.
        """
        end_ms = self.clock.now_ms() + ACCEPT_TIMEOUT_MS
        expected = [state.Expectation(put.key) for put in puts]
        is_unknown = False
        while True:
            answer = await self.store.write(expected, puts)
            if answer.status in (Status.APPLIED, Status.CONFLICT):
                return answer
            is_unknown = is_unknown or answer.status is Status.UNKNOWN
            if not is_unknown:
                return answer
            if self.clock.now_ms() >= end_ms:
                return dataclasses.replace(answer, status=Status.UNKNOWN)
            await asyncio.sleep(WRITE_AGAIN_MS / MS_PER_S)

    async def _refresh(
        self, lot_id: str, held: _LotView, wait_ms: int
    ) -> state.StoreFailure | None:
        """Read what follows; wait for it if there is nothing yet."""
        prefix = lot_records.batches_prefix(lot_id)
        if wait_ms and held.revision:
            answer = await self.store.watch(prefix, held.revision, wait_ms)
            match answer:
                case result.Success(state.Changes() as found):
                    held.take(c.entry for c in found.changes if c.entry)
                    held.revision = found.seen_revision(held.revision)
                    return None
        return await self._read_on(prefix, held)

    async def _read_on(
        self, prefix: str, held: _LotView
    ) -> state.StoreFailure | None:
        while True:
            page = await self.store.list_page(prefix, held.last_key)
            match page:
                case result.Success(state.Page() as found):
                    held.take(found.entries)
                    held.revision = max(held.revision, found.revision)
                    if not found.has_more:
                        return None
                case result.Failure(failure):
                    return failure

    async def _record(
        self, lot_id: str
    ) -> result.Result[state.LotRecord, state.Refusal]:
        held = self.views.get(lot_id)
        if held is not None and held.record is not None:
            return result.Success(held.record)
        found = await self.store.get(lot_records.lot_key(lot_id))
        match found:
            case result.Success(state.Entry(value=value)):
                try:
                    record = lot_records.decode_record(value)
                except errors.FieldError as error:
                    return result.Failure(_not_ready(str(error)))
                view = self.views.setdefault(lot_id, _LotView())
                view.record = record
                view.seen_at_ms = self.clock.now_ms()
                return result.Success(record)
            case result.Success(None):
                return result.Failure(_unknown(lot_id))
            case result.Failure(failure):
                return result.Failure(_not_ready(failure.detail))
        raise AssertionError(found)

    def _forget_old(self) -> None:
        oldest_ms = self.clock.now_ms() - self.kept_ms
        for lot_id in [
            lot_id
            for lot_id, held in self.views.items()
            if held.seen_at_ms < oldest_ms
        ]:
            del self.views[lot_id]


def _page(held: _LotView, position: int) -> state.ResultPage:
    found: list[state.LotResult] = []
    size = 0
    for listed in held.results[position:]:
        size += len(listed.text) + RESULT_OVERHEAD_BYTES
        if found and size > MAX_PAGE_BYTES:
            break
        found.append(listed)
    return state.ResultPage(held.total, position + len(found), tuple(found))


def _unread(refusal: state.Refusal) -> state.ResultPage:
    return state.ResultPage(0, 0, (), refusal)


def _unknown(name: str) -> state.Refusal:
    return state.Refusal(
        state.Reason.UNKNOWN_LOT, state.Verdict.NOT_RUN, f"no {name!r}"
    )


def _not_ready(detail: str) -> state.Refusal:
    return state.Refusal(
        state.Reason.NOT_READY,
        state.Verdict.NOT_RUN,
        detail,
        RETRY_AFTER_MS,
    )
