"""Which clients make room, and which of them do not have to."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from poplarloft.coordination import clients
from poplarloft.coordination.clients import table
from poplarloft import state

Hold = clients.ClientHold
Phase = clients.Phase
MAX_BYTES = 1_000
MAX_CONNECTIONS = 4
LONG_MS = table.PATIENCE_MS


def make_table(count=0, max_connections=MAX_CONNECTIONS):
    """Return a table with `count` connections that have sent nothing."""
    clock = state.ManualClock()
    made = clients.ClientTable(clock, max_connections, MAX_BYTES)
    for number in range(1, count + 1):
        made.add(number)
        clock.advance(1)
    return made, clock


def test_silent_clients_make_room_before_others():
    made, clock = make_table(3)
    made.enter(2, Phase.SERVED)
    made.enter(3, Phase.IDLE)
    clock.advance(LONG_MS)
    assert made.make_room() == 1
    assert made.make_room() == 3
    assert made.make_room() is None  # a served request stays


def test_client_that_has_just_connected_outlasts_an_idle_one():
    made, clock = make_table(2)
    made.enter(1, Phase.IDLE)
    assert [made.make_room(), made.make_room()] == [1, 2]


def test_client_that_reads_slowly_outlasts_those_that_read_nothing():
    made, clock = make_table(3)
    made.enter(1, Phase.UNREAD)
    made.enter(2, Phase.UNREAD)
    made.enter(3, Phase.IDLE)
    clock.advance(LONG_MS)
    made.note_read(1, table.LEAST_READ_BYTES)
    made.note_read(2, table.LEAST_READ_BYTES - 1)
    assert [made.make_room() for _ in range(3)] == [2, 3, 1]


def test_request_that_never_ends_makes_room_though_it_goes_on():
    made, clock = make_table(2)
    made.enter(1, Phase.RECEIVING)
    clock.advance(LONG_MS)
    made.set_hold(1, Hold(body_bytes=10))
    made.enter(2, Phase.RECEIVING)
    assert made.make_room() == 1


def test_requests_sent_ahead_lose_their_place_in_the_end():
    made, _ = make_table(3)
    for number, ahead in ((1, 0), (2, 50), (3, 90)):
        made.enter(number, Phase.SERVED)
        made.set_hold(number, Hold(ahead_bytes=ahead))
    assert [made.make_room() for _ in range(3)] == [3, 2, None]


def test_channel_is_freed_by_who_reads_nothing():
    made, _ = make_table(3)
    for number in (1, 2):
        made.enter(number, Phase.SERVED)
        made.set_channel(number, "s0")
    assert made.free_channel() is None
    made.enter(2, Phase.UNREAD)
    assert made.free_channel() == 2
    assert 3 in made.clients  # holds no channel


def test_slot_is_freed_by_who_has_read_nothing_for_long():
    made, clock = make_table(5)
    for number, upstream in ((1, "s0"), (2, "s1"), (3, "s0"), (4, "s0")):
        made.set_channel(number, upstream)
    for number in (1, 2, 3, 5):
        made.enter(number, Phase.UNREAD)
        made.set_hold(number, Hold(unread_bytes=10))
    made.enter(4, Phase.SERVED)
    assert made.free_slot("s0") is None
    clock.advance(LONG_MS)
    made.note_read(1, table.LEAST_READ_BYTES)
    assert made.stalled_upstreams() == {"s0", "s1"}
    assert made.free_slot("s0") == 3
    assert made.may_free_slot("s0")
    made.set_hold(1, Hold())
    assert not made.may_free_slot("s0")
    made.set_hold(4, Hold(ahead_bytes=10))
    assert made.may_free_slot("s0")
    made.enter(4, Phase.RECEIVING)  # a body that is passed on
    assert not made.may_free_slot("s0")
    assert made.free_slot("s0") is None  # reads, or waits for the response
    assert made.free_slot("s1") == 2
    assert made.stalled_upstreams() == set()


def test_memory_is_freed_by_who_holds_most_in_excess():
    made, _ = make_table(3)
    for number in (1, 2, 3):
        made.enter(number, Phase.SERVED)
    made.set_hold(1, Hold(ahead_bytes=300))
    made.set_hold(2, Hold(unread_bytes=400))
    assert made.take_body(3, 300).is_taken
    made.set_hold(3, Hold(body_bytes=300))
    assert made.close_excess() == ()
    made.set_hold(1, Hold(ahead_bytes=301))
    assert made.close_excess() == (2,)
    assert made.close_excess() == ()


def test_larger_bodies_that_are_incomplete_make_room_for_a_body():
    made, _ = make_table(2)
    made.enter(1, Phase.RECEIVING)
    assert made.take_body(1, 800).is_taken
    made.set_hold(1, Hold(body_bytes=800))
    assert made.take_body(2, 300) == clients.BodyDecision(True, (1,))
    made.set_hold(2, Hold(body_bytes=300))
    made.add(3)
    assert not made.take_body(3, 800).is_taken


def test_single_body_is_always_read():
    made, _ = make_table(1)
    assert made.take_body(1, 5_000).is_taken
    made.enter(1, Phase.SERVED)
    made.set_hold(1, Hold(body_bytes=5_000))
    assert made.close_excess() == ()
    made.add(2)
    assert not made.take_body(2, 1).is_taken


class Crowd(stateful.RuleBasedStateMachine):
    """Any clients, of whom some read and wait and others don't.

    What a closed request uses is freed only once it is `removed`.
    """

    def __init__(self):
        super().__init__()
        self.table, self.clock = make_table()
        self.numbers = 0
        self.closed = set()

    def pick(self, data, *phases):
        """Return an open connection in one of the phases."""
        found = [
            n for n, row in self.table.clients.items() if row.phase in phases
        ]
        return data.draw(strategies.sampled_from(found)) if found else None

    def hold(self, number, **changed):
        row = self.table.clients[number].hold
        fields = {n: getattr(row, n) for n in row.__slots__}
        self.table.set_hold(number, Hold(**{**fields, **changed}))
        self.close_for_memory(self.table.close_excess)

    def close_for_memory(self, decide):
        """Check that none is closed while another may free more."""
        before = {
            n: row.closable_bytes for n, row in self.table.clients.items()
        }
        served = {
            n
            for n, row in self.table.clients.items()
            if row.phase is Phase.SERVED and not row.hold.excess_bytes
        }
        closed = decide()
        self.closed.update(closed)
        assert not served & set(closed)
        kept = [before[n] for n in before if n in self.table.clients]
        for number in closed:
            assert before[number] >= max(kept, default=0)

    @stateful.rule()
    def connect(self):
        if len(self.table.clients) >= MAX_CONNECTIONS:
            before = dict(self.table.clients)
            made_room = self.table.make_room()
            if made_room is None:
                rows = self.table.clients.values()
                assert all(r.phase is Phase.SERVED for r in rows)
                assert not any(r.hold.excess_bytes for r in rows)
                return
            self.closed.add(made_room)
            row = before[made_room]
            assert row.phase is not Phase.SERVED or row.hold.excess_bytes
        self.numbers += 1
        self.table.add(self.numbers)

    @stateful.rule(data=strategies.data(), size=strategies.integers(1, 200))
    def send_ahead(self, data, size):
        number = self.pick(data, *Phase)
        if number is not None:
            self.hold(number, ahead_bytes=size, kernel_bytes=size // 2)

    @stateful.rule(data=strategies.data(), size=strategies.integers(1, 600))
    def send_body(self, data, size):
        number = self.pick(data, Phase.SILENT, Phase.IDLE, Phase.RECEIVING)
        if number is None:
            return
        self.table.enter(number, Phase.RECEIVING)
        decision = self.table.take_body(number, size)
        self.closed.update(decision.closed)
        if decision.is_taken:
            self.hold(number, body_bytes=size)

    @stateful.rule(data=strategies.data())
    def complete(self, data):
        number = self.pick(data, Phase.RECEIVING)
        if number is not None:
            self.table.enter(number, Phase.SERVED)

    @stateful.rule(data=strategies.data(), size=strategies.integers(1, 200))
    def answer(self, data, size):
        number = self.pick(data, Phase.SERVED)
        if number is not None:
            self.table.enter(number, Phase.UNREAD)
            self.hold(number, unread_bytes=size)

    @stateful.rule(data=strategies.data())
    def read(self, data):
        number = self.pick(data, Phase.UNREAD)
        if number is not None:
            self.table.enter(number, Phase.IDLE)
            self.hold(number, unread_bytes=0, body_bytes=0)

    @stateful.rule(data=strategies.data(), size=strategies.integers(0, 9_000))
    def read_some(self, data, size):
        number = self.pick(data, Phase.UNREAD)
        if number is not None:
            self.table.note_read(number, size)

    @stateful.rule(data=strategies.data())
    def leave(self, data):
        number = self.pick(data, *Phase)
        if number is not None:
            self.table.close(number)
            self.closed.add(number)

    @stateful.rule()
    def end_closed_requests(self):
        while self.closed:
            self.table.remove(self.closed.pop())
        assert self.table.closing_bytes == 0

    @stateful.rule(passed_ms=strategies.integers(1, 3 * LONG_MS))
    def wait(self, passed_ms):
        self.clock.advance(passed_ms)

    @stateful.invariant()
    def bounds_hold(self):
        assert self.table.total_bytes <= MAX_BYTES
        assert len(self.table.clients) <= MAX_CONNECTIONS
        open_bytes = sum(
            row.hold.total_bytes for row in self.table.clients.values()
        )
        assert open_bytes == self.table.open_bytes
        assert self.table.in_excess == {
            number
            for number, row in self.table.clients.items()
            if row.hold.excess_bytes
        }

    def teardown(self):
        for number in range(1, self.numbers + 1):
            self.table.remove(number)
        assert self.table.total_bytes == 0
        assert not self.table.clients
        assert not any(self.table.phases.values())


TestCrowd = Crowd.TestCase
TestCrowd.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
