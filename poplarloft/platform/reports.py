"""Reports in which engines describe their state, and what probes learn."""

import dataclasses

import msgspec

from poplarloft.platform import names
from poplarloft.protocol import errors
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["EngineReport", "MISDIRECTED", "probe_outcome", "read_report"]

MISDIRECTED = 421  # status of an upstream that is not the expected one
MAX_REPORT_BYTES = 262_144


class _Model(msgspec.Struct):
    name: str
    version: int


class _Report(msgspec.Struct):
    models: list[_Model]
    busy: bool = False  # whether an order is being carried out
    sequence: int = 0  # number of orders accepted since the start
    num_waiting: int = 0
    num_running: int = 0


class _Birth(msgspec.Struct):
    """The part of a report that names the run."""

    born: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports, a few hundred milliseconds old.

    Parameters
    ----------
    versions : dict of str to int
        Loaded weight version of each model.
    is_loading : bool
        Whether the engine is carrying out an order.
    orders_accepted : int
        Number of orders accepted since the engine's start.
    waiting : int
        Number of requests that wait for a slot.
    """

    versions: dict[str, int]
    is_loading: bool
    orders_accepted: int
    waiting: int = 0


async def read_report(
    response: http_client.UpstreamResponse,
) -> EngineReport | None:
    """Return the report in a response, None if it is not valid."""
    try:
        body = await response.read(MAX_REPORT_BYTES)
        row = errors.decoded(
            "report", lambda: msgspec.json.decode(body, type=_Report)
        )
    except (http_client.TruncatedResponseError, errors.ProtocolError):
        return None
    versions = {model.name: model.version for model in row.models}
    return EngineReport(versions, row.busy, row.sequence, row.num_waiting)


async def probe_outcome(
    sampler: state.Sampler, response: http_client.UpstreamResponse
) -> state.ProbeOutcome:
    """Return what the response to a probe says of the upstream's run."""
    name = response.headers.get(names.INSTANCE_ID, sampler.name)
    if response.status == MISDIRECTED or name != sampler.name:
        response.close()
        return state.ProbeOutcome.OTHER_RUN
    try:
        body = await response.read(MAX_REPORT_BYTES)
        birth = errors.decoded(
            "report", lambda: msgspec.json.decode(body, type=_Birth)
        )
    except http_client.TruncatedResponseError:
        return state.ProbeOutcome.SILENT
    except errors.ProtocolError:
        return state.ProbeOutcome.ANSWERED
    if birth.born == sampler.born_ms:
        return state.ProbeOutcome.SAME_RUN
    return state.ProbeOutcome.OTHER_RUN
