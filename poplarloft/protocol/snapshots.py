"""Stored form of snapshots: a checksum, then the content."""

import hashlib

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = ["Snapshot", "decode_snapshot", "encode_snapshot"]

DIGEST_BYTES = 32


class Snapshot(msgspec.Struct, kw_only=True):
    """What an instance with a disk keeps across restarts.

    `head` is the stored form of the configuration.
    """

    head: bytes = b""
    quarantines: list[state.QuarantineUpdate] = []
    usage: list[state.UsageTotal] = []


_DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the stored form."""
    content = msgspec.msgpack.encode(snapshot)
    return hashlib.sha256(content).digest() + content


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot in `data`.

    Raises
    ------
    ProtocolError
        If it is torn or altered.
    """
    digest, content = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if hashlib.sha256(content).digest() != digest:
        raise errors.ProtocolError("snapshot does not match its checksum")
    try:
        return _DECODER.decode(content)
    except msgspec.MsgspecError as error:
        raise errors.ProtocolError(str(error)) from None
