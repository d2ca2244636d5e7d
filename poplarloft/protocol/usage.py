"""Stored form of usage ledgers: canonical JSON, chained by digests."""

from collections import abc
import csv
import dataclasses
import hashlib
import io

import msgspec

from poplarloft.protocol import documents
from poplarloft import state

__all__ = [
    "ENTRIES_PER_SEGMENT",
    "LedgerIntegrityError",
    "append_entry",
    "decode_disputes",
    "decode_segment",
    "disputes_key",
    "encode_disputes",
    "encode_segment",
    "export_csv",
    "find_integrity_error",
    "segment_key",
]

ENTRIES_PER_SEGMENT = 200


class LedgerIntegrityError(ValueError):
    """An entry that was altered, removed or reordered."""

    def __init__(self, sequence: int, reason: str) -> None:
        super().__init__(f"entry {sequence}: {reason}")
        self.sequence = sequence


_DISPUTES = msgspec.json.Decoder(tuple[state.UsageDispute, ...])
_SEGMENT = msgspec.json.Decoder(state.UsageSegment)


def segment_key(data_centre: str, number: int) -> str:
    """Return the key of a ledger's segment."""
    return f"usage/{data_centre}/{number}"


def disputes_key(data_centre: str) -> str:
    """Return the key of the disputes of a ledger."""
    return f"usage/{data_centre}/disputes"


def decode_disputes(data: bytes) -> tuple[state.UsageDispute, ...]:
    """Return stored disputes; raises `msgspec.MsgspecError`."""
    return _DISPUTES.decode(data) if data else ()


def encode_disputes(disputes: tuple[state.UsageDispute, ...]) -> bytes:
    """Return the stored form of disputes."""
    return msgspec.json.encode(disputes)


def append_entry(
    segment: state.UsageSegment, entry: state.UsageEntry
) -> state.UsageSegment:
    """Return `segment` with `entry`, sealed by its digest, at the end."""
    sealed = dataclasses.replace(entry, digest=_digest(entry))
    return state.UsageSegment((*segment.entries, sealed))


def encode_segment(segment: state.UsageSegment) -> bytes:
    """Return the stored form of a segment."""
    return msgspec.json.encode(segment)


def decode_segment(data: bytes) -> state.UsageSegment:
    """Return the segment in `data`; empty data is an empty segment.

    Raises
    ------
    msgspec.MsgspecError
        If `data` is not a stored segment.
    """
    return _SEGMENT.decode(data) if data else state.UsageSegment()


def find_integrity_error(
    entries: abc.Iterable[state.UsageEntry],
) -> LedgerIntegrityError | None:
    """Return the first break of the chain, or None.

    Checks positions, the link to the entry before, the digest, and that
    no total of an incarnation falls.
    """
    previous = ""
    totals: dict[tuple[str, str, str, str], int] = {}
    for position, entry in enumerate(entries):
        if entry.sequence != position:
            return LedgerIntegrityError(
                position, f"has sequence {entry.sequence}"
            )
        if entry.previous != previous:
            return LedgerIntegrityError(
                position, "does not follow the entry before"
            )
        if entry.digest != _digest(entry):
            return LedgerIntegrityError(position, "does not match its digest")
        for row in entry.totals:
            key = (row.incarnation, row.owner, row.kind, row.purpose)
            if row.busy_ms < totals.get(key, 0):
                return LedgerIntegrityError(position, f"total of {key} falls")
            totals[key] = row.busy_ms
        previous = entry.digest
    return None


def export_csv(entries: abc.Iterable[state.UsageEntry]) -> str:
    """Return the entries as CSV, a line per total."""
    stream = io.StringIO()
    writer = csv.writer(stream, lineterminator="\n")
    writer.writerow(
        [
            "sequence",
            "at_ms",
            "writer",
            "incarnation",
            "owner",
            "kind",
            "purpose",
            "busy_ms",
        ]
    )
    for entry in entries:
        for row in entry.totals:
            writer.writerow(
                [
                    entry.sequence,
                    entry.at_ms,
                    entry.writer,
                    row.incarnation,
                    row.owner,
                    row.kind,
                    row.purpose,
                    row.busy_ms,
                ]
            )
    return stream.getvalue()


def _digest(entry: state.UsageEntry) -> str:
    plain = msgspec.to_builtins(dataclasses.replace(entry, digest=""))
    canonical = documents.canonical_bytes(plain)
    return hashlib.sha256(canonical).hexdigest()
