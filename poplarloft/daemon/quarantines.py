"""The log line and the refusal of a quarantine."""

import eliot

from poplarloft import state

__all__ = ["log_quarantine", "quarantined_refusal"]


def log_quarantine(update: state.GossipUpdate) -> None:
    """Write a log line if a gossip update quarantines a fingerprint."""
    if isinstance(update, state.QuarantineUpdate):
        eliot.log_message(
            "quarantine",
            fingerprint=update.fingerprint,
            until_ms=update.until_ms,
        )


def quarantined_refusal(
    verdict: state.Verdict, retry_after_ms: int | None = None
) -> state.Refusal:
    """Return the refusal of a request whose fingerprint is quarantined."""
    return state.Refusal(
        state.Reason.QUARANTINED,
        verdict,
        "requests with this body have crashed upstreams and are quarantined; "
        "an operator can release the fingerprint",
        retry_after_ms,
    )
