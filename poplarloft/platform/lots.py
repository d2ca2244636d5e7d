"""Format of lots that trainers submit, and of the results they read."""

import base64
import binascii
from collections import abc

import h11
import msgspec

from poplarloft.platform import names
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft.protocol import numbers
from poplarloft import state

__all__ = ["decode_lot", "encode_results"]

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


def decode_lot(
    lot_id: str,
    host: str,
    path: str,
    body: bytes,
    caller: state.Caller | None = None,
) -> state.Lot:
    """Return the lot in the body of a request of `caller`.

    Raises
    ------
    FieldError
        If a field is missing or has an invalid value.
    """
    document = errors.decoded(
        "lot", lambda: msgspec.json.decode(body, type=_Lot)
    )
    if not document.items:
        raise errors.FieldError("items", "expected at least one item")
    items = tuple(_item(host, row) for row in document.items)
    if len({item.id for item in items}) < len(items):
        raise errors.FieldError("items", "two items have the same id")
    return state.Lot(
        lot_id,
        host,
        path,
        document.model,
        document.step,
        document.min_version,
        document.group_count,
        items,
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
