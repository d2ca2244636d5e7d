"""Failures of connections, returned as values instead of raised."""

import dataclasses

from poplarloft.coordination import retries

__all__ = ["TransportFailure"]


@dataclasses.dataclass(frozen=True, slots=True)
class TransportFailure:
    """Why an HTTP exchange gave no complete response.

    Parameters
    ----------
    kind : retries.FailureKind
        Decides whether the request may be retried.
    detail : str
        Human-readable description.
    """

    kind: retries.FailureKind
    detail: str
