"""Deliveries with lost responses, two senders, crashes and restarts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from poplarloft import coordination
from poplarloft import state

GROUPS = 2
PER_GROUP = 2
BOUND = 1
STEPS = 4
LOT = state.LotBody(
    "pool", "model", "scorer", ("p",), GROUPS, PER_GROUP, STEPS, BOUND
)


REACHED = set()


class DeliveryMachine(stateful.RuleBasedStateMachine):
    """Each slot is accepted once, complete, labelled and within the bound."""

    def __init__(self):
        super().__init__()
        self.clock = state.ManualClock()
        self.engine_version = 0
        self.senders = [self._sender(), self._sender()]
        self.orders = [[], []]
        self.collector = coordination.StepCollector(
            "lot", "trainer#1", GROUPS, PER_GROUP, BOUND
        )
        self.answers = []
        self.taken = {}

    def _sender(self):
        return coordination.LotPlanner(
            self.clock, "lot", LOT, coordination.RateRedispatch(), 1
        )

    @stateful.rule(number=strategies.integers(0, 1))
    def pull(self, number):
        holdings = self.collector.next_pull()
        offer = self.senders[number].on_pull(holdings)
        if offer.stale:
            REACHED.add("stale dropped by the sender")
        if offer.samples:
            self.answers.append(offer.samples)

    @stateful.rule(
        number=strategies.integers(0, 1),
        first_fails=strategies.booleans(),
        lag=strategies.integers(0, 2),
    )
    def produce(self, number, first_fails, lag):
        """Start and finish generations of the step pulled last."""
        if self.senders[number].holdings is None:
            self.pull(number)
        self.plan(number)
        self.generate(number, first_fails, lag)
        while self.orders[number]:
            self.generate(number, False, lag)

    def plan(self, number):
        for action in self.senders[number].plan(3):
            if isinstance(action, coordination.GenerateSample):
                self.orders[number].append(action)

    def generate(self, number, fails, lag):
        if not self.orders[number]:
            return
        order = self.orders[number].pop(0)
        sender = self.senders[number]
        if fails:
            sender.on_generation_failed(order.attempt, 3)
            return
        version = max(0, self.engine_version - lag)
        spans = (state.Span(version, 0, 2),)
        sender.on_generated(order.attempt, (7, 8, 9), spans, "e#1")
        sender.on_scored(order.attempt, 0.5)

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(data=strategies.data())
    def answer_arrives(self, data):
        """Deliver any earlier response, in any order, possibly repeatedly."""
        samples = data.draw(strategies.sampled_from(self.answers))
        taken = self.collector.on_samples(samples)
        REACHED.add("taken" if taken else "nothing taken")
        for sample in taken:
            assert sample.slot not in self.taken
            version = self.collector.weight_version
            assert sample.oldest_version >= version - BOUND
            self.taken[sample.slot] = sample

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule()
    def answer_is_lost(self):
        self.answers.pop()

    @stateful.rule(number=strategies.integers(0, 1))
    def sender_crashes(self, number):
        self.senders[number] = self._sender()
        self.orders[number] = []

    @stateful.precondition(lambda self: self.collector.is_complete())
    @stateful.rule()
    def step_ends(self):
        REACHED.add("step ended")
        version = self.collector.weight_version + 1
        samples = self.collector.finish_step(version)
        assert len(samples) == GROUPS * PER_GROUP
        self.engine_version = version

    @stateful.rule()
    def version_is_published_within_a_step(self):
        version = self.collector.weight_version + 1
        self.collector.publish(version)
        self.engine_version = version

    def teardown(self):
        """Check that the current step completes once all parts work."""
        if self.collector.step >= STEPS:
            return
        for _ in range(200):
            if self.collector.is_complete():
                return
            self.pull(0)
            if self.answers:
                self.collector.on_samples(self.answers[-1])
            self.plan(0)
            while self.orders[0]:
                self.generate(0, False, 0)
        raise AssertionError(f"held {sorted(self.collector.held)}")


def test_deliveries_hold_in_any_interleaving():
    REACHED.clear()
    stateful.run_state_machine_as_test(
        DeliveryMachine,
        settings=hypothesis.settings(max_examples=250, stateful_step_count=50),
    )
    assert {
        "taken",
        "nothing taken",
        "step ended",
        "stale dropped by the sender",
    } == REACHED


def test_step_that_is_not_complete_cannot_be_finished():
    collector = coordination.StepCollector("lot", "t", 1, 1, 0)
    with pytest.raises(ValueError, match="holds 0 samples, expected 1"):
        collector.finish_step(1)


def test_version_cannot_go_back():
    collector = coordination.StepCollector(
        "lot", "t", 1, 1, 0, weight_version=3
    )
    with pytest.raises(ValueError, match="is below 3"):
        collector.publish(2)


def _ready_planner(step):
    planner = coordination.LotPlanner(
        state.ManualClock(), "lot", LOT, coordination.NoRedispatch(), 1
    )
    planner.on_pull(state.Holdings("t#1", step, step))
    return planner


def _planned_steps(planner):
    return {
        action.slot.step
        for action in planner.plan(100)
        if isinstance(action, coordination.GenerateSample)
    }


def test_restarted_trainer_goes_on_from_its_older_checkpoint():
    planner = _ready_planner(step=2)
    planner.on_pull(state.Holdings("t#2", 0, 0))
    assert 0 in _planned_steps(planner)


def test_late_pull_of_an_earlier_incarnation_does_not_move_the_lot_back():
    planner = _ready_planner(step=0)
    planner.on_pull(state.Holdings("t#2", 2, 2))
    planner.on_pull(state.Holdings("t#1", 0, 0))
    assert 0 not in _planned_steps(planner)
