"""Attempts in flight, and the log line and refusal of a quarantine."""

import dataclasses
import typing

import eliot

from poplarloft import coordination
from poplarloft.daemon import calls
from poplarloft import state

if typing.TYPE_CHECKING:
    from poplarloft.daemon import dispatch

__all__ = [
    "AttemptInFlight",
    "PURPOSE_ANSWERED",
    "log_quarantine",
    "quarantined_refusal",
]

PURPOSE_ANSWERED = "answered"
PURPOSE_FAILED = "failed"


@dataclasses.dataclass(slots=True)
class AttemptInFlight:
    """One attempt at an upstream; call it once when the attempt has ended.

    The call removes the attempt from the upstream's load and from the
    suspects of a crash, and meters the upstream's time for the owner.
    """

    dispatcher: "dispatch.Dispatcher"
    call: calls.RelayCall
    upstream: state.Upstream
    load_ticket: int
    guard_ticket: int
    started_at_ms: int
    purpose: str = PURPOSE_FAILED

    def __call__(self) -> None:
        name, incarnation = self.upstream.name, self.upstream.incarnation
        dispatcher = self.dispatcher
        dispatcher.upstreams.load.on_done(name, self.load_ticket)
        dispatcher.guard.on_done(name, incarnation, self.guard_ticket)
        dispatcher.meter.add(
            self.call.owner,
            self.upstream.kind.value,
            self.purpose,
            dispatcher.clock.now_ms() - self.started_at_ms,
        )


def log_quarantine(update: state.GossipUpdate) -> None:
    """Write a log line if a gossip update quarantines a fingerprint."""
    if isinstance(update, state.QuarantineUpdate):
        eliot.log_message(
            "quarantine",
            fingerprint=update.fingerprint,
            until_ms=update.until_ms,
        )


def quarantined_refusal(plan: coordination.AttemptPlan) -> state.Refusal:
    """Return the refusal of a request whose fingerprint is quarantined."""
    return state.Refusal(
        state.Reason.QUARANTINED,
        plan.verdict,
        "requests with this body have crashed upstreams and are quarantined; "
        "an operator can release the fingerprint",
    )
