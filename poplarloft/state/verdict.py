"""Refusals of requests, and whether a refused request was executed."""

import dataclasses
import enum

__all__ = ["Reason", "Refusal", "Verdict"]


class Verdict(enum.StrEnum):
    """Whether a request took effect at an upstream.

    ``NOT_RUN`` is a guarantee that no upstream acted on the request.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class Reason(enum.StrEnum):
    """Why a request was not answered by an upstream."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_ROUTE = "unknown-route"
    UNKNOWN_LOT = "unknown-lot"
    BODY_TOO_LARGE = "body-too-large"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no-upstream"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_LIMITED = "upstream-limited"
    RETRY_BUDGET = "retry-budget"
    CLAIM_HELD = "claim-held"
    CLAIM_EXPIRED = "claim-expired"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"
    STREAM_UNKNOWN = "stream-unknown"
    STALE_FENCE = "stale-fence"
    NOT_READY = "not-ready"
    CONFLICT = "conflict"
    INTERNAL_ERROR = "internal-error"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An error with its kind and whether the request may have run.

    Parameters
    ----------
    reason : Reason
        Kind of failure.
    verdict : Verdict
        Whether the request was executed, as far as known.
    detail : str
        Human-readable description, which names the offending value.
    retry_after_ms : int or None
        Time in milliseconds after which a retry may succeed.
    """

    reason: Reason
    verdict: Verdict
    detail: str
    retry_after_ms: int | None = None
