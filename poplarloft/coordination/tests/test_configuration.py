"""Concurrent operators, lost write replies, monotonic revisions."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from returns import result

from poplarloft import coordination
from poplarloft import state

OWNERS = ("asociacion", "red-peritos")


def owner_document(name):
    body = state.OwnerBody(0.5, 10.0, (), ())
    return state.Document(state.DocumentKind.OWNER, name, name, body)


def route_document(owner, name, service="app"):
    body = state.RouteBody(service)
    return state.Document(state.DocumentKind.ROUTE, owner, name, body)


def first_head():
    documents = tuple(owner_document(owner) for owner in OWNERS)
    return state.Configuration(1, documents)


REACHED = set()


class HeadMachine(stateful.RuleBasedStateMachine):
    """No accepted document is lost and no revision decreases."""

    def __init__(self):
        super().__init__()
        self.head, self.version = first_head(), 1
        self.late = []
        self.writers = []
        self.sequences = {}
        self.proposals = []
        self.acknowledged = set()
        self.follower = coordination.HeadFollower()
        self.history = [self.head]

    @stateful.rule(
        owner=strategies.sampled_from(OWNERS),
        number=strategies.integers(0, 2),
        finishes=strategies.booleans(),
    )
    def operator_proposes(self, owner, number, finishes):
        proposal_id = f"p{len(self.proposals)}"
        document = route_document(owner, f"{owner}-{number}", proposal_id)
        self.proposals.append(proposal_id)
        self._begin(
            lambda head: coordination.propose(
                head, document, owner, proposal_id, 1_000
            ),
            None,
        )
        if finishes:
            self._finish_earlier(self.writers[-1][3])

    @stateful.rule(
        owner=strategies.sampled_from(OWNERS),
        data=strategies.data(),
        disputes=strategies.booleans(),
    )
    def operator_answers(self, owner, data, disputes):
        if not self.proposals:
            return
        chosen = data.draw(strategies.sampled_from(self.proposals))
        if disputes:
            self._begin(
                lambda head: coordination.dispute(head, chosen, owner, "no"),
                None,
            )
        else:
            self._begin(
                lambda head: coordination.accept(head, chosen, owner),
                (chosen, owner),
            )

    def _begin(self, change, accepted):
        writer_name = f"w{len(self.writers) % 4}"
        sequence = self.sequences.get(writer_name, 0) + 1
        self.sequences[writer_name] = sequence
        mark = state.HighWaterMark(writer_name, sequence)
        writer = coordination.HeadWriter(change, mark)
        self._finish_earlier(writer_name)
        self.writers.append([writer, writer.start(), accepted, writer_name])

    def _finish_earlier(self, name):
        """Finish the writer's earlier change; it writes one at a time."""
        for row in self.writers:
            while row[3] == name and not self._is_done(row):
                self._step(row, "ok")

    def _is_done(self, row):
        return isinstance(row[1], coordination.WriteDone)

    def _open_rows(self):
        return [row for row in self.writers if not self._is_done(row)]

    @stateful.precondition(lambda self: self._open_rows())
    @stateful.rule(
        data=strategies.data(),
        mode=strategies.sampled_from(["ok", "ok", "lost", "late"]),
    )
    def pending_call_returns(self, data, mode):
        row = data.draw(strategies.sampled_from(self._open_rows()))
        self._step(row, mode)

    def _step(self, row, mode):
        writer, action = row[0], row[1]
        if isinstance(action, coordination.ReadHead):
            row[1] = writer.on_read(self.head, self.version)
        else:
            row[1] = writer.on_write(self._write(action, mode), action.head)
        if self._is_done(row):
            self._check_outcome(row)

    def _write(self, action, mode):
        REACHED.add(mode)
        if mode == "late":
            self.late.append(action)
            return state.WriteOutcome.UNKNOWN
        outcome = self._apply(action)
        return state.WriteOutcome.UNKNOWN if mode == "lost" else outcome

    def _apply(self, action):
        if action.expected_version != self.version:
            return state.WriteOutcome.CONFLICT
        self.head, self.version = action.head, self.version + 1
        self.history.append(self.head)
        return state.WriteOutcome.APPLIED

    def _check_outcome(self, row):
        writer, outcome = row[0], row[1].outcome
        REACHED.add(type(outcome).__name__)
        if isinstance(outcome, result.Success):
            if row[2] is not None:
                self.acknowledged.add(row[2])
            return
        applied = any(writer.mark in head.marks for head in self.history)
        assert not applied, "a change that took effect was reported as refused"

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def late_write_arrives(self):
        self._apply(self.late.pop(0))

    @stateful.rule(data=strategies.data())
    def follower_is_offered_any_head(self, data):
        head = data.draw(strategies.sampled_from(self.history))
        before = self.follower.revision
        taken = self.follower.offer(head)
        assert taken == (head.revision > before)
        assert self.follower.revision >= before

    @stateful.invariant()
    def revisions_grow_with_each_document_in_force(self):
        for older, newer in zip(self.history, self.history[1:], strict=False):
            changed = older.documents != newer.documents
            assert newer.revision >= older.revision
            assert not changed or newer.revision > older.revision

    @stateful.invariant()
    def acknowledged_acceptances_took_effect(self):
        for proposal_id, owner in self.acknowledged:
            proposal = next(
                p for p in self.head.proposals if p.proposal_id == proposal_id
            )
            assert owner in proposal.accepted_by

    @stateful.invariant()
    def proposals_that_all_accepted_are_in_force(self):
        for proposal in self.head.proposals:
            if set(proposal.accepted_by) == set(OWNERS):
                assert proposal.state is state.ProposalState.IN_FORCE
                REACHED.add("in force")


def test_head_invariants_hold_in_any_interleaving():
    REACHED.clear()
    stateful.run_state_machine_as_test(
        HeadMachine,
        settings=hypothesis.settings(max_examples=200, stateful_step_count=40),
    )
    assert {"Success", "Failure", "in force", "ok", "lost", "late"} == REACHED


def test_undisputed_proposal_comes_into_force_when_its_window_closes():
    document = route_document("red-peritos", "find")
    head = coordination.propose(
        first_head(), document, "red-peritos", "p", 1_000
    ).unwrap()
    assert coordination.put_due_in_force(head, 999).unwrap() == head
    changed = coordination.put_due_in_force(head, 1_000).unwrap()
    assert changed.revision == head.revision + 1
    assert changed.find(state.DocumentKind.ROUTE, "find") == document


def test_disputed_proposal_never_comes_into_force():
    document = route_document("red-peritos", "find")
    head = coordination.propose(
        first_head(), document, "red-peritos", "p", 1_000
    ).unwrap()
    head = coordination.dispute(head, "p", "asociacion", "price").unwrap()
    assert coordination.put_due_in_force(head, 2_000).unwrap() == head
    refused = coordination.accept(head, "p", "asociacion").failure()
    assert refused.detail == "proposal p is already disputed"


def test_an_owner_cannot_propose_for_the_other():
    document = route_document("asociacion", "find")
    refused = coordination.propose(
        first_head(), document, "red-peritos", "p", 1_000
    ).failure()
    assert refused.verdict is state.Verdict.NOT_RUN
    assert "belongs to owner 'asociacion'" in refused.detail
