"""Encoding of messages between serving daemons, and of their records."""

import typing

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "decode_leader",
    "decode_member",
    "decode_message",
    "encode_leader",
    "encode_member",
    "encode_message",
]

# The place in this list is the number on the wire.
_KINDS: list[type[state.ServingMessage]] = [
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
]
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_DECODERS = [msgspec.msgpack.Decoder(kind) for kind in _KINDS]
_MEMBER = msgspec.msgpack.Decoder(state.PeerRecord)
_RUNNER = msgspec.msgpack.Decoder(state.LeaderRecord)
T = typing.TypeVar("T")


def encode_message(message: state.ServingMessage) -> bytes:
    """Return a message as bytes."""
    number = _KINDS.index(type(message))
    return msgspec.msgpack.encode((number, message))


def decode_message(data: bytes) -> state.ServingMessage:
    """Return a message; raises `FieldError`."""
    try:
        number, raw = _ENVELOPE.decode(data)
        return _DECODERS[number].decode(raw)
    except (msgspec.MsgspecError, IndexError) as error:
        raise errors.FieldError("serving message", str(error)) from error


def encode_leader(record: state.LeaderRecord) -> bytes:
    """Return the value of the runner's key."""
    return msgspec.msgpack.encode(record)


def decode_leader(value: bytes) -> state.LeaderRecord:
    """Return who runs the lots; raises `FieldError`."""
    return _decode(_RUNNER, value, "runner")


def encode_member(member: state.PeerRecord) -> bytes:
    """Return the value of a daemon's key."""
    return msgspec.msgpack.encode(member)


def decode_member(value: bytes) -> state.PeerRecord:
    """Return where a daemon is reached; raises `FieldError`."""
    return _decode(_MEMBER, value, "member")


def _decode(
    decoder: msgspec.msgpack.Decoder[T], value: bytes, field: str
) -> T:
    try:
        return decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.FieldError(field, str(error)) from error
