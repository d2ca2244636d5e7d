"""Format of lots that trainers submit, and of the results they read."""

import base64
import binascii
from collections import abc
import dataclasses
import itertools

import h11
import msgspec

from poplarloft.platform import names
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.protocol import numbers
from poplarloft import state

__all__ = [
    "LotDecoder",
    "LotSource",
    "decoding_bytes",
    "encode_results",
]

BODY_COPIES = 8  # decoded, as a record, and as the call to the store
OBJECT_BYTES = 700

STATES = {
    state.ItemState.COMPLETED: "completed",
    state.ItemState.FAILED: "down",
}


class _Scorer(msgspec.Struct):
    """Request that scores an item once its output is complete."""

    id: str
    host: str
    path: str
    body: str = ""  # Base64


class _Item(msgspec.Struct):
    id: str
    path: str
    tokens: int  # prompt tokens and maximum output tokens together
    headers: dict[str, str] = {}
    body: str = ""  # Base64
    group: str = ""
    scorer: _Scorer | None = None


class _Lot(msgspec.Struct):
    items: list[_Item]
    model: str = ""
    step: int = 0
    min_version: int = 0  # lowest weight version that may generate a token
    group_count: int = (
        0  # number of complete groups that the trainer waits for
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LotSource:
    """The request of a caller that hands a lot in."""

    lot_id: str
    host: str
    path: str
    body: bytes
    caller: state.Caller | None = None


def decoding_bytes(body: bytes) -> int:
    """Return how much memory it takes at most to decode and store a lot.

    Each object in the document begins with a brace, and none without.
    """
    return BODY_COPIES * len(body) + OBJECT_BYTES * body.count(b"{")


class LotDecoder:
    """Decodes a lot step by step, as each item takes some time.

    Parameters
    ----------
    source : LotSource
        The request.

    Raises
    ------
    FieldError
        If a field is missing or has an invalid value.
    """

    def __init__(self, source: LotSource) -> None:
        self.source = source
        self.document = errors.decoded(
            "lot", lambda: msgspec.json.decode(source.body, type=_Lot)
        )
        if not self.document.items:
            raise errors.FieldError("items", "expected at least one item")
        self.rows = iter(self.document.items)
        self.items: list[state.LotItem] = []

    def decode_items(self, count: int) -> bool:
        """Decode up to `count` more items; return whether any is left.

        Raises
        ------
        FieldError
            If an item has an invalid value.
        """
        rows = itertools.islice(self.rows, count)
        self.items += [_item(self.source.host, row) for row in rows]
        return len(self.items) < len(self.document.items)

    def lot(self) -> state.Lot:
        """Return the lot, all items of which have been decoded.

        Raises
        ------
        FieldError
            If two items have the same identifier.
        """
        if len({item.id for item in self.items}) < len(self.items):
            raise errors.FieldError("items", "two items have the same id")
        caller = self.source.caller
        return state.Lot(
            self.source.lot_id,
            self.source.host,
            self.source.path,
            self.document.model,
            self.document.step,
            self.document.min_version,
            self.document.group_count,
            tuple(self.items),
            "" if caller is None else caller.account,
        )


def encode_results(page: state.ResultPage) -> bytes:
    """Return the body of a response with results."""
    rows = []
    for listed in page.results:
        row: dict[str, object] = {
            "id": listed.item_id,
            "state": STATES[listed.state],
            "text": listed.text,
            "versions": listed.versions,
        }
        if listed.score:
            row["score"] = listed.score
        rows.append(row)
    return msgspec.json.encode(
        {"total": page.total, "next": page.next_position, "results": rows}
    )


def _item(host: str, row: _Item) -> state.LotItem:
    body = _bytes("items.body", row.body)
    _check_request("items", host, row.path, row.id, row.headers, body)
    headers = {name.lower(): value for name, value in row.headers.items()}
    counts = headers.get(names.TOKEN_COUNTS, "").partition(",")
    hint = headers.get(names.LENGTH_HINT, "")
    return state.LotItem(
        row.id,
        row.path,
        tuple(row.headers.items()),
        body,
        row.tokens,
        row.group,
        numbers.parse_count(counts[0]) or 0,
        numbers.parse_count(hint),
        _reward(row.scorer),
        _shared_parts(headers.get(names.PROMPT_PARTS, "")),
    )


def _shared_parts(text: str) -> tuple[state.PromptPart, ...]:
    """Return all parts of a prompt but the last; none if unreadable."""
    parts = []
    for row in text.split(",")[:-1]:
        part_id, _, digits = row.strip().partition(":")
        tokens = numbers.parse_count(digits)
        if not part_id or tokens is None:
            return ()
        parts.append(state.PromptPart(part_id, tokens))
    return tuple(parts)


def _reward(row: _Scorer | None) -> state.RewardCall | None:
    if row is None:
        return None
    body = _bytes("scorer.body", row.body)
    _check_request("scorer", row.host, row.path, row.id, {}, body)
    return state.RewardCall(row.id, row.host, row.path, body)


def _check_request(
    field: str,
    host: str,
    path: str,
    request_id: str,
    headers: abc.Mapping[str, str],
    body: bytes,
) -> None:
    """Raise `FieldError` unless a request with these parts can be sent."""
    rows = [
        ("host", host),
        (names.REQUEST_ID, request_id),
        ("content-length", str(len(body))),
        *headers.items(),
    ]
    try:
        h11.Request(
            method="POST", target=path, headers=http.encode_headers(rows)
        )
    except (h11.LocalProtocolError, ValueError) as error:
        raise errors.FieldError(
            field, f"not a valid request: {error}"
        ) from error


def _bytes(field: str, text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise errors.FieldError(field, f"not base64: {error}") from error
