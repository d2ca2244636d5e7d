"""What is known about whether a refused request has run."""

import dataclasses
import enum

__all__ = ["Reason", "Refusal", "Verdict"]


class Verdict(enum.StrEnum):
    """Whether a request took effect at an upstream.

    ``NOT_RUN`` is a promise: no upstream acted on the request.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class Reason(enum.StrEnum):
    """Why a request got no upstream's answer."""

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
    RETRY_BUDGET = "retry-budget"
    CLAIM_HELD = "claim-held"
    CLAIM_EXPIRED = "claim-expired"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    QUARANTINED = "quarantined"
    STALE_FENCE = "stale-fence"
    NOT_READY = "not-ready"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A typed error: what went wrong and whether the request may have run.

    Parameters
    ----------
    reason : Reason
        The kind of failure.
    verdict : Verdict
        What is known about execution.
    detail : str
        A sentence for people, naming the offending value.
    retry_after_ms : int or None
        When a repeat has a chance to succeed, in milliseconds.
    """

    reason: Reason
    verdict: Verdict
    detail: str
    retry_after_ms: int | None = None
