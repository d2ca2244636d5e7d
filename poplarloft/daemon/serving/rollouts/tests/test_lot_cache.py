"""Lots that are dropped from memory, by age, by size and when unknown."""

from returns import result

from poplarloft.daemon.serving.rollouts import lot_cache
from poplarloft.daemon.serving.rollouts import lot_service
from poplarloft.platform import ingress
from poplarloft import state

RETENTION_MS = 1_000
LOT_BYTES = lot_cache.LOT_OVERHEAD_BYTES


def test_lots_not_used_for_longest_make_room():
    clock = state.ManualClock()
    cache = lot_cache.LotCache(clock, RETENTION_MS, 3 * LOT_BYTES)
    for lot_id in "abca":
        cache.use(lot_id)
    cache.use("d")
    assert list(cache.lots) == ["c", "a", "d"]
    cache.use("d").held_bytes = 5 * LOT_BYTES  # the one in use stays
    cache.use("d")
    assert list(cache.lots) == ["d"]
    clock.advance(RETENTION_MS + 1)
    cache.use("e")
    assert list(cache.lots) == ["e"]


class StoreDown:
    """A store that answers nothing."""

    async def list_page(self, prefix, after_key="", allow_stale=False):
        failure = state.StoreFailure(state.StoreFailureKind.NO_ANSWER, "down")
        return result.Failure(failure)


async def test_nothing_is_kept_of_names_that_clients_choose():
    clock = state.ManualClock()
    service = lot_service.LotService(
        clock, clock, StoreDown(), RETENTION_MS, lambda message: None
    )
    for number in range(100):
        page = await service.read(ingress.ReadLot(f"lot-{number}", 0, 0))
        assert page.refusal is not None
    assert not service.cache.lots
