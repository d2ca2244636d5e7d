"""What instances tell each other and the store of crashes of upstreams."""

import dataclasses
import enum

from poplarloft.state import gossip_updates

__all__ = ["CrashNotice", "ProbeOutcome"]


class ProbeOutcome(enum.StrEnum):
    """What a probe says about the run of an upstream that it asked for.

    ``REFUSED``: nobody listens at its address. ``SAME_RUN``: it answered.
    ``OTHER_RUN``: another run or another upstream answered at its address.
    ``ANSWERED``: somebody did, without naming the run. ``SILENT``: there
    was no answer.
    """

    REFUSED = "refused"
    SAME_RUN = "same-run"
    OTHER_RUN = "other-run"
    ANSWERED = "answered"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNotice:
    """News of requests that may crash upstreams."""

    crashes: tuple[gossip_updates.CrashUpdate, ...] = ()
    cleared: tuple[gossip_updates.ClearedUpdate, ...] = ()
    quarantines: tuple[gossip_updates.QuarantineUpdate, ...] = ()

    def updates(self) -> tuple[gossip_updates.GossipUpdate, ...]:
        """Return the updates in the order in which they are applied."""
        return (*self.crashes, *self.cleared, *self.quarantines)
