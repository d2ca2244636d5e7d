"""Malformed messages and records raise one error type, whatever is wrong."""

import contextlib

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft.protocol import serving_messages
from poplarloft import state

ADDRESS = state.Address("127.0.0.1", 9000)
ITEM = state.LotItem("i", "/g", (("x", "y"),), b"prompt", 500, "group")
LOT = state.Lot("lot", "host", "/l/", "m", 0, 2, 1, (ITEM,))
MESSAGES = [
    state.Subscribe("a", ADDRESS, "r"),
    state.Heartbeat(7, "b"),
    state.CheckpointBatch(
        7,
        True,
        (state.CheckpointIncrement("i", 1, ("a",), (1,), False, ""),),
        (ADDRESS,),
    ),
    state.FeedRequest("a", ADDRESS, 5, {"lots/": 3}),
    state.FeedAnswer("a", 5, (state.FeedPart("lots/", 3, 10),)),
    state.LeaderAnnouncement(7, ADDRESS),
    state.LotAccepted(state.LotRecord(LOT, 5), 12),
    state.LotEnded("lot"),
    state.Ping(ADDRESS),
    state.Pong("a", True),
]
RECORDS = [
    (
        serving_messages.decode_leader,
        serving_messages.encode_leader(state.LeaderRecord("a", 1, ADDRESS)),
    ),
    (
        serving_messages.decode_member,
        serving_messages.encode_member(state.PeerRecord(ADDRESS, ADDRESS)),
    ),
    (
        serving_messages.decode_order_holder,
        serving_messages.encode_order_holder(state.OrderHolder("a", 3)),
    ),
    (
        lot_records.decode_record,
        lot_records.encode_record(state.LotRecord(LOT, 5)),
    ),
    (
        lot_records.decode_batch,
        lot_records.encode_batch(
            (state.LotResult("i", state.ItemState.COMPLETED, "text"),)
        ),
    ),
    (lot_records.decode_head, lot_records.encode_head(12)),
    (
        lot_records.decode_checkpoints,
        lot_records.encode_checkpoints(
            (state.CheckpointIncrement("i", 1, ("a",), (1,), False, ""),)
        ),
    ),
]
CODECS = [
    *RECORDS,
    *(
        (serving_messages.decode_message, serving_messages.encode_message(m))
        for m in MESSAGES
    ),
]
DAMAGE = st.lists(
    st.tuples(st.integers(0, 400), st.integers(0, 255)), max_size=4
)
SHAPES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**62), 2**62) | st.text(),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=8,
)


def damaged(encoded, damage, length):
    """Return a message with some bytes replaced, and cut to a length."""
    data = bytearray(encoded)
    for position, value in damage:
        data[position % len(data)] = value
    return bytes(data[: length % (len(data) + 1)])


@pytest.mark.parametrize("decode, encoded", CODECS)
def test_intact_messages_decode(decode, encoded):
    decode(encoded)


@pytest.mark.parametrize("decode, encoded", CODECS)
@given(damage=DAMAGE, length=st.integers(0, 1_000))
def test_damaged_messages_raise_a_field_error(decode, encoded, damage, length):
    with contextlib.suppress(errors.FieldError):
        decode(damaged(encoded, damage, length))


@pytest.mark.parametrize(
    "decode", list(dict.fromkeys(decode for decode, _ in CODECS))
)
@given(shape=SHAPES, noise=st.binary(max_size=40))
def test_other_shapes_raise_a_field_error(decode, shape, noise):
    for data in (msgspec.msgpack.encode(shape), noise):
        with contextlib.suppress(errors.FieldError):
            decode(data)
