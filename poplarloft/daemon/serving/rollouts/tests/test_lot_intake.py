"""Lots that are taken in one after the other, or not at all."""

import asyncio

from poplarloft.daemon.serving.rollouts import lot_intake
from poplarloft.platform import lots
from poplarloft import state
from tests import serving_fleet


class SlowService:
    """Stores lots when told to; knows how many it is storing."""

    def __init__(self):
        self.storing = 0
        self.may_store = asyncio.Event()

    async def accept(self, lot):
        self.storing += 1
        await self.may_store.wait()
        self.storing -= 1


def source(number):
    body = serving_fleet.lot_body(40)
    return lots.LotSource(f"lot-{number}", "h", "/l/x", body)


async def test_lots_wait_for_the_memory_of_those_before(monkeypatch):
    monkeypatch.setattr(lot_intake, "MAX_WAIT_S", 0.2)
    service = SlowService()
    size = lots.decoding_bytes(source(0).body)
    intake = lot_intake.LotIntake(service, 2 * size, lambda: False)
    tasks = [asyncio.create_task(intake.accept(source(n))) for n in range(4)]
    late = tasks.pop()
    await late
    assert late.result().reason is state.Reason.OVERLOADED
    assert late.result().verdict is state.Verdict.NOT_RUN
    assert late.result().retry_after_ms > 0
    assert service.storing == 2
    service.may_store.set()
    assert (await asyncio.gather(*tasks)).count(None) >= 2
    assert intake.quota.taken_bytes == 0


async def test_no_lot_is_accepted_while_too_many_wait():
    intake = lot_intake.LotIntake(SlowService(), 1, lambda: True)
    refusal = await intake.accept(source(0))
    assert refusal.verdict is state.Verdict.NOT_RUN
    assert refusal.retry_after_ms == lot_intake.FULL_RETRY_MS
