"""Stored format of claim ledgers."""

import msgspec

from poplarloft import state

__all__ = ["decode_ledger", "encode_ledger", "ledger_key"]


class _LedgerRecord(msgspec.Struct, array_like=True, frozen=True):
    """A ledger with its claims in columns.

    The name of each claimant is stored once; `claimant_indexes` refers
    to the names by position.
    """

    window: int
    claimants: list[str]
    digests: list[bytes]
    attempts: list[int]
    claimant_indexes: list[int]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_LedgerRecord)


def ledger_key(ledger_id: state.LedgerId, ring_size: int) -> str:
    """Return the key of the document that stores a ledger.

    The documents of a shard form a ring: windows that are `ring_size`
    apart share a document.
    """
    position = ledger_id.window % ring_size
    return f"claims/{ledger_id.shard}/{position}"


def encode_ledger(ledger: state.Ledger) -> bytes:
    """Return the stored format of a ledger."""
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
    """Return the ledger in `data`.

    Empty data gives an empty ledger of window -1, so that every window
    is newer.

    Raises
    ------
    msgspec.MsgspecError
        If `data` is malformed.
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
