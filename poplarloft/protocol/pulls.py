"""Messages between trainers and daemons."""

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "PullAnswer",
    "PullRequest",
    "decode_pull_answer",
    "decode_pull_request",
    "encode_pull_answer",
    "encode_pull_request",
]

MAX_RANGES = 100_000


class PullRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A trainer's pull; `held` maps groups to ranges of indexes.

    `insist` asks for samples even if another instance coordinates.
    """

    trainer: str
    step: int
    weight_version: int
    held: dict[int, list[tuple[int, int]]] = {}
    insist: bool = False


class SampleRecord(msgspec.Struct, array_like=True):
    """One sample on the wire."""

    group: int
    index: int
    tokens: list[int]
    spans: list[tuple[int, int, int]]
    score: float
    produced_by: str


class PullAnswer(msgspec.Struct, kw_only=True):
    """The samples offered for a pull."""

    lot: str
    step: int
    samples: list[SampleRecord]


_REQUEST = msgspec.json.Decoder(PullRequest)
_ANSWER = msgspec.json.Decoder(PullAnswer)


def encode_pull_request(
    holdings: state.Holdings, insist: bool = False
) -> bytes:
    """Return the wire form of a pull."""
    request = PullRequest(
        trainer=holdings.trainer,
        step=holdings.step,
        weight_version=holdings.weight_version,
        held=_to_ranges(holdings.held),
        insist=insist,
    )
    return msgspec.json.encode(request)


def decode_pull_request(data: bytes) -> tuple[state.Holdings, bool]:
    """Return the holdings that a pull names, and whether it insists.

    Raises
    ------
    FieldError
        If a field has a value that is not allowed.
    """
    try:
        request = _REQUEST.decode(data)
    except msgspec.MsgspecError as error:
        raise errors.FieldError("pull", str(error)) from None
    for field in ("step", "weight_version"):
        value = getattr(request, field)
        if value < 0:
            raise errors.FieldError(field, f"expected >= 0, got {value}")
    held = frozenset(_from_ranges(request.held))
    holdings = state.Holdings(
        request.trainer, request.step, request.weight_version, held
    )
    return holdings, request.insist


def encode_pull_answer(
    lot: str, step: int, samples: tuple[state.Sample, ...]
) -> bytes:
    """Return the wire form of an offer."""
    records = [
        SampleRecord(
            s.slot.group,
            s.slot.index,
            list(s.tokens),
            [(p.weight_version, p.first_token, p.last_token) for p in s.spans],
            s.score,
            s.produced_by,
        )
        for s in samples
    ]
    return msgspec.json.encode(PullAnswer(lot=lot, step=step, samples=records))


def decode_pull_answer(data: bytes) -> tuple[state.Sample, ...]:
    """Return the samples of an offer; raises `msgspec.MsgspecError`."""
    answer = _ANSWER.decode(data)
    return tuple(
        state.Sample(
            state.Slot(answer.lot, answer.step, r.group, r.index),
            tuple(r.tokens),
            tuple(state.Span(*span) for span in r.spans),
            r.score,
            r.produced_by,
        )
        for r in answer.samples
    )


def _to_ranges(
    held: frozenset[tuple[int, int]],
) -> dict[int, list[tuple[int, int]]]:
    ranges: dict[int, list[tuple[int, int]]] = {}
    for group, index in sorted(held):
        row = ranges.setdefault(group, [])
        if row and row[-1][1] == index - 1:
            row[-1] = (row[-1][0], index)
        else:
            row.append((index, index))
    return ranges


def _from_ranges(
    ranges: dict[int, list[tuple[int, int]]],
) -> set[tuple[int, int]]:
    held: set[tuple[int, int]] = set()
    for group, row in ranges.items():
        for first, last in row:
            if not 0 <= first <= last < first + MAX_RANGES:
                raise errors.FieldError(
                    f"held.{group}",
                    f"expected a range of indexes, got {(first, last)}",
                )
            held.update((group, i) for i in range(first, last + 1))
    return held
