"""Keys and values of the store's entries on metering."""

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = ["METERING_PREFIX", "decode_meter", "encode_meter", "meter_key"]

METERING_PREFIX = "metering/"
_RECORD = msgspec.msgpack.Decoder(state.MeterRecord)


def meter_key(window: int) -> str:
    """Return the key of the counts of a window; the keys sort by time."""
    return f"{METERING_PREFIX}{window:015d}"


def encode_meter(record: state.MeterRecord) -> bytes:
    """Return the encoded counts of a window."""
    return msgspec.msgpack.encode(record)


def decode_meter(value: bytes) -> state.MeterRecord:
    """Return the counts of a window; raises `FieldError` if malformed."""
    return errors.decoded("meter record", lambda: _RECORD.decode(value))
