"""Stored form of claim ledgers."""

import msgspec

from poplarloft import state

__all__ = ["decode_ledger", "encode_ledger", "ledger_key"]


class _LedgerRecord(msgspec.Struct, array_like=True, frozen=True):
    """Claims as columns; claimants are named once."""

    window: int
    claimants: list[str]
    digests: list[bytes]
    attempts: list[int]
    claimant_indexes: list[int]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_LedgerRecord)


def ledger_key(ledger_id: state.LedgerId, ring_size: int) -> str:
    """Return the key of the document that holds a ledger."""
    place = ledger_id.window % ring_size
    return f"claims/{ledger_id.shard}/{place}"


def encode_ledger(ledger: state.Ledger) -> bytes:
    """Return the stored form of a ledger."""
    claimants = sorted({c.claimant for c in ledger.claims.values()})
    index = {name: position for position, name in enumerate(claimants)}
    record = _LedgerRecord(
        ledger.window,
        claimants,
        list(ledger.claims),
        [c.attempt for c in ledger.claims.values()],
        [index[c.claimant] for c in ledger.claims.values()],
    )
    return _ENCODER.encode(record)


def decode_ledger(data: bytes) -> state.Ledger:
    """Return the ledger in `data`; empty data is the oldest window.

    Raises
    ------
    msgspec.MsgspecError
        If `data` is not a stored ledger.
    """
    if not data:
        return state.Ledger(window=-1)
    record = _DECODER.decode(data)
    claims = {
        digest: state.Claim(attempt, record.claimants[index])
        for digest, attempt, index in zip(
            record.digests,
            record.attempts,
            record.claimant_indexes,
            strict=True,
        )
    }
    return state.Ledger(record.window, claims)
