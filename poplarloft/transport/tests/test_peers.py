"""Messages of peers whose handling fails, and peers that flood."""

import asyncio

import pytest

from poplarloft import state
from poplarloft.transport import peers

FLOOD = 5_000


@pytest.fixture
async def pair():
    """A sender, and a receiver that collects what `on_message` gets."""
    received = []
    receiver = peers.PeerSockets(received.append)
    address = receiver.bind(state.Address("127.0.0.1", 0))
    sender = peers.PeerSockets(received.append)
    sender.send(address, b"connects")
    async with asyncio.timeout(10):
        while not receiver.receiver.poll(0):
            sender.send(address, b"connects")
            await asyncio.sleep(0.005)
    yield sender, receiver, address, received
    sender.close()
    receiver.close()


async def wait_for(predicate):
    async with asyncio.timeout(10):
        while not predicate():
            await asyncio.sleep(0.005)


async def test_error_in_a_handler_leaves_no_message_unread(pair):
    sender, receiver, address, received = pair
    failures = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: failures.append(context["exception"])
    )

    def fail_on_bad(data):
        received.append(data)
        if data == b"bad":
            raise ValueError("unexpected message")

    receiver.on_message = fail_on_bad
    sent = (b"bad", b"first", b"second")
    for data in sent:
        sender.send(address, data)
    await asyncio.sleep(0.2)
    receiver.start()
    await wait_for(lambda: b"second" in received)
    assert [data for data in received if data != b"connects"] == list(sent)
    assert [str(error) for error in failures] == ["unexpected message"]


async def test_flooding_peer_leaves_turns_to_other_tasks(pair):
    sender, receiver, address, received = pair
    largest = 0

    async def count_per_turn():
        nonlocal largest
        before = 0
        while True:
            largest = max(largest, len(received) - before)
            before = len(received)
            await asyncio.sleep(0)

    for _ in range(FLOOD):
        sender.send(address, b"flood")
    await asyncio.sleep(0.3)
    counting = asyncio.create_task(count_per_turn())
    await asyncio.sleep(0)
    receiver.start()
    queued = receiver.receiver.get_hwm()
    await wait_for(lambda: len(received) >= queued)
    counting.cancel()
    assert largest <= 2 * peers.MAX_MESSAGES_PER_TURN


async def test_bulk_messages_have_a_connection_of_their_own(pair):
    sender, receiver, address, received = pair
    receiver.start()
    async with asyncio.timeout(10):
        while b"bulk" not in received:
            sender.send(address, b"bulk", is_bulk=True)
            await asyncio.sleep(0.005)
    assert set(sender.senders) == {(address, False), (address, True)}
    sender.disconnect(address)
    assert sender.senders == {}
