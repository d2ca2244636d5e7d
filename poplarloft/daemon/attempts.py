"""Attempts in flight at upstreams."""

import dataclasses
import typing

from poplarloft.daemon import calls
from poplarloft import state

if typing.TYPE_CHECKING:
    from poplarloft.daemon import dispatch

__all__ = [
    "AttemptInFlight",
    "PURPOSE_ANSWERED",
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
