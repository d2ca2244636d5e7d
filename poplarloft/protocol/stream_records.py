"""Keys and values of the store's entries on the streams of clients."""

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "STREAMS_PREFIX",
    "decode_streams",
    "encode_streams",
    "streams_key",
]

STREAMS_PREFIX = "streams/"

_STREAMS = msgspec.msgpack.Decoder(tuple[state.StreamRecord, ...])


def streams_key(at_ms: int, name: str = "", number: int = 0) -> str:
    """Return the key of a batch of streams that an instance has written.

    Keys sort by the Unix time in milliseconds at which they were written.
    Without a name, the key precedes all of that time.
    """
    prefix = f"{STREAMS_PREFIX}{max(0, at_ms):015d}/"
    return f"{prefix}{name}/{number}" if name else prefix


def encode_streams(records: tuple[state.StreamRecord, ...]) -> bytes:
    """Return the encoded value of a batch of streams."""
    return msgspec.msgpack.encode(records)


def decode_streams(value: bytes) -> tuple[state.StreamRecord, ...]:
    """Return a batch of streams; raises `FieldError` if malformed."""
    return errors.decoded("stream batch", lambda: _STREAMS.decode(value))
