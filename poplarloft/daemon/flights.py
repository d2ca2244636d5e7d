"""Attempts in flight, and what is told of quarantines."""

import dataclasses
import typing

import eliot

from poplarloft import coordination
from poplarloft.daemon import calls
from poplarloft import state

if typing.TYPE_CHECKING:
    from poplarloft.daemon import dispatch

__all__ = ["Flight", "PURPOSE_ANSWERED", "log_quarantine", "quarantined"]

PURPOSE_ANSWERED = "answered"
PURPOSE_FAILED = "failed"


@dataclasses.dataclass(slots=True)
class Flight:
    """One attempt in flight; called once when it has ended."""

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


def log_quarantine(rumour: state.GossipUpdate) -> None:
    """Write a line if a rumour puts a request into quarantine."""
    if isinstance(rumour, state.QuarantineUpdate):
        eliot.log_message(
            "quarantine",
            fingerprint=rumour.fingerprint,
            until_ms=rumour.until_ms,
        )


def quarantined(plan: coordination.AttemptPlan) -> state.Refusal:
    """Return the refusal of a request in quarantine."""
    return state.Refusal(
        state.Reason.QUARANTINED,
        plan.verdict,
        "requests with this body crashed upstreams and are quarantined; "
        "an operator can release the fingerprint",
    )
