"""Encoding of news of the store between daemons, and of their addresses."""

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "decode_feed",
    "decode_member",
    "encode_feed",
    "encode_member",
]

_REQUEST = 0
_ANSWER = 1
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_DECODERS: dict[int, msgspec.msgpack.Decoder[state.FeedMessage]] = {
    _REQUEST: msgspec.msgpack.Decoder(state.FeedRequest),
    _ANSWER: msgspec.msgpack.Decoder(state.FeedAnswer),
}
_MEMBER = msgspec.msgpack.Decoder(state.PeerRecord)


def encode_feed(message: state.FeedMessage) -> bytes:
    """Return a message as bytes."""
    kind = _ANSWER if isinstance(message, state.FeedAnswer) else _REQUEST
    return msgspec.msgpack.encode((kind, message))


def decode_feed(data: bytes) -> state.FeedMessage:
    """Return a message; raises `FieldError`."""
    try:
        kind, raw = _ENVELOPE.decode(data)
        return _DECODERS[kind].decode(raw)
    except (msgspec.MsgspecError, KeyError) as error:
        raise errors.FieldError("feed message", str(error)) from error


def encode_member(member: state.PeerRecord) -> bytes:
    """Return the value of a daemon's key."""
    return msgspec.msgpack.encode(member)


def decode_member(value: bytes) -> state.PeerRecord:
    """Return where a daemon is reached; raises `FieldError`."""
    try:
        return _MEMBER.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.FieldError("member", str(error)) from error
