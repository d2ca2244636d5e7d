"""Slots that are given out while those who wait give up."""

import asyncio
import random

from poplarloft.transport import connection_slots

SLOTS = 3
TASKS = 60


async def test_no_slot_is_lost_however_those_who_wait_give_up():
    # Guards against a slot that is granted in the turn of the cancellation.
    rng = random.Random(48)
    slots = connection_slots.ConnectionSlots(SLOTS)
    most = 0

    async def use():
        nonlocal most
        slot = await slots.take()
        most = max(most, slots.taken)
        try:
            for _ in range(rng.randrange(4)):
                await asyncio.sleep(0)
        finally:
            slot.release()
            slot.release()

    for _ in range(20):
        tasks = [asyncio.create_task(use()) for _ in range(TASKS)]
        for task in rng.sample(tasks, TASKS // 2):
            await asyncio.sleep(0)
            task.cancel()
        await asyncio.wait(tasks)
        assert slots.taken == 0
        assert not slots.is_awaited
    assert most == SLOTS


async def test_those_who_ask_to_be_first_come_before_others():
    slots = connection_slots.ConnectionSlots(1)
    order = []

    async def use(name, is_first):
        slot = await slots.take(is_first)
        order.append(name)
        slot.release()

    held = await slots.take()
    asked = [("a", False), ("b", True), ("c", False), ("d", True)]
    tasks = [asyncio.create_task(use(*row)) for row in asked]
    await asyncio.sleep(0)
    held.release()
    await asyncio.gather(*tasks)
    assert order == ["b", "d", "a", "c"]


async def test_slots_beyond_the_bound_are_handed_on_to_nobody():
    slots = connection_slots.ConnectionSlots(1)
    held = await slots.take()
    extra = slots.take_extra()
    waiting = asyncio.create_task(slots.take())
    await asyncio.sleep(0)
    extra.release()
    await asyncio.sleep(0)
    assert not waiting.done()
    held.release()
    (await waiting).release()
    assert slots.taken == 0
