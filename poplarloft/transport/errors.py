"""Failures of connections, as values."""

import dataclasses

from poplarloft.coordination import retries

__all__ = ["TransportFailure"]


@dataclasses.dataclass(frozen=True, slots=True)
class TransportFailure:
    """Why an exchange gave no whole answer."""

    kind: retries.FailureKind
    detail: str
