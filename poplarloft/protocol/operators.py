"""Requests and responses of the operators' interface."""

import urllib.parse

import msgspec

from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "HistogramRow",
    "InstanceStatus",
    "LotRow",
    "ProposalStatus",
    "UpstreamRow",
    "decode_reason",
    "parse_window_ms",
    "proposal_status",
]

MAX_WINDOW_MS = 30 * 86_400_000
MAX_REASON_CHARS = 2_000


class ProposalStatus(msgspec.Struct, kw_only=True):
    """State of a proposal after a change."""

    proposal_id: str
    state: str
    revision: int


class UpstreamRow(msgspec.Struct, kw_only=True):
    """One upstream in an instance's status."""

    name: str
    service: str
    data_centre: str
    eligible: bool
    queued_tokens: float
    weight_version: int | None


class LotRow(msgspec.Struct, kw_only=True):
    """One lot in an instance's status."""

    name: str
    owner: str
    step: int
    steps: int
    weight_version: int
    buffered: int
    running: int
    wasted_tokens: int


class InstanceStatus(msgspec.Struct, kw_only=True):
    """The answer to ``GET /v1/status``."""

    name: str
    incarnation: int
    region: str
    data_centre: str
    phase: str
    ready: bool
    revision: int
    in_flight: int
    key_value_calls: int
    upstreams: list[UpstreamRow]
    lots: list[LotRow]


class HistogramRow(msgspec.Struct, kw_only=True):
    """One histogram of ``GET /v1/histograms``, in milliseconds.

    `percentiles_ms` has the duration at each percentile.
    """

    owner: str
    request_class: str
    stage: str
    count: int
    mean_ms: float
    max_ms: int
    percentiles_ms: dict[str, int]


class _Reason(msgspec.Struct):
    reason: str


def decode_reason(data: bytes) -> str:
    """Return the reason given for a dispute.

    Raises
    ------
    FieldError
        If the reason is missing or too long.
    """
    try:
        reason = msgspec.json.decode(data, type=_Reason).reason
    except msgspec.MsgspecError as error:
        raise errors.FieldError("reason", str(error)) from None
    if len(reason) > MAX_REASON_CHARS:
        raise errors.FieldError(
            "reason",
            f"expected at most {MAX_REASON_CHARS} characters, "
            f"got {len(reason)}",
        )
    return reason


def parse_window_ms(query: str) -> int | None:
    """Return the dispute window of a query, or None without one.

    Raises
    ------
    FieldError
        If the window is not a whole number in the allowed range.
    """
    values = urllib.parse.parse_qs(query).get("window_ms")
    if not values:
        return None
    if not values[-1].isdecimal() or int(values[-1]) > MAX_WINDOW_MS:
        raise errors.FieldError(
            "window_ms",
            f"expected a whole number of milliseconds from 0 to "
            f"{MAX_WINDOW_MS}, got {values[-1][:80]!r}",
        )
    return int(values[-1])


def proposal_status(
    head: state.Configuration, proposal_id: str
) -> ProposalStatus:
    """Return the state of a proposal in `head`, `unknown` if absent."""
    matching = [p for p in head.proposals if p.proposal_id == proposal_id]
    proposal_state = matching[0].state.value if matching else "unknown"
    return ProposalStatus(
        proposal_id=proposal_id, state=proposal_state, revision=head.revision
    )
