"""Encoding of messages between serving daemons and of their records."""

import typing

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "decode_leader",
    "decode_member",
    "decode_message",
    "decode_order_holder",
    "encode_leader",
    "encode_member",
    "encode_message",
    "encode_order_holder",
]

# A message is encoded with the index of its type in this list, so the
# order must not change.
_MESSAGE_TYPES: list[type[state.ServingMessage]] = [
    state.Subscribe,
    state.Heartbeat,
    state.CheckpointBatch,
    state.FeedRequest,
    state.FeedAnswer,
    state.LeaderAnnouncement,
    state.LotAccepted,
    state.LotEnded,
    state.Ping,
    state.Pong,
    state.LimitNotice,
    state.PermitRequest,
    state.PermitAnswer,
    state.CrashNotice,
    state.StreamNotice,
    state.StreamLookup,
    state.StreamAnswer,
    state.LeavingNotice,
    state.StreamReceipt,
    state.StreamRecall,
    state.UsageNotice,
    state.UsageReceipt,
]
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_DECODERS = [
    msgspec.msgpack.Decoder(message_type) for message_type in _MESSAGE_TYPES
]
_MEMBER = msgspec.msgpack.Decoder(state.PeerRecord)
_LEADER = msgspec.msgpack.Decoder(state.LeaderRecord)
_ORDER_HOLDER = msgspec.msgpack.Decoder(state.OrderHolder)
T = typing.TypeVar("T")


def encode_message(message: state.ServingMessage) -> bytes:
    """Return the encoded form of a message."""
    type_index = _MESSAGE_TYPES.index(type(message))
    return msgspec.msgpack.encode((type_index, message))


def decode_message(data: bytes) -> state.ServingMessage:
    """Return a message; raises `FieldError` if malformed."""
    return errors.decoded("serving message", lambda: _decode_message(data))


def _decode_message(data: bytes) -> state.ServingMessage:
    type_index, raw = _ENVELOPE.decode(data)
    return _DECODERS[type_index].decode(raw)


def encode_leader(record: state.LeaderRecord) -> bytes:
    """Return the encoded value of the leader's key."""
    return msgspec.msgpack.encode(record)


def decode_leader(value: bytes) -> state.LeaderRecord:
    """Return the leader of a cell; raises `FieldError` if malformed."""
    return _decode(_LEADER, value, "leader")


def encode_order_holder(holder: state.OrderHolder) -> bytes:
    """Return the encoded value of the order lock's key."""
    return msgspec.msgpack.encode(holder)


def decode_order_holder(value: bytes) -> state.OrderHolder:
    """Return the order lock's holder; raises `FieldError` if malformed."""
    return _decode(_ORDER_HOLDER, value, "order holder")


def encode_member(member: state.PeerRecord) -> bytes:
    """Return the encoded value of a daemon's member key."""
    return msgspec.msgpack.encode(member)


def decode_member(value: bytes) -> state.PeerRecord:
    """Return a daemon's addresses; raises `FieldError` if malformed."""
    return _decode(_MEMBER, value, "member")


def _decode(
    decoder: msgspec.msgpack.Decoder[T], value: bytes, field: str
) -> T:
    return errors.decoded(field, lambda: decoder.decode(value))
