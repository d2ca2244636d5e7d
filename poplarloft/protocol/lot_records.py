"""Keys and values under which lots are kept in the store."""

import re

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "BATCHES_PREFIX",
    "CHECKPOINTS_PREFIX",
    "ENDED_PREFIX",
    "LEADER_KEY",
    "LOTS_PREFIX",
    "MEMBERS_PREFIX",
    "batch_key",
    "batches_prefix",
    "check_lot_id",
    "checkpoint_key",
    "decode_batch",
    "decode_checkpoints",
    "decode_head",
    "decode_record",
    "encode_batch",
    "encode_checkpoints",
    "encode_head",
    "encode_record",
    "ended_key",
    "head_key",
    "lot_key",
    "member_key",
    "parse_ended_key",
    "parse_lot_key",
]

LOTS_PREFIX = "lots/"
BATCHES_PREFIX = "batches/"
LEADER_KEY = "cells/0/runner"
CHECKPOINTS_PREFIX = "texts/"
MEMBERS_PREFIX = "members/"
ENDED_PREFIX = "ended/"
LOT_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
HEAD_NUMBER = 0

_RECORD = msgspec.msgpack.Decoder(state.LotRecord)
_BATCH = msgspec.msgpack.Decoder(tuple[state.LotResult, ...])
_HELD = msgspec.msgpack.Decoder(tuple[state.OutputCheckpoint, ...])
_HEAD = msgspec.msgpack.Decoder(int)


def check_lot_id(lot_id: str) -> str:
    """Return `lot_id` if it may be part of a key; raises `FieldError`."""
    if LOT_ID.fullmatch(lot_id) is None:
        raise errors.FieldError(
            "lot id", f"expected letters and digits, got {lot_id[:80]!r}"
        )
    return lot_id


def lot_key(lot_id: str) -> str:
    """Return the key of a lot's record."""
    return f"{LOTS_PREFIX}{lot_id}"


def parse_lot_key(key: str) -> str:
    """Return the lot of a key."""
    return key.removeprefix(LOTS_PREFIX)


def ended_key(lot_id: str, ended_at_ms: int) -> str:
    """Return the key that tells when a lot was ended, in time's order."""
    return f"{ENDED_PREFIX}{ended_at_ms:015d}/{lot_id}"


def parse_ended_key(key: str) -> tuple[int, str]:
    """Return when a lot was ended, and the lot."""
    time_text, _, lot_id = key.removeprefix(ENDED_PREFIX).partition("/")
    return int(time_text), lot_id


def checkpoint_key(fence: int, number: int) -> str:
    """Return the key of a copy of texts; they sort in time's order."""
    return f"{CHECKPOINTS_PREFIX}{fence:015d}/{number:06d}"


def batches_prefix(lot_id: str) -> str:
    """Return the prefix of a lot's list of results."""
    return f"{BATCHES_PREFIX}{lot_id}/"


def batch_key(lot_id: str, number: int) -> str:
    """Return the key of a batch of results, numbered from 0."""
    return f"{batches_prefix(lot_id)}{number + 1:06d}"


def head_key(lot_id: str) -> str:
    """Return the key before all batches, with the number of items."""
    return f"{batches_prefix(lot_id)}{HEAD_NUMBER:06d}"


def member_key(name: str) -> str:
    """Return the key with a daemon's address for carried calls."""
    return f"{MEMBERS_PREFIX}{name}"


def encode_record(record: state.LotRecord) -> bytes:
    """Return the value of a lot's key."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes) -> state.LotRecord:
    """Return a lot's record; raises `FieldError`."""
    try:
        return _RECORD.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.FieldError("lot record", str(error)) from error


def encode_head(total: int) -> bytes:
    """Return the value of the head key."""
    return msgspec.msgpack.encode(total)


def decode_head(value: bytes) -> int:
    """Return the number of a lot's items; raises `FieldError`."""
    try:
        return _HEAD.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.FieldError("lot head", str(error)) from error


def encode_batch(results: tuple[state.LotResult, ...]) -> bytes:
    """Return the value of a batch's key."""
    return msgspec.msgpack.encode(results)


def decode_batch(value: bytes) -> tuple[state.LotResult, ...]:
    """Return the results of a batch; raises `FieldError`."""
    try:
        return _BATCH.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.FieldError("lot batch", str(error)) from error


def encode_checkpoints(pieces: tuple[state.OutputCheckpoint, ...]) -> bytes:
    """Return the value of a copy of texts."""
    return msgspec.msgpack.encode(pieces)


def decode_checkpoints(value: bytes) -> tuple[state.OutputCheckpoint, ...]:
    """Return the pieces of a copy of texts; raises `FieldError`."""
    try:
        return _HELD.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.FieldError("copy of texts", str(error)) from error
