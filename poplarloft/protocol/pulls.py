"""Messages by which trainers pull samples from daemons.

A pull reports the samples that the trainer already has, as ranges of
indexes per group.
"""

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

# A range is encoded in a few bytes but expands to one entry per index; this
# limits the memory that the expansion uses.
MAX_RANGE_LENGTH = 100_000


class PullRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A trainer's request for samples.

    Parameters
    ----------
    trainer : str
        The trainer's name and incarnation.
    step : int
        The step whose samples it is collecting.
    weight_version : int
        The last weight version that it has published.
    held : dict of int to list of tuple of int
        The samples that it already has: for each group, inclusive ranges
        of indexes.
    insist : bool
        Whether to offer samples even if another instance holds the lot's
        lease.
    """

    trainer: str
    step: int
    weight_version: int
    held: dict[int, list[tuple[int, int]]] = {}
    insist: bool = False


class SampleRecord(msgspec.Struct, array_like=True):
    """A sample of a response, encoded as an array.

    Each of `spans` holds a weight version and the positions of the first
    and the last token that it generated. `produced_by` names the engine
    and its incarnation.
    """

    group: int
    index: int
    tokens: list[int]
    spans: list[tuple[int, int, int]]
    score: float
    produced_by: str


class PullAnswer(msgspec.Struct, kw_only=True):
    """The response to a pull: samples of one step."""

    lot: str
    step: int
    samples: list[SampleRecord]


_REQUEST = msgspec.json.Decoder(PullRequest)
_ANSWER = msgspec.json.Decoder(PullAnswer)


def encode_pull_request(
    holdings: state.Holdings, insist: bool = False
) -> bytes:
    """Return the encoded request for samples that `holdings` lacks."""
    request = PullRequest(
        trainer=holdings.trainer,
        step=holdings.step,
        weight_version=holdings.weight_version,
        held=_to_ranges(holdings.held),
        insist=insist,
    )
    return msgspec.json.encode(request)


def decode_pull_request(data: bytes) -> tuple[state.Holdings, bool]:
    """Return the holdings that a pull reports, and its `insist` flag.

    Raises
    ------
    FieldError
        If a field is malformed or out of range.
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
    """Return the encoded response to a pull."""
    records = [
        SampleRecord(
            sample.slot.group,
            sample.slot.index,
            list(sample.tokens),
            [
                (span.weight_version, span.first_token, span.last_token)
                for span in sample.spans
            ],
            sample.score,
            sample.produced_by,
        )
        for sample in samples
    ]
    return msgspec.json.encode(PullAnswer(lot=lot, step=step, samples=records))


def decode_pull_answer(data: bytes) -> tuple[state.Sample, ...]:
    """Return the samples of a response.

    Raises
    ------
    msgspec.MsgspecError
        If the response is malformed.
    """
    answer = _ANSWER.decode(data)
    return tuple(
        state.Sample(
            state.Slot(answer.lot, answer.step, record.group, record.index),
            tuple(record.tokens),
            tuple(state.Span(*span) for span in record.spans),
            record.score,
            record.produced_by,
        )
        for record in answer.samples
    )


def _to_ranges(
    held: frozenset[tuple[int, int]],
) -> dict[int, list[tuple[int, int]]]:
    """Return the inclusive ranges of indexes of each group."""
    ranges: dict[int, list[tuple[int, int]]] = {}
    for group, index in sorted(held):
        group_ranges = ranges.setdefault(group, [])
        if group_ranges and group_ranges[-1][1] == index - 1:
            group_ranges[-1] = (group_ranges[-1][0], index)
        else:
            group_ranges.append((index, index))
    return ranges


def _from_ranges(
    ranges: dict[int, list[tuple[int, int]]],
) -> set[tuple[int, int]]:
    """Return the pairs of group and index in `ranges`."""
    held: set[tuple[int, int]] = set()
    for group, group_ranges in ranges.items():
        for first, last in group_ranges:
            if not 0 <= first <= last < first + MAX_RANGE_LENGTH:
                raise errors.FieldError(
                    f"held.{group}",
                    f"expected a range of up to {MAX_RANGE_LENGTH} indexes, "
                    f"got {(first, last)}",
                )
            held.update((group, i) for i in range(first, last + 1))
    return held
