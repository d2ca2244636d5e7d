"""Stored format of snapshots: a SHA-256 checksum and the content."""

import hashlib

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = ["Snapshot", "decode_snapshot", "encode_snapshot"]

DIGEST_BYTES = 32


class Snapshot(msgspec.Struct, kw_only=True):
    """State that an instance with a disk restores after a restart.

    Parameters
    ----------
    head : bytes
        The head document of the configuration, in its stored format.
    quarantines : list of state.QuarantineUpdate
        The fingerprints in quarantine.
    usage : list of state.UsageTotal
        The totals that a usage ledger did not contain yet.
    """

    head: bytes = b""
    quarantines: list[state.QuarantineUpdate] = []
    usage: list[state.UsageTotal] = []


_DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the stored format of a snapshot."""
    content = msgspec.msgpack.encode(snapshot)
    return hashlib.sha256(content).digest() + content


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot in `data`.

    Raises
    ------
    ProtocolError
        If `data` is truncated, altered or malformed.
    """
    digest, content = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if hashlib.sha256(content).digest() != digest:
        raise errors.ProtocolError("snapshot does not match its checksum")
    try:
        return _DECODER.decode(content)
    except msgspec.MsgspecError as error:
        raise errors.ProtocolError(str(error)) from None
