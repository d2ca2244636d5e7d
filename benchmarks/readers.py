"""Measure what reading the log of a lot costs.

A log of some pages is in the store; its readers come at once, each from the
start. Times are of this machine's clock, and include the store's 4 ms a
call; pages are as large as the store's, with results of 36 KB.
"""

import asyncio
import resource
import sys
import time

from returns import result

from poplarloft.daemon.serving.rollouts import lot_service
from poplarloft.platform import ingress
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["run"]

LOT = "lot"
CALL_MS = 4
PAGE_BATCHES = 2
BATCH_RESULTS = 10
TEXT = "x" * 36_000
SIZES = ((1, 1), (1, 20), (10, 1), (10, 20), (100, 1), (100, 20))
SMALL_SIZES = ((1, 20), (10, 20))
RETENTION_MS = 60_000
MS_PER_S = 1_000
Listed = result.Result[state.Page, state.StoreFailure]
Watched = result.Result[state.Changes, state.StoreFailure]


class _Store:
    """A log in memory, listed by page."""

    def __init__(self, pages: int) -> None:
        head = state.LotHead(pages * PAGE_BATCHES * BATCH_RESULTS)
        values = [lot_records.encode_head(head)]
        for batch in range(pages * PAGE_BATCHES):
            first = batch * BATCH_RESULTS
            rows = tuple(
                state.LotResult(f"i{n}", state.ItemState.COMPLETED, TEXT)
                for n in range(first, first + BATCH_RESULTS)
            )
            values.append(lot_records.encode_batch(rows))
        prefix = lot_records.batches_prefix(LOT)
        self.entries = [
            state.Entry(f"{prefix}{number:06d}", value, number + 1)
            for number, value in enumerate(values)
        ]
        self.calls = 0

    async def list_page(
        self, prefix: str, after_key: str = "", allow_stale: bool = False
    ) -> Listed:
        self.calls += 1
        await asyncio.sleep(CALL_MS / MS_PER_S)
        left = [entry for entry in self.entries if entry.key > after_key]
        page = tuple(left[:PAGE_BATCHES])
        has_more = len(left) > len(page)
        return result.Success(state.Page(page, has_more, len(self.entries)))

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Watched:
        self.calls += 1
        await asyncio.sleep(wait_ms / MS_PER_S)
        return result.Success(state.Changes((), len(self.entries)))


class _Reader:
    """A client that reads on until it has all results."""

    def __init__(self) -> None:
        self.began_s = time.monotonic()
        self.first_ms = 0.0

    async def read_all(self, service: lot_service.LotService) -> float:
        """Return the time until the last result, in milliseconds."""
        position, total = 0, 1
        while position < total:
            page = await service.read(ingress.ReadLot(LOT, position, 1_000))
            position, total = page.next_position, page.total
            self.first_ms = self.first_ms or self._elapsed_ms()
        return self._elapsed_ms()

    def _elapsed_ms(self) -> float:
        return (time.monotonic() - self.began_s) * MS_PER_S


async def _play(pages: int, count: int) -> dict[str, float]:
    store = _Store(pages)
    clock = state.MonotonicClock()
    service = lot_service.LotService(
        clock,
        clock,
        store,  # type: ignore[arg-type]  # only what readers call
        RETENTION_MS,
        lambda message: None,
    )
    readers = [_Reader() for _ in range(count)]
    last_ms = await asyncio.gather(*(r.read_all(service) for r in readers))
    held = service.cache.find(LOT)
    assert held is not None
    return {
        "pages": pages,
        "readers": count,
        "calls": store.calls,
        "first_result_ms": round(max(r.first_ms for r in readers), 1),
        "last_result_ms": round(max(last_ms), 1),
        "held_mb": round(held.held_bytes / 1e6, 1),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1_000,
    }


def run(seed: int, small: bool) -> dict[str, object]:
    """Read logs of several sizes; `seed` has no effect."""
    rows = []
    for pages, count in SMALL_SIZES if small else SIZES:
        rows.append(asyncio.run(_play(pages, count)))
        print(rows[-1], file=sys.stderr)
    return {"rows": rows}
