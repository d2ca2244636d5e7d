"""Encoding of messages between a runner of lots and its standbys."""

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "decode_runner",
    "decode_standby",
    "encode_runner",
    "encode_standby",
]

_SUBSCRIBE = 0
_BEAT = 1
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_DECODERS: dict[int, msgspec.msgpack.Decoder[state.StandbyMessage]] = {
    _SUBSCRIBE: msgspec.msgpack.Decoder(state.Subscribe),
    _BEAT: msgspec.msgpack.Decoder(state.Beat),
}
_RUNNER = msgspec.msgpack.Decoder(state.RunnerRecord)


def encode_standby(message: state.StandbyMessage) -> bytes:
    """Return a message as bytes."""
    kind = _BEAT if isinstance(message, state.Beat) else _SUBSCRIBE
    return msgspec.msgpack.encode((kind, message))


def decode_standby(data: bytes) -> state.StandbyMessage:
    """Return a message; raises `FieldError`."""
    try:
        kind, raw = _ENVELOPE.decode(data)
        return _DECODERS[kind].decode(raw)
    except (msgspec.MsgspecError, KeyError) as error:
        raise errors.FieldError("standby message", str(error)) from error


def encode_runner(record: state.RunnerRecord) -> bytes:
    """Return the value of the runner's key."""
    return msgspec.msgpack.encode(record)


def decode_runner(value: bytes) -> state.RunnerRecord:
    """Return who runs the lots; raises `FieldError`."""
    try:
        return _RUNNER.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.FieldError("runner", str(error)) from error
