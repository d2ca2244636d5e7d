"""The requests that one instance has begun, until the leader has them."""

import collections
import itertools

from poplarloft import state

__all__ = ["UsageCounter"]

MAX_TICKETS = 64  # of notices without a receipt


class UsageCounter:
    """Counts requests by window and account.

    A notice holds all that this instance has counted in a window, so that
    it may be lost or come twice. Windows stay until they can no longer be
    reported: another leader may ask for them.

    Parameters
    ----------
    clock : state.Clock
        Unix time.
    name : str
        Name of this instance.
    window_ms : int
        Length of a window.
    kept_ms : int
        Time for which a window is kept after its end.
    """

    def __init__(
        self, clock: state.Clock, name: str, window_ms: int, kept_ms: int
    ) -> None:
        self.clock = clock
        self.name = name
        self.window_ms = window_ms
        self.kept_ms = kept_ms
        self.started_at_ms = clock.now_ms()
        self.windows: dict[int, collections.Counter[str]] = {}
        self.unconfirmed: set[int] = set()
        self.fence = 0
        self.tickets = itertools.count(1)
        self.told: dict[int, dict[int, int]] = {}

    def count(self, account: str, at_ms: int) -> None:
        """Count a request that began at a Unix time."""
        window = at_ms // self.window_ms
        counts = self.windows.setdefault(window, collections.Counter())
        counts[account] += 1
        self.unconfirmed.add(window)

    def next_notice(
        self, address: state.Address, fence: int
    ) -> state.UsageNotice | None:
        """Return what the leader does not have yet, None if it has all.

        Parameters
        ----------
        address : state.Address
            Address of this instance for the receipt.
        fence : int
            Fencing token of the leader. Another one knows nothing yet.
        """
        self._forget_old()
        if fence != self.fence:
            self.fence = fence
            self.told.clear()
            self.unconfirmed = set(self.windows)
        if not self.unconfirmed:
            return None
        ticket = next(self.tickets)
        windows = tuple(
            state.WindowCounts(window, dict(self.windows[window]))
            for window in sorted(self.unconfirmed)
        )
        self.told[ticket] = {
            row.window: sum(row.counts.values()) for row in windows
        }
        while len(self.told) > MAX_TICKETS:
            del self.told[next(iter(self.told))]
        return state.UsageNotice(
            self.name, self.started_at_ms, ticket, address, windows
        )

    def on_receipt(self, receipt: state.UsageReceipt) -> None:
        """Confirm a notice, unless more has been counted since."""
        if receipt.fence != self.fence:
            return
        for window, total in self.told.pop(receipt.ticket, {}).items():
            if self.windows.get(window, collections.Counter()).total() == (
                total
            ):
                self.unconfirmed.discard(window)

    def _forget_old(self) -> None:
        oldest = (self.clock.now_ms() - self.kept_ms) // self.window_ms
        for window in [w for w in self.windows if w < oldest]:
            del self.windows[window]
            self.unconfirmed.discard(window)
