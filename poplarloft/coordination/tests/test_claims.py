"""Interleavings of claims: lost responses, late writes, crashes, expiry."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from poplarloft import coordination
from poplarloft.coordination import claims
from poplarloft import state

DAEMONS = 3
SETTINGS = coordination.ClaimSettings(
    window_ms=1_000,
    horizon_ms=4_000,
    skew_ms=500,
    calls_per_s=50.0,
    call_burst=2.0,
    max_cache_age_ms=200,
    max_claims=50,
    retry_ms=10,
)
SKEWS_MS = (-250, 0, 250)
# The third key's window has the same ring position as the first key's.
ISSUED_MS = (10_000, 10_300, 10_000 + SETTINGS.ring_size * 1_000)


REACHED = set()


class _KeyValueStore:
    """Key-value service that stores one document per ring position."""

    def __init__(self):
        self.rows = {}

    def read(self, ledger_id):
        position = ledger_id.window % SETTINGS.ring_size
        return self.rows.get(position, (state.Ledger(window=-1), 0))

    def swap(self, action):
        position = action.ledger_id.window % SETTINGS.ring_size
        _, version = self.read(action.ledger_id)
        if version != action.expected_version:
            return state.WriteResult(state.WriteOutcome.CONFLICT)
        self.rows[position] = (action.ledger, version + 1)
        return state.WriteResult(state.WriteOutcome.APPLIED, version + 1)


class _Daemon:
    """A daemon's claim table and its calls in flight."""

    def __init__(self, clock, number, incarnation):
        self.name = f"daemon-{number}#{incarnation}"
        wall = state.ManualClock(clock.now_ms() + SKEWS_MS[number])
        self.wall = wall
        self.table = coordination.ClaimTable(clock, wall, SETTINGS)
        self.calls = []


class ClaimMachine(stateful.RuleBasedStateMachine):
    """At most one attempt at a key may ever run."""

    def __init__(self):
        super().__init__()
        self.clock = state.ManualClock(10_000)
        self.store = _KeyValueStore()
        self.crashes = 0
        self.daemons = [_Daemon(self.clock, n, 0) for n in range(DAEMONS)]
        self.late_writes = []
        self.attempts = {}
        self.granted = {}
        self.ran = {}
        self.undecided = {}

    def _perform(self, daemon, actions):
        for action in actions:
            if isinstance(action, coordination.ClaimDecided):
                self._decide(daemon, action)
            else:
                daemon.calls.append(action)

    def _decide(self, daemon, decided):
        assert self.undecided.pop(decided.attempt) is daemon
        REACHED.add(decided.decision)
        if decided.decision is coordination.ClaimDecision.GRANTED:
            key = self.attempts[decided.attempt]
            self.granted[decided.attempt] = (daemon, key)

    @stateful.rule(
        number=strategies.integers(0, DAEMONS - 1),
        key_number=strategies.integers(0, len(ISSUED_MS) - 1),
        settles=strategies.booleans(),
    )
    def arrive(self, number, key_number, settles):
        daemon = self.daemons[number]
        key = state.ClaimKey(b"key-%d" % key_number, ISSUED_MS[key_number])
        attempt = len(self.attempts) + 1
        self.attempts[attempt] = key
        self.undecided[attempt] = daemon
        claim = state.Claim(attempt, daemon.name)
        self._perform(daemon, daemon.table.request(key, claim, 300))
        while settles and daemon.calls:
            self.answer_call(number, "ok")

    @stateful.precondition(lambda self: any(d.calls for d in self.daemons))
    @stateful.rule(
        data=strategies.data(),
        mode=strategies.sampled_from(["ok", "ok", "ok", "lost", "late"]),
    )
    def call_is_answered(self, data, mode):
        busy = [n for n in range(DAEMONS) if self.daemons[n].calls]
        self.answer_call(data.draw(strategies.sampled_from(busy)), mode)

    def answer_call(self, number, mode):
        daemon = self.daemons[number]
        call = daemon.calls.pop(0)
        if isinstance(call, coordination.ReadLedger):
            found = self.store.read(call.ledger_id) if mode == "ok" else None
            actions = daemon.table.on_read(call.ledger_id, found)
        else:
            actions = self._answer_write(daemon, call, mode)
        self._perform(daemon, actions)

    def _answer_write(self, daemon, call, mode):
        write = state.WriteResult(state.WriteOutcome.UNKNOWN)
        if mode == "late":
            self.late_writes.append(call)
        else:
            applied = self.store.swap(call)
            if mode == "ok":
                write = applied
        return daemon.table.on_write(call.ledger_id, call.ledger, write)

    @stateful.precondition(lambda self: self.late_writes)
    @stateful.rule()
    def late_write_arrives(self):
        self.store.swap(self.late_writes.pop(0))

    @stateful.rule(
        duration_ms=strategies.sampled_from([20, 20, 150, 150, 3_000])
    )
    def time_passes(self, duration_ms):
        self.clock.advance(duration_ms)
        for daemon in self.daemons:
            daemon.wall.advance(duration_ms)
            self._perform(daemon, daemon.table.tick())

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule()
    def granted_request_runs(self):
        REACHED.add("ran")
        _, (_, key) = self.granted.popitem()
        self.ran[key.digest] = self.ran.get(key.digest, 0) + 1

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule()
    def granted_request_fails_unrun(self):
        REACHED.add("released")
        attempt, (daemon, key) = self.granted.popitem()
        self._perform(daemon, daemon.table.release(key, attempt))

    @stateful.rule(number=strategies.integers(0, DAEMONS - 1))
    def daemon_crashes(self, number):
        crashed = self.daemons[number]
        self.crashes += 1
        self.daemons[number] = _Daemon(self.clock, number, self.crashes)
        self.late_writes += [
            call
            for call in crashed.calls
            if isinstance(call, coordination.WriteLedger)
        ]
        for attempts in (self.granted, self.undecided):
            for attempt, holder in list(attempts.items()):
                if crashed in (
                    holder,
                    holder[0] if attempts is self.granted else 0,
                ):
                    del attempts[attempt]

    @stateful.invariant()
    def at_most_one_right_to_run(self):
        for digest in {key.digest for key in self.attempts.values()}:
            rights = sum(
                key.digest == digest for _, key in self.granted.values()
            )
            assert rights + self.ran.get(digest, 0) <= 1, digest

    def teardown(self):
        """Check that every request gets a decision once the store works."""
        for _ in range(400):
            if not self.undecided:
                return
            for number in range(DAEMONS):
                while self.daemons[number].calls:
                    self.answer_call(number, "ok")
            self.time_passes(20)
        raise AssertionError(f"undecided: {self.undecided}")


def test_claims_hold_in_any_interleaving():
    REACHED.clear()
    stateful.run_state_machine_as_test(
        ClaimMachine,
        settings=hypothesis.settings(max_examples=300, stateful_step_count=50),
    )
    decisions = coordination.ClaimDecision
    assert {
        decisions.GRANTED,
        decisions.HELD,
        decisions.EXPIRED,
        decisions.UNAVAILABLE,
        "ran",
        "released",
    } <= REACHED


def _make_table(clock, **changes):
    settings = coordination.ClaimSettings(**changes)
    return coordination.ClaimTable(clock, clock, settings)


def _key(number, clock):
    return state.ClaimKey(b"%016d" % number, clock.now_ms())


def test_claims_that_arrive_during_a_write_share_the_next_one():
    clock = state.ManualClock(1_000_000)
    table = _make_table(clock)
    (read,) = table.request(_key(0, clock), state.Claim(1, "a"), 1_000)
    for number in range(1, 100):
        claim = state.Claim(number + 1, "a")
        assert table.request(_key(number, clock), claim, 1_000) == []
    (write,) = table.on_read(read.ledger_id, (state.Ledger(window=-1), 0))
    assert len(write.ledger.claims) == 100
    applied = state.WriteResult(state.WriteOutcome.APPLIED, 1)
    decided = table.on_write(write.ledger_id, write.ledger, applied)
    assert {d.decision for d in decided} == {
        coordination.ClaimDecision.GRANTED
    }


def test_full_ledger_refuses_new_keys_without_running_them():
    clock = state.ManualClock(1_000_000)
    table = _make_table(clock, max_claims=1)
    (read,) = table.request(_key(0, clock), state.Claim(1, "a"), 1_000)
    held = {b"other": state.Claim(9, "b")}
    window = read.ledger_id.window
    (decided,) = table.on_read(read.ledger_id, (state.Ledger(window, held), 1))
    assert decided.decision is coordination.ClaimDecision.OVERLOADED


def test_ring_position_never_reverts_to_an_earlier_window():
    clock = state.ManualClock(1_000_000)
    table = _make_table(clock)
    (read,) = table.request(_key(0, clock), state.Claim(1, "a"), 1_000)
    later = state.Ledger(window=read.ledger_id.window + 128)
    (decided,) = table.on_read(read.ledger_id, (later, 7))
    assert decided.decision is coordination.ClaimDecision.EXPIRED


def test_timed_out_claim_is_released_when_its_late_write_shows():
    clock = state.ManualClock(1_000_000)
    table = _make_table(clock)
    key = _key(0, clock)
    (read,) = table.request(key, state.Claim(1, "a"), 50)
    (write,) = table.on_read(read.ledger_id, (state.Ledger(window=-1), 0))
    clock.advance(60)
    (decided,) = table.tick()
    assert decided.decision is coordination.ClaimDecision.UNAVAILABLE
    unknown = state.WriteResult(state.WriteOutcome.UNKNOWN)
    assert table.on_write(write.ledger_id, write.ledger, unknown) == []
    clock.advance(200)
    (read,) = table.request(key, state.Claim(2, "a"), 500)
    (write,) = table.on_read(read.ledger_id, (write.ledger, 1))
    assert write.ledger.claims == {key.digest: state.Claim(2, "a")}


def test_claim_that_lost_the_race_is_held_by_the_winner():
    clock = state.ManualClock(1_000_000)
    table = _make_table(clock)
    key = _key(0, clock)
    (read,) = table.request(key, state.Claim(1, "a"), 1_000)
    (write,) = table.on_read(read.ledger_id, (state.Ledger(window=-1), 0))
    conflict = state.WriteResult(state.WriteOutcome.CONFLICT)
    (read,) = table.on_write(write.ledger_id, write.ledger, conflict)
    won = state.Ledger(write.ledger.window, {key.digest: state.Claim(2, "b")})
    (decided,) = table.on_read(read.ledger_id, (won, 1))
    held = coordination.ClaimDecision.HELD
    assert decided == coordination.ClaimDecided(1, held, "b")


def test_module_lists_its_public_names():
    assert set(claims.__all__) <= set(coordination.__all__)
