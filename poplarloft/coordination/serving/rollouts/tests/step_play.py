"""A play of trainers that share engines, on a manual clock."""

import dataclasses
import random

from poplarloft.coordination import serving
from poplarloft import state

CADENCE_MS = 4_000
TRAINING_MS = 1_000
EVENT_MS = 50
TOKENS_PER_EVENT = 71
TICK_MS = 25
ROUTE = state.PathRoute(
    "r", "h", "/l/", state.RouteKind.LOTS, (state.Target("pool"),)
)


@dataclasses.dataclass
class Trainer:
    """Asks for a step at its cadence, two steps under way at most.

    Parameters
    ----------
    delays_ms : dict of int to int
        By step, how much longer than usual its training takes.
    """

    model: str
    groups: int
    items: int  # of a group
    events: int  # of an output, on average
    wanted: int
    spread: float = 0.3
    delays_ms: dict = dataclasses.field(default_factory=dict)
    asked_at_ms: list = dataclasses.field(default_factory=list)
    trained_at_ms: list = dataclasses.field(default_factory=list)
    idle_ms: int = 0

    def lot(self, step, rng):
        items = []
        for group in range(self.groups):
            for number in range(self.items):
                events = self.events * rng.uniform(
                    1 - self.spread, 1 + self.spread
                )
                items.append(
                    state.LotItem(
                        f"{self.model}-{step}-{group}-{number}",
                        "/l/1",
                        (),
                        b"",
                        round(events) * TOKENS_PER_EVENT,
                        f"g{group}",
                        1,
                    )
                )
        return state.Lot(
            f"{self.model}-{step}",
            "h",
            "/l/x",
            self.model,
            step,
            1,
            self.wanted,
            tuple(items),
        )

    def may_ask(self, now_ms):
        """Return whether the next step is scheduled and two before trained."""
        step = len(self.asked_at_ms)
        if now_ms < step * CADENCE_MS:
            return False
        return step < 2 or (
            len(self.trained_at_ms) >= step - 1
            and self.trained_at_ms[step - 2] <= now_ms
        )


class Play:
    """Trainers and engines, advanced tick by tick.

    Parameters
    ----------
    trainers : list of Trainer
        The trainers.
    slots : int
        Slots of all engines.
    slow : tuple of (int, int)
        Time in which half of the engines have half their pace.
    """

    def __init__(self, trainers, slots, slow=(0, 0), seed=1):
        self.clock = state.ManualClock(0)
        self.planner = serving.Planner(self.clock, lambda _: True)
        self.trainers = trainers
        self.slow = slow
        self.rng = random.Random(seed)
        self.runs = {}
        models = {trainer.model: 1 for trainer in trainers}
        count = -(-slots // 6)
        self.engines = [
            state.Sampler(
                f"e{n}",
                1,
                "pool",
                state.Address("127.0.0.1", 1),
                "z",
                min(6, slots - 6 * n),
                versions=models,
            )
            for n in range(count)
        ]
        self.planner.update_engines(self.engines)

    def advance(self, seconds):
        end_ms = self.clock.now_ms() + seconds * 1_000
        while self.clock.now_ms() < end_ms:
            self.tick()

    def tick(self):
        for trainer in self.trainers:
            self.step(trainer)
        for start in self.planner.next_starts():
            output = self.output_of(start)
            self.runs[start.item_id] = [start, output, 0.0]
        self.generate()
        self.clock.advance(TICK_MS)

    def output_of(self, start):
        plan = self.planner.lots[start.lot_id]
        return next(
            output
            for group in plan.groups.values()
            for output in group
            if output.item.id == start.item_id
        )

    def step(self, trainer):
        now_ms = self.clock.now_ms()
        if trainer.may_ask(now_ms):
            step = len(trainer.asked_at_ms)
            trainer.asked_at_ms.append(now_ms)
            lot = trainer.lot(step, self.rng)
            self.planner.add_lot(lot, ROUTE, now_ms, ())
        open_lots = [
            plan
            for plan in self.planner.lots.values()
            if plan.lot.model == trainer.model
        ]
        ready_ms = max(trainer.trained_at_ms, default=0)
        if open_lots and now_ms >= ready_ms:
            self.read(trainer, open_lots[0], now_ms)

    def read(self, trainer, plan, now_ms):
        """Train on a step once enough of its groups are whole."""
        whole = len(plan.groups) - len(plan.unfinished_groups())
        if whole < trainer.wanted:
            trainer.idle_ms += TICK_MS
            return
        delay_ms = trainer.delays_ms.get(plan.lot.step, 0)
        trainer.trained_at_ms.append(now_ms + TRAINING_MS + delay_ms)
        for output in self.planner.end_lot(plan.lot.id):
            self.end_run(output.item.id)
            self.planner.drop_reusable(output)

    def end_run(self, item_id):
        if item_id in self.runs:
            start, _, _ = self.runs.pop(item_id)
            view = self.planner.engines[start.sampler.engine_id]
            view.running.discard(start.run_id)

    def generate(self):
        now_ms = self.clock.now_ms()
        is_slow = self.slow[0] <= now_ms < self.slow[1]
        for item_id in list(self.runs):
            run = self.runs[item_id]
            start, output, _ = run
            slow = is_slow and int(start.sampler.name[1:]) % 2
            run[2] += TICK_MS / EVENT_MS * (0.5 if slow else 1.0)
            while run[2] >= len(output.events) + 1:
                output.append(len(output.events) + 1, "", 1)
            if (
                len(output.events) * TOKENS_PER_EVENT
                >= output.predicted_events * TOKENS_PER_EVENT
            ):
                output.stage = serving.Stage.SCORED
                self.end_run(item_id)

    def steps_asked(self):
        return [len(trainer.asked_at_ms) for trainer in self.trainers]

    def lags_ms(self):
        """Return how late each trainer was with its last step."""
        return [
            trainer.asked_at_ms[-1]
            - (len(trainer.asked_at_ms) - 1) * CADENCE_MS
            for trainer in self.trainers
        ]


def four_trainers():
    """Return trainers of uneven groups."""
    return [
        Trainer("short", 4, 16, 11, 4),
        Trainer("long", 4, 16, 19, 4),
        Trainer("many", 7, 8, 21, 6),
        Trainer("brief", 4, 16, 11, 4),
    ]


def slots_for(trainers, load):
    """Return the slots at which trainers on time take a share of the room."""
    work_ms = sum(
        trainer.groups * trainer.items * trainer.events * EVENT_MS
        for trainer in trainers
    )
    return round(work_ms / CADENCE_MS / load)
