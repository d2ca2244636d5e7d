"""This instance's own place in the list of members.

Its entry hangs on a lease that it renews, so that the entry goes when the
instance dies. One that has come anew is passed over as an issuer of permits
until all others have listed it: it *settles* then, at a time that its entry
tells, so that all change over at once.
"""

from poplarloft import state

__all__ = ["MEMBER_LEASE_MS", "Tenure", "settling_time_ms"]

MEMBER_LEASE_MS = 15_000
RENEW_INTERVAL_MS = 4_500  # three attempts before the lease ends
RETRY_MS = 1_000  # back within two seconds of the store's return
# An attempt may take this long. If the last one began earlier than that
# before it was due, this process stood still meanwhile.
MAX_ATTEMPT_MS = 4_000
# Members are listed every 20 s; a listing may be some seconds old, or fail.
SETTLING_MS = 25_000


def settling_time_ms(now_ms: int) -> int:
    """Return the Unix time at which a member that comes now is settled."""
    return now_ms + SETTLING_MS


class Tenure:
    """Whether this instance is listed, and when to see to it next.

    Parameters
    ----------
    clock : state.Clock
        Clock that also advances while the machine is suspended.

    Attributes
    ----------
    is_listed : bool
        Whether its entry is in the store, as far as is known.
    has_left : bool
        Whether it has left the list for good.
    is_proven : bool
        Whether the entry was in the store after this instance last stood
        still.
    lapses : int
        Number of times that the entry had gone without its doing.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.is_listed = False
        self.has_left = False
        self.lapses = 0
        self.attempted_at_ms: int | None = None
        self.has_failed = False
        self.is_proven = False

    def on_attempt(self) -> None:
        """Note that a renewal or a registration begins."""
        if self._has_stood_still():
            self.is_proven = False
        self.attempted_at_ms = self.clock.now_ms()

    def on_done(self) -> None:
        """Note that the entry is in the store, and its lease renewed."""
        self.is_listed = not self.has_left
        self.is_proven = True
        self.has_failed = False

    def on_failed(self) -> None:
        """Note an attempt of which the outcome is open."""
        self.has_failed = True

    def on_lapsed(self) -> None:
        """Note that the entry is gone: it must be written anew."""
        self.lapses += 1
        self.is_listed = False
        self.has_failed = True

    def leave(self) -> None:
        """Write no entry any more."""
        self.has_left = True
        self.is_listed = False

    def next_attempt_in_ms(self) -> int:
        """Return the time until the next renewal or registration."""
        if self.attempted_at_ms is None:
            return 0
        interval_ms = RETRY_MS if self.has_failed else RENEW_INTERVAL_MS
        due_ms = self.attempted_at_ms + interval_ms
        return max(0, due_ms - self.clock.now_ms())

    @property
    def is_current(self) -> bool:
        """Whether others may rely on this instance as a listed one.

        Not after it has stood still, until the lease is renewed: its entry
        may have gone meanwhile, and others may have taken its place. An
        outage of the store changes nothing, as nobody can list the members
        then.
        """
        return (
            self.is_listed and self.is_proven and not self._has_stood_still()
        )

    def _has_stood_still(self) -> bool:
        if self.attempted_at_ms is None:
            return False
        since_ms = self.clock.now_ms() - self.attempted_at_ms
        return since_ms > RENEW_INTERVAL_MS + MAX_ATTEMPT_MS
