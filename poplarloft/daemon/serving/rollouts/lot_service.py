"""Accepts, reads and ends lots, using only the store."""

import asyncio
from collections import abc
import dataclasses
import weakref

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.rollouts import log_reader
from poplarloft.daemon.serving.rollouts import lot_cache
from poplarloft.daemon import tasks
from poplarloft.platform import ingress
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["LotService"]

ACCEPT_TIMEOUT_MS = 4_000
END_TIMEOUT_MS = 3_000
WRITE_RETRY_MS = 100
RETRY_AFTER_MS = 200
MAX_PAGE_BYTES = 900_000
RESULT_OVERHEAD_BYTES = 400
MS_PER_S = 1_000
Status = state.WriteStatus


class LotService:
    """Answers trainers with what the store has acknowledged.

    Parameters
    ----------
    clock, wall_clock : state.Clock
        Monotonic clock, and wall clock as in the records of lots.
    store : state.RevisionStore
        Stores the lots.
    retention_ms : int
        Time for which a lot can be read; unused cache entries expire
        after it.
    notify_leader : callable
        Sends the leader a hint of an accepted or ended lot.
    max_bytes : int
        Bound on the memory for what was read of lots.
    """

    def __init__(
        self,
        clock: state.Clock,
        wall_clock: state.Clock,
        store: state.RevisionStore,
        retention_ms: int,
        notify_leader: abc.Callable[[state.ServingMessage], None],
        max_bytes: int = serving.DEFAULT_LOT_BYTES,
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.store = store
        self.notify_leader = notify_leader
        self.cache = lot_cache.LotCache(clock, retention_ms, max_bytes)
        self.task_set = tasks.TaskSet()
        # Each lives as long as somebody waits for it or it reads.
        self.readers: weakref.WeakValueDictionary[
            str, log_reader.LogReader
        ] = weakref.WeakValueDictionary()

    async def stop(self) -> None:
        """End the readings that are under way."""
        await self.task_set.cancel_all()

    async def accept(self, lot: state.Lot) -> state.Refusal | None:
        """Store a lot; return None once the store has acknowledged it."""
        record = state.LotRecord(lot, self.wall_clock.now_ms())
        puts = [
            state.Put(
                lot_records.lot_key(lot.id), lot_records.encode_record(record)
            ),
            state.Put(
                lot_records.head_key(lot.id),
                lot_records.encode_head(record.head),
            ),
        ]
        answer = await self._create_keys(puts)
        eliot.log_message(
            "lot-submitted",
            request=lot.id,
            step=lot.step,
            items=len(lot.items),
            account=lot.account,
            outcome=answer.status.value,
            revision=answer.revision,
            detail=answer.detail,
        )
        if answer.status is Status.APPLIED:
            self.notify_leader(state.LotAccepted(record, answer.revision))
        if answer.status in (Status.APPLIED, Status.CONFLICT):
            return None
        if answer.status is Status.NOT_DONE:
            return _not_ready_refusal(
                f"the store did not accept lot {lot.id!r}: {answer.detail}"
            )
        return state.Refusal(
            state.Reason.UPSTREAM_FAILED,
            state.Verdict.MAY_HAVE_RUN,
            f"unknown whether the store accepted lot {lot.id!r}: "
            f"{answer.detail}",
        )

    async def read(
        self, call: ingress.ReadLot, caller: state.Caller | None = None
    ) -> state.ResultPage:
        """Return the results from a position on, waiting for the next one.

        To a caller of another account, a lot does not exist.
        """
        cached = self.cache.use(call.lot_id)
        if not cached.is_complete and len(cached.results) <= call.position:
            reader = self._reader(call.lot_id, cached)
            failure = await reader.await_result(call.position, call.wait_ms)
            if failure is not None:
                if cached.head is None:
                    self.cache.drop(call.lot_id)
                eliot.log_message(
                    "lot-read-refused",
                    request=call.lot_id,
                    position=call.position,
                    held=len(cached.results),
                    revision=cached.log.revision,
                    next_number=cached.log.next_number,
                    detail=failure.detail,
                )
                return _refused_page(
                    _not_ready_refusal(
                        f"cannot read the results of lot {call.lot_id!r}: "
                        f"{failure.detail}"
                    )
                )
        if cached.head is None:
            self.cache.drop(call.lot_id)
            return _refused_page(_unknown_refusal(f"no lot {call.lot_id!r}"))
        if not cached.head.is_readable_by(caller):
            return _refused_page(_unknown_refusal(f"no lot {call.lot_id!r}"))
        return _page(cached, cached.head.total, call.position)

    async def item_body(
        self, call: ingress.ReadItem, caller: state.Caller | None = None
    ) -> result.Result[bytes, state.Refusal]:
        """Return the request body of an item."""
        record = await self._record(call.lot_id)
        match record:
            case result.Success(state.LotRecord() as found):
                item = found.lot.find_item(call.item_id)
                may_read = found.head.is_readable_by(caller)
                if item is not None and may_read:
                    return result.Success(item.body)
                return result.Failure(
                    _unknown_refusal(
                        f"lot {call.lot_id!r} has no item {call.item_id!r}"
                    )
                )
            case result.Failure(refusal):
                return result.Failure(refusal)
        raise AssertionError(record)

    async def end(
        self, lot_id: str, caller: state.Caller | None = None
    ) -> state.Refusal | None:
        """End a lot; return None once the store has acknowledged it."""
        refusal = None
        if caller is not None:
            # A lot of another account must not be ended.
            refusal = await self._check_exists(lot_id, caller)
        if refusal is not None:
            return refusal
        # Both run at once: ending a lot that does not exist has no effect.
        refusal, answer = await asyncio.gather(
            self._check_exists(lot_id, caller), self._write_end(lot_id)
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
            self.notify_leader(state.LotEnded(lot_id))
            return None
        return _not_ready_refusal(
            f"the store did not acknowledge the end of lot {lot_id!r}: "
            f"{answer.status.value} {answer.detail}"
        )

    async def _check_exists(
        self, lot_id: str, caller: state.Caller | None
    ) -> state.Refusal | None:
        """Return why a caller may not end a lot, None if it may."""
        unknown = _unknown_refusal(f"no lot {lot_id!r}")
        cached = self.cache.find(lot_id)
        if cached is not None and cached.head is not None:
            return None if cached.head.is_readable_by(caller) else unknown
        found = await self.store.get(lot_records.head_key(lot_id))
        match found:
            case result.Success(None):
                return unknown
            case result.Success(state.Entry() as entry):
                cached = self.cache.use(lot_id)
                cached.add_entries([entry])
                if cached.head and not cached.head.is_readable_by(caller):
                    return unknown
            case result.Failure(failure):
                return _not_ready_refusal(
                    f"cannot read whether lot {lot_id!r} exists: "
                    f"{failure.detail}"
                )
        return None

    async def _write_end(self, lot_id: str) -> state.WriteAnswer:
        """Remove a lot's record and mark it ended; retry while unknown.

        The write is idempotent.
        """
        deadline_ms = self.clock.now_ms() + END_TIMEOUT_MS
        ended = lot_records.ended_key(lot_id, self.wall_clock.now_ms())
        while True:
            answer = await self.store.write(
                [], [state.Put(ended, b"")], [lot_records.lot_key(lot_id)]
            )
            is_unknown = answer.status is Status.UNKNOWN
            if not is_unknown or self.clock.now_ms() >= deadline_ms:
                return answer
            await asyncio.sleep(WRITE_RETRY_MS / MS_PER_S)

    async def _create_keys(self, puts: list[state.Put]) -> state.WriteAnswer:
        """Create keys; retry while the outcome is unknown.

        Each attempt requires that the keys are absent, so a conflict
        after an unknown outcome shows that the keys were created.
        """
        deadline_ms = self.clock.now_ms() + ACCEPT_TIMEOUT_MS
        expected = [state.Expectation(put.key) for put in puts]
        is_unknown = False
        while True:
            answer = await self.store.write(expected, puts)
            if answer.status in (Status.APPLIED, Status.CONFLICT):
                return answer
            is_unknown = is_unknown or answer.status is Status.UNKNOWN
            if not is_unknown:
                return answer
            if self.clock.now_ms() >= deadline_ms:
                return dataclasses.replace(answer, status=Status.UNKNOWN)
            await asyncio.sleep(WRITE_RETRY_MS / MS_PER_S)

    def _reader(
        self, lot_id: str, cached: lot_cache.CachedLot
    ) -> log_reader.LogReader:
        """Return what reads a lot's log for all who wait for it."""
        reader = self.readers.get(lot_id)
        if reader is None or reader.lot is not cached:
            reader = log_reader.LogReader(
                self.store, self.task_set, lot_id, cached
            )
            self.readers[lot_id] = reader
        return reader

    async def _record(
        self, lot_id: str
    ) -> result.Result[state.LotRecord, state.Refusal]:
        cached = self.cache.find(lot_id)
        if cached is not None and cached.record is not None:
            return result.Success(cached.record)
        found = await self.store.get(lot_records.lot_key(lot_id))
        match found:
            case result.Success(state.Entry(value=value)):
                try:
                    record = lot_records.decode_record(value)
                except errors.FieldError as error:
                    # Another attempt would read the same record.
                    return result.Failure(
                        state.Refusal(
                            state.Reason.UPSTREAM_FAILED,
                            state.Verdict.MAY_HAVE_RUN,
                            f"cannot decode the record of lot {lot_id!r}: "
                            f"{error}",
                        )
                    )
                self.cache.use(lot_id).set_record(record)
                return result.Success(record)
            case result.Success(None):
                return result.Failure(_unknown_refusal(f"no lot {lot_id!r}"))
            case result.Failure(failure):
                return result.Failure(
                    _not_ready_refusal(
                        f"cannot read the record of lot {lot_id!r}: "
                        f"{failure.detail}"
                    )
                )
        raise AssertionError(found)


def _page(
    cached: lot_cache.CachedLot, total: int, position: int
) -> state.ResultPage:
    found: list[state.LotResult] = []
    size = 0
    for row in cached.results[position:]:
        size += len(row.text) + RESULT_OVERHEAD_BYTES
        if found and size > MAX_PAGE_BYTES:
            break
        found.append(row)
    return state.ResultPage(total, position + len(found), tuple(found))


def _refused_page(refusal: state.Refusal) -> state.ResultPage:
    return state.ResultPage(0, 0, (), refusal)


def _unknown_refusal(detail: str) -> state.Refusal:
    return state.Refusal(
        state.Reason.UNKNOWN_LOT, state.Verdict.NOT_RUN, detail
    )


def _not_ready_refusal(detail: str) -> state.Refusal:
    return state.Refusal(
        state.Reason.NOT_READY,
        state.Verdict.NOT_RUN,
        detail,
        RETRY_AFTER_MS,
    )
