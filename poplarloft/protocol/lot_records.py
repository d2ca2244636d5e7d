"""Keys and values of the store's entries on lots."""

import re

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "BATCHES_PREFIX",
    "CHECKPOINTS_PREFIX",
    "CRASHES_PREFIX",
    "ENDED_PREFIX",
    "LEADER_KEY",
    "LOTS_PREFIX",
    "MEMBERS_PREFIX",
    "ORDER_LOCK_KEY",
    "batch_key",
    "batches_prefix",
    "check_lot_id",
    "checkpoint_key",
    "crash_key",
    "decode_batch",
    "decode_checkpoints",
    "decode_crashes",
    "decode_head",
    "decode_record",
    "encode_batch",
    "encode_checkpoints",
    "encode_crashes",
    "encode_head",
    "encode_record",
    "ended_key",
    "head_key",
    "lot_key",
    "member_key",
    "parse_batch_key",
    "parse_crash_key",
    "parse_ended_key",
    "parse_log_key",
    "parse_lot_key",
]

LOTS_PREFIX = "lots/"
BATCHES_PREFIX = "batches/"
# The keys say "runner" and "texts": they hold the leader's record and the
# output checkpoints.
LEADER_KEY = "cells/0/runner"
ORDER_LOCK_KEY = "cells/0/orders"
CHECKPOINTS_PREFIX = "texts/"
MEMBERS_PREFIX = "members/"
ENDED_PREFIX = "ended/"
CRASHES_PREFIX = "crashes/"
LOT_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
HEAD_NUMBER = 0

_RECORD = msgspec.msgpack.Decoder(state.LotRecord)
_BATCH = msgspec.msgpack.Decoder(tuple[state.LotResult, ...])
_CHECKPOINTS = msgspec.msgpack.Decoder(tuple[state.CheckpointIncrement, ...])
_CRASHES = msgspec.msgpack.Decoder(state.CrashNotice)
# Heads from before there were accounts hold the number of items alone.
_HEAD = msgspec.msgpack.Decoder(int | state.LotHead)


def check_lot_id(lot_id: str) -> str:
    """Return `lot_id` if it may be part of a key; raises `FieldError`."""
    if LOT_ID.fullmatch(lot_id) is None:
        raise errors.FieldError(
            "lot id",
            "expected 1 to 64 letters, digits, dots, hyphens or underscores, "
            f"got {lot_id[:80]!r}",
        )
    return lot_id


def lot_key(lot_id: str) -> str:
    """Return the key of a lot's record."""
    return f"{LOTS_PREFIX}{lot_id}"


def parse_lot_key(key: str) -> str:
    """Return the id of the lot whose record has this key."""
    return key.removeprefix(LOTS_PREFIX)


def ended_key(lot_id: str, ended_at_ms: int) -> str:
    """Return the key that marks a lot as ended.

    The Unix time of the end is zero-padded, so the keys sort by it.
    """
    return f"{ENDED_PREFIX}{ended_at_ms:015d}/{lot_id}"


def parse_ended_key(key: str) -> tuple[int, str]:
    """Return the Unix time at which a lot ended, and the lot's id."""
    time_digits, _, lot_id = key.removeprefix(ENDED_PREFIX).partition("/")
    return int(time_digits), lot_id


def checkpoint_key(fence: int, number: int) -> str:
    """Return the key of a batch of output checkpoints.

    The keys sort by the leader's fencing token, then by the number of the
    batch, both with leading zeros, and so in order of time.
    """
    return f"{CHECKPOINTS_PREFIX}{fence:015d}/{number:06d}"


def crash_key(at_ms: int, name: str, number: int) -> str:
    """Return the key of an instance's news of crashes.

    The keys sort by the Unix time at which they were written.
    """
    return f"{CRASHES_PREFIX}{at_ms:015d}/{name}/{number}"


def parse_crash_key(key: str) -> int:
    """Return the Unix time in milliseconds at which news were written.

    Raises
    ------
    FieldError
        If it is not a key of news.
    """
    digits = key.removeprefix(CRASHES_PREFIX).partition("/")[0]
    if not digits.isdecimal():
        raise errors.FieldError("crash key", f"no time in {key[:80]!r}")
    return int(digits)


def batches_prefix(lot_id: str) -> str:
    """Return the prefix of the keys of a lot's results."""
    return f"{BATCHES_PREFIX}{lot_id}/"


def batch_key(lot_id: str, number: int) -> str:
    """Return the key of a batch of results; batches count from 0.

    Key number 0 holds the number of items (see `head_key`), so batch n has
    key number n + 1.
    """
    return f"{batches_prefix(lot_id)}{number + 1:06d}"


def parse_log_key(key: str) -> int:
    """Return the number of an entry of a lot's log; 0 is its head.

    Raises
    ------
    FieldError
        If it is not a key of a log.
    """
    digits = key.rpartition("/")[2]
    if not digits.isdecimal():
        raise errors.FieldError("log key", f"no number in {key[:80]!r}")
    return int(digits)


def parse_batch_key(key: str) -> int:
    """Return the number of a batch of results; raises `FieldError`."""
    return parse_log_key(key) - 1


def head_key(lot_id: str) -> str:
    """Return the key of a lot's head.

    It sorts before the keys of all batches.
    """
    return f"{batches_prefix(lot_id)}{HEAD_NUMBER:06d}"


def member_key(name: str) -> str:
    """Return the key of the addresses at which peers reach a daemon."""
    return f"{MEMBERS_PREFIX}{name}"


def encode_record(record: state.LotRecord) -> bytes:
    """Return the encoded value of a lot's record."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes) -> state.LotRecord:
    """Return a lot's record; raises `FieldError` if malformed."""
    return errors.decoded("lot record", lambda: _RECORD.decode(value))


def encode_head(head: state.LotHead) -> bytes:
    """Return the encoded head of a lot."""
    return msgspec.msgpack.encode(head)


def decode_head(value: bytes) -> state.LotHead:
    """Return the head of a lot; raises `FieldError` if malformed."""
    head = errors.decoded("lot head", lambda: _HEAD.decode(value))
    return state.LotHead(head) if isinstance(head, int) else head


def encode_batch(results: tuple[state.LotResult, ...]) -> bytes:
    """Return the encoded value of a batch of results."""
    return msgspec.msgpack.encode(results)


def decode_batch(value: bytes) -> tuple[state.LotResult, ...]:
    """Return the results of a batch; raises `FieldError` if malformed."""
    return errors.decoded("lot batch", lambda: _BATCH.decode(value))


def encode_checkpoints(
    checkpoints: tuple[state.CheckpointIncrement, ...],
) -> bytes:
    """Return the encoded value of a batch of output checkpoints."""
    return msgspec.msgpack.encode(checkpoints)


def decode_checkpoints(value: bytes) -> tuple[state.CheckpointIncrement, ...]:
    """Return a batch of checkpoints; raises `FieldError` if malformed."""
    return errors.decoded(
        "checkpoint batch", lambda: _CHECKPOINTS.decode(value)
    )


def encode_crashes(notice: state.CrashNotice) -> bytes:
    """Return the encoded value of an instance's news of crashes."""
    return msgspec.msgpack.encode(notice)


def decode_crashes(value: bytes) -> state.CrashNotice:
    """Return news of crashes; raises `FieldError` if malformed."""
    return errors.decoded("crash notice", lambda: _CRASHES.decode(value))
