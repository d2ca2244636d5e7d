"""Items start only where the configuration of the moment allows."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from poplarloft.coordination import serving
from poplarloft.coordination.serving.rollouts import lot_plan
from poplarloft.coordination.serving.rollouts import outputs
from poplarloft import state

SERVICES = ("a", "b", "c")
WEIGHTS = st.lists(
    st.sampled_from([0.0, 0.3, 1.0]), min_size=3, max_size=3
).filter(any)


def configuration(version, weights):
    """Return a configuration with a route, or none without weights."""
    targets = tuple(
        state.Target(service, weight)
        for service, weight in zip(SERVICES, weights or (), strict=False)
    )
    route = state.PathRoute("r", "h", "/l/", state.RouteKind.LOTS, targets)
    routes = (route,) if weights else ()
    return state.ServingConfiguration(
        version, routes, {}, state.ServingLimits()
    )


def engine(service, number, born_ms=1):
    return state.Sampler(
        f"{service}{number}",
        born_ms,
        service,
        state.Address("127.0.0.1", 1),
        "z",
        2,
        versions={"m": 1},
        software_version="1",
    )


def lot(lot_id, items):
    return state.Lot(
        lot_id,
        "h",
        "/l/x",
        "m",
        0,
        1,
        1,
        tuple(
            state.LotItem(f"{lot_id}-{n}", "/l/1", (), b"", 710, "g")
            for n in range(items)
        ),
    )


class Scheduling(stateful.RuleBasedStateMachine):
    """A leader's planner while routes move and engines come and go."""

    def __init__(self):
        super().__init__()
        self.clock = state.ManualClock(1_000)
        self.planner = serving.Planner(self.clock, lambda zone: True)
        self.engines = [engine("a", 0), engine("b", 0)]
        self.lots = 0
        self.running = {}
        self.planner.update_engines(self.engines)
        self.apply((1.0, 0.0, 0.0))

    def apply(self, weights):
        previous = getattr(self, "configuration", None)
        version = 1 if previous is None else previous.version + 1
        self.configuration = configuration(version, weights)
        self.planner.update_routes(self.configuration)

    @stateful.rule(weights=st.none() | WEIGHTS)
    def configure(self, weights):
        self.apply(weights)

    @stateful.rule(items=st.integers(1, 6))
    def submit(self, items):
        added = lot(f"l{self.lots}", items)
        route = self.configuration.find_lot_route(added)
        if route is not None:
            self.lots += 1
            self.planner.add_lot(added, route, self.clock.now_ms(), ())

    @stateful.rule(service=st.sampled_from(SERVICES), joins=st.booleans())
    def change_engines(self, service, joins):
        if joins:
            self.engines.append(engine(service, len(self.engines)))
        else:
            self.engines = [e for e in self.engines if e.service != service]
        self.planner.update_engines(self.engines)

    @stateful.rule(events=st.integers(0, 3))
    def start(self, events):
        route = self.configuration.find_lot_route(lot("x", 1))
        allowed = serving.allowed_services(route.targets) if route else ()
        for start in self.planner.next_starts():
            assert start.sampler.service in allowed
            assert start.sampler in self.engines
            output = next(
                output
                for group in self.planner.lots[start.lot_id].groups.values()
                for output in group
                if output.item.id == start.item_id
            )
            output.begin_run(start.sampler)
            for number in range(len(output.events) + 1, events + 1):
                output.append(number, start.sampler.service, 1)
            assert set(output.events) <= {start.sampler.service}
            self.running[start.item_id] = (output, start)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data())
    def cut(self, data):
        item_id = data.draw(st.sampled_from(sorted(self.running)))
        output, start = self.running.pop(item_id)
        output.stage = outputs.Stage.WAITING
        view = self.planner.engines.get(start.sampler.engine_id)
        if view is not None:
            view.running.discard(start.run_id)

    @stateful.rule(passed_ms=st.integers(0, lot_plan.UNROUTED_GRACE_MS))
    def give_up(self, passed_ms):
        self.clock.advance(passed_ms)
        for plan in self.planner.lots.values():
            expired = plan.expired_outputs(self.clock.now_ms())
            assert not (expired and self.configuration.routes)
            for output in expired:
                assert output.stage is outputs.Stage.WAITING
                output.stage = outputs.Stage.FAILED


TestScheduling = Scheduling.TestCase
TestScheduling.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


def test_a_waiting_item_starts_at_the_only_service_with_engines():
    clock = state.ManualClock(1_000)
    planner = serving.Planner(clock, lambda zone: True)
    planner.update_engines([engine("b", 0)])
    route = configuration(1, (1.0, 1.0, 0.0)).routes[0]
    planner.add_lot(lot("l", 2), route, 1_000, ())
    assert {s.sampler.service for s in planner.next_starts()} == {"b"}


def test_an_output_begins_anew_at_another_service():
    clock = state.ManualClock(1_000)
    planner = serving.Planner(clock, lambda zone: True)
    planner.update_engines([engine("a", 0), engine("b", 0)])
    before = configuration(1, (1.0, 0.0, 0.0))
    plan = planner.add_lot(lot("l", 1), before.routes[0], 1_000, ())
    (start,) = planner.next_starts()
    output = plan.groups["g"][0]
    output.begin_run(start.sampler)
    output.append(1, "one", 1)
    output.stage = outputs.Stage.WAITING
    planner.update_routes(configuration(2, (0.0, 1.0, 0.0)))
    (start,) = planner.next_starts()
    assert (start.sampler.service, output.events) == ("b", [])


def test_a_checkpoint_keeps_the_service_of_an_output():
    output = serving.ItemOutput(lot("l", 1).items[0])
    output.begin_run(engine("a", 0))
    for number in range(1, 4):
        output.append(number, "event", 1)
    clock = state.ManualClock(1_000)
    plan = serving.CheckpointPlan(clock, 1, 1_000)
    (increment,) = plan.next_increments([output])
    collector = serving.CheckpointCollector()
    collector.add(increment)
    restored = collector.checkpoints[output.item.id].to_output(output.item)
    assert restored.may_continue_at(engine("a", 1))
    other = dataclasses.replace(engine("b", 0), software_version="1")
    assert not restored.may_continue_at(other)
