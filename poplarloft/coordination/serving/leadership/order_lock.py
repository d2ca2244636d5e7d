"""The lock under which the leader of a cell sends orders to engines."""

import dataclasses
import enum

from poplarloft import state

__all__ = [
    "OrderLock",
    "OrderRules",
    "ReadHolder",
    "RevokeLease",
    "WriteHolder",
]

VALID_MS = 1_500  # after a renewal of the lease was sent
ARRIVAL_MS = 300  # for an order that was sent at the last moment
RETRY_MS = 250
UNLIMITED_MS = 3_600_000  # engines themselves reject late orders


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRules:
    """What engines require of orders.

    Parameters
    ----------
    engines_check_fence : bool
        Whether engines reject an order whose fencing token is lower than
        one that they have seen.
    turn_ms : int
        Time that must pass before a daemon may order again after another
        one has ordered in between, if engines do not check fencing tokens.
    """

    engines_check_fence: bool = True
    turn_ms: int = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHolder:
    """Action: read the lock's record."""


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeLease:
    """Action: revoke the lease of the daemon that holds the lock."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteHolder:
    """Action: write the lock's record if it is still at `revision`."""

    holder: state.OrderHolder
    revision: int


Action = ReadHolder | RevokeLease | WriteHolder


class _Phase(enum.Enum):
    ENDED = enum.auto()
    READING = enum.auto()
    REVOKING = enum.auto()
    WRITING = enum.auto()
    HELD = enum.auto()


class OrderLock:
    """Decide when this daemon may send orders to engines.

    Leadership changes hands before the previous leader knows of it, since
    a leader that has lost the store continues. Engines that check fencing
    tokens reject its orders. For others the right to send orders is a
    lock of its own: the new leader leads at once, but sends orders only
    when none of the previous holder can arrive any more.

    A holder may send orders for `VALID_MS` after it has sent the last
    renewal of its lease that succeeded. The successor revokes that lease
    first, so that no later renewal succeeds, and then waits until the
    holder's time has passed. A holder that has released the lock needs no
    wait, nor does one on the same instance, which has ended. A leader that
    finds the lock with a newer one has been replaced, and ends.

    Two daemons must not order by turns: one that takes the lock from
    another waits until its own last order is `turn_ms` old. After a start
    it does not know of that order, and takes it for one of that moment.

    Parameters
    ----------
    clock : state.Clock
        Clock that also advances while the instance is suspended.
    name : str
        Name of this daemon.
    rules : OrderRules
        What engines require.
    """

    def __init__(
        self, clock: state.Clock, name: str, rules: OrderRules
    ) -> None:
        self.clock = clock
        self.name = name
        self.rules = rules
        self.phase = _Phase.ENDED
        self.lease = 0
        self.fence = 0
        self.renewed_at_ms = 0
        self.not_before_ms = 0
        self.ordered_until_ms = clock.now_ms() + ARRIVAL_MS
        self.holder: state.OrderHolder | None = None
        self.revision = state.ABSENT

    @property
    def is_held(self) -> bool:
        """Whether this daemon holds the lock, perhaps past its time."""
        return self.phase is _Phase.HELD

    def begin(self, lease: int, requested_at_ms: int, fence: int) -> None:
        """Start to acquire the lock, as the leader under a new lease.

        Parameters
        ----------
        lease : int
            The lease of the leader key.
        requested_at_ms : int
            Time at which the lease was requested.
        fence : int
            The leader's fencing token.
        """
        self._leave()
        self.lease = lease
        self.fence = fence
        self.renewed_at_ms = requested_at_ms
        self.phase = _Phase.READING
        if self.rules.engines_check_fence:
            self.phase = _Phase.HELD
        self.not_before_ms = 0

    def end(self) -> None:
        """Send no more orders; leadership is lost or given up."""
        self._leave()
        self.phase = _Phase.ENDED

    def _leave(self) -> None:
        """Record how long orders of this daemon may still arrive."""
        if self.phase is _Phase.HELD:
            until_ms = self.renewed_at_ms + VALID_MS
            self.ordered_until_ms = until_ms + ARRIVAL_MS

    def release(self) -> WriteHolder | None:
        """End, and return the record that tells a successor not to wait.

        Returns None if there is nothing to write.
        """
        was_held = self.is_held
        self.end()
        if not was_held or self.rules.engines_check_fence:
            return None
        holder = self._own_record(is_released=True)
        return WriteHolder(holder, self.revision)

    def on_renewed(self, requested_at_ms: int) -> None:
        """Record a successful renewal that was sent at `requested_at_ms`."""
        self.renewed_at_ms = requested_at_ms

    def remaining_ms(self) -> int:
        """Return for how long this daemon may still send orders."""
        if self.phase is not _Phase.HELD:
            return 0
        if self.rules.engines_check_fence:
            return UNLIMITED_MS
        until_ms = self.renewed_at_ms + VALID_MS
        return max(0, until_ms - self.clock.now_ms())

    def wait_ms(self) -> int | None:
        """Return the time until the next action; None if there is none."""
        if self.phase in (_Phase.ENDED, _Phase.HELD):
            return None
        return max(0, self.not_before_ms - self.clock.now_ms())

    def next_action(self) -> Action | None:
        """Return what to do now; None if there is nothing but to wait."""
        if self.clock.now_ms() < self.not_before_ms:
            return None
        match self.phase:
            case _Phase.READING:
                return ReadHolder()
            case _Phase.REVOKING:
                assert self.holder is not None
                return RevokeLease(self.holder.lease)
            case _Phase.WRITING:
                return WriteHolder(self._own_record(), self.revision)
        return None

    def on_read(self, holder: state.OrderHolder | None, revision: int) -> None:
        """Continue with the lock's record, None if it does not exist."""
        if self.phase is not _Phase.READING:
            return
        self.holder = holder
        self.revision = revision
        if holder is not None and holder.fence > self.fence:
            self.end()
        elif holder == self._own_record():
            # An earlier write was applied without an answer.
            self.phase = _Phase.HELD
        elif holder is None or holder.name == self.name:
            self.phase = _Phase.WRITING
        elif holder.is_released:
            self.phase = _Phase.WRITING
            self.not_before_ms = self._own_turn_ms()
        else:
            self.phase = _Phase.REVOKING

    def _own_record(self, is_released: bool = False) -> state.OrderHolder:
        return state.OrderHolder(
            self.name, self.lease, is_released, self.fence
        )

    def _own_turn_ms(self) -> int:
        """Return the time from which this daemon may order after others."""
        return self.ordered_until_ms + self.rules.turn_ms

    def on_revoked(self) -> None:
        """Wait out the previous holder, whose lease has ended."""
        if self.phase is not _Phase.REVOKING:
            return
        ended_ms = self.clock.now_ms() + VALID_MS + ARRIVAL_MS
        self.not_before_ms = max(ended_ms, self._own_turn_ms())
        self.phase = _Phase.WRITING

    def on_written(self, status: state.WriteStatus, revision: int) -> None:
        """Record the outcome of writing this daemon's record."""
        if self.phase is not _Phase.WRITING:
            return
        if status is state.WriteStatus.APPLIED:
            self.phase = _Phase.HELD
            self.revision = revision
            return
        self.phase = _Phase.READING
        if status is not state.WriteStatus.CONFLICT:
            self.on_failed()

    def on_failed(self) -> None:
        """Retry the last action after a pause; the store did not answer."""
        self.not_before_ms = self.clock.now_ms() + RETRY_MS
