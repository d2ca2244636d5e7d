"""The connections of one listener, and which of them make room."""

from collections import abc
import dataclasses
import heapq

from poplarloft.coordination.clients import holds
from poplarloft import state

__all__ = ["BodyDecision", "ClientTable", "PATIENCE_MS"]

Phase = holds.Phase
# A client that acts within this time is not closed before those that don't.
PATIENCE_MS = 1_000
# A client that has read less since it was last looked at does not act: who
# reads a few bytes now and then holds as much as who reads nothing.
LEAST_READ_BYTES = 4_096
# Below the bound by so much after connections were closed for memory, so
# that not each byte that arrives leads to a ranking.
RELIEF_SHARE = 0.95
ANSWER_PHASES = (Phase.SERVED, Phase.UNREAD)
WAITING_PHASES = (Phase.UNREAD, Phase.RECEIVING, Phase.SILENT)


@dataclasses.dataclass(frozen=True, slots=True)
class BodyDecision:
    """Whether a body may be read, and which connections close for it."""

    is_taken: bool
    closed: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True)
class _Client:
    """One connection, and the upstream at which its request is.

    `since_ms` is when its phase began, or when its client last acted in it.
    """

    phase: Phase
    since_ms: int
    hold: holds.ClientHold = dataclasses.field(
        default_factory=holds.ClientHold
    )
    upstream: abc.Hashable | None = None

    @property
    def closable_bytes(self) -> int:
        """What closing it may free."""
        return self.hold.closable_bytes(self.phase)


class ClientTable:
    """Keeps places and memory of all connections within bounds.

    A connection that is closed stays in the table, without a place, until
    it is removed: its request may hold memory until then.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    max_connections : int
        Number of places.
    max_bytes : int
        Bound on the memory held for all connections.
    """

    def __init__(
        self, clock: state.Clock, max_connections: int, max_bytes: int
    ) -> None:
        self.clock = clock
        self.max_connections = max_connections
        self.max_bytes = max_bytes
        self.clients: dict[int, _Client] = {}
        self.closing: dict[int, int] = {}
        self.in_excess: set[int] = set()
        self.open_bytes = 0
        self.closing_bytes = 0
        # Each phase has its clients in the order in which they entered it.
        self.phases: dict[Phase, dict[int, None]] = {p: {} for p in Phase}

    @property
    def total_bytes(self) -> int:
        """Memory held for all connections, also for those being closed."""
        return self.open_bytes + self.closing_bytes

    def add(self, number: int) -> None:
        """Add a connection that has just been opened."""
        self.clients[number] = _Client(Phase.SILENT, self.clock.now_ms())
        self.phases[Phase.SILENT][number] = None

    def remove(self, number: int) -> None:
        """Forget a connection, which holds nothing any more."""
        self.close(number)
        self.closing_bytes -= self.closing.pop(number, 0)

    def close(self, number: int) -> None:
        """Take the place of a connection that is being closed."""
        client = self.clients.pop(number, None)
        if client is None:
            return
        del self.phases[client.phase][number]
        self.in_excess.discard(number)
        left_bytes = client.hold.total_bytes - client.closable_bytes
        self.open_bytes -= client.hold.total_bytes
        self.closing_bytes += left_bytes
        self.closing[number] = left_bytes

    def enter(self, number: int, phase: Phase) -> None:
        """Set what a connection waits for from now on."""
        client = self.clients.get(number)
        if client is None or client.phase is phase:
            return
        del self.phases[client.phase][number]
        client.phase = phase
        client.since_ms = self.clock.now_ms()
        self.phases[phase][number] = None

    def note_read(self, number: int, size: int) -> None:
        """Note that a client has read a part of its answer.

        It acts if that is much for the time between two looks.
        """
        client = self.clients.get(number)
        if client is not None and size >= LEAST_READ_BYTES:
            client.since_ms = self.clock.now_ms()
            phase = self.phases[client.phase]
            phase[number] = phase.pop(number)

    def in_phase(self, phase: Phase) -> list[int]:
        """Return the open connections in a phase."""
        return list(self.phases[phase])

    def set_channel(self, number: int, upstream: abc.Hashable | None) -> None:
        """Set the upstream to which a connection's request has a channel."""
        client = self.clients.get(number)
        if client is not None:
            client.upstream = upstream

    def set_hold(self, number: int, hold: holds.ClientHold) -> None:
        """Set what a connection holds."""
        client = self.clients.get(number)
        if client is None:
            return
        self.open_bytes += hold.total_bytes - client.hold.total_bytes
        client.hold = hold
        if hold.excess_bytes:
            self.in_excess.add(number)
        else:
            self.in_excess.discard(number)

    def take_body(self, number: int, size: int) -> BodyDecision:
        """Decide whether a request may hold `size` bytes for its body.

        Connections that hold more, and may be closed, make room for it. A
        single request is always read, however small the bound.
        """
        client = self.clients.get(number)
        if client is None:
            return BodyDecision(False)
        others_bytes = self.total_bytes - client.hold.total_bytes
        wanted_bytes = client.hold.excess_bytes + size
        missing = others_bytes + wanted_bytes - self.max_bytes
        if not others_bytes or missing <= 0:
            return BodyDecision(True)
        larger = [
            other
            for other, row in self.clients.items()
            if other != number and row.closable_bytes > wanted_bytes
        ]
        closed = self._largest(larger, missing)
        freed = sum(self.clients[n].closable_bytes for n in closed)
        if freed < missing:
            return BodyDecision(False)
        for other in closed:
            self.close(other)
        return BodyDecision(True, closed)

    def close_excess(self) -> tuple[int, ...]:
        """Close connections, so that the bound on memory holds.

        Those that hold most go first. A request that is being served is
        not closed for its body.
        """
        if self.total_bytes <= self.max_bytes:
            return ()
        missing = self.total_bytes - int(self.max_bytes * RELIEF_SHARE)
        closable = [n for n, row in self.clients.items() if row.closable_bytes]
        closed = self._largest(closable, missing)
        for number in closed:
            self.close(number)
        return closed

    def make_room(self) -> int | None:
        """Close the connection whose place a new one gets, if any does."""
        return self._close_first(self._by_right_to_stay())

    def free_channel(self) -> int | None:
        """Close a connection that holds a channel and does not use it."""
        return self._close_first(
            number
            for number in self._by_right_to_stay()
            if self.clients[number].upstream is not None
        )

    def free_slot(self, upstream: abc.Hashable) -> int | None:
        """Close a connection whose request takes a place there for nothing.

        Its client reads nothing of the response, and has not for long.
        """
        return self._close_first(
            number
            for number in self._stalled()
            if self.clients[number].upstream == upstream
        )

    def may_free_slot(self, upstream: abc.Hashable) -> bool:
        """Return whether a request there is one whose client may not read.

        It has not read all of an answer, or has sent more requests ahead. A
        body that is passed on as it arrives is neither.
        """
        rows = (self.clients[number] for number in self.in_excess)
        return any(
            row.upstream == upstream and row.phase in ANSWER_PHASES
            for row in rows
        )

    def stalled_upstreams(self) -> set[abc.Hashable]:
        """Return where requests take places for nothing."""
        found = {self.clients[n].upstream for n in self._stalled()}
        return {upstream for upstream in found if upstream is not None}

    def _stalled(self) -> abc.Iterator[int]:
        """Yield the clients that have read nothing for long."""
        patient_ms = self.clock.now_ms() - PATIENCE_MS
        for since_ms, number in self._by_age(Phase.UNREAD):
            if since_ms > patient_ms:
                return
            yield number

    def _by_right_to_stay(self) -> abc.Iterator[int]:
        """Yield who may go, those first that have the least right to stay.

        These are the clients that have not acted for long, then those
        between two requests, then those that have not acted yet, and last
        those whose request is served while they have sent more ahead.
        """
        patient_ms = self.clock.now_ms() - PATIENCE_MS
        waiting = heapq.merge(*map(self._by_age, WAITING_PHASES))
        recent: list[int] = []
        for since_ms, number in waiting:
            if since_ms > patient_ms:
                recent.append(number)
                break
            yield number
        yield from self.phases[Phase.IDLE]
        yield from recent
        yield from (number for _, number in waiting)
        served = self.phases[Phase.SERVED]
        ahead = [n for n in served if self.clients[n].hold.excess_bytes]
        yield from self._ranked(ahead)

    def _by_age(self, phase: Phase) -> abc.Iterator[tuple[int, int]]:
        """Yield the clients in a phase, and since when, oldest first."""
        for number in self.phases[phase]:
            yield self.clients[number].since_ms, number

    def _close_first(self, numbers: abc.Iterator[int]) -> int | None:
        number = next(numbers, None)
        if number is not None:
            self.close(number)
        return number

    def _ranked(self, numbers: abc.Iterable[int]) -> list[int]:
        """Return connections, those that hold most first."""
        return sorted(
            numbers,
            key=lambda number: self.clients[number].closable_bytes,
            reverse=True,
        )

    def _largest(
        self, numbers: abc.Iterable[int], missing: int
    ) -> tuple[int, ...]:
        """Return as many of the largest as free `missing` bytes."""
        chosen: list[int] = []
        for number in self._ranked(numbers):
            if missing <= 0:
                break
            missing -= self.clients[number].closable_bytes
            chosen.append(number)
        return tuple(chosen)
