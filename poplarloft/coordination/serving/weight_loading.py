"""Which engine loads which weight version, and when."""

from collections import abc
import dataclasses
import math

from poplarloft.coordination.serving import planning
from poplarloft import state

__all__ = ["LoadVersion", "WeightLoadPlanner"]

LOADING_SHARE = 0.4  # more engines at once load more slowly
RETRY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class LoadVersion:
    """Action: order an engine to load a version."""

    sampler: state.Sampler
    target: state.WeightsTarget


class WeightLoadPlanner:
    """Decides on orders to load weights.

    Trainers allow some versions behind the newest, so engines take turns:
    with one version allowed behind, half of the engines load each version
    and the others serve meanwhile. An engine that no lot may use any more
    loads first.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.targets: dict[str, state.WeightsTarget] = {}
        self.allowed_lag: dict[str, int] = {}
        self.retry_at_ms: dict[planning.EngineId, int] = {}

    def update_target(self, target: state.WeightsTarget) -> None:
        """Take a version that a trainer named; older ones are dropped."""
        before = self.targets.get(target.model)
        if before is None or before.version < target.version:
            self.targets[target.model] = target

    def update_allowed_lag(self, lot: state.Lot) -> None:
        """Learn from a lot how far behind its model's engines may be."""
        target = self.targets.get(lot.model)
        newest = lot.min_version if target is None else target.version
        self.allowed_lag[lot.model] = max(0, newest - lot.min_version)

    def next_loads(
        self, engines: abc.Mapping[planning.EngineId, planning.EngineView]
    ) -> list[LoadVersion]:
        """Return the orders to give now; marks their models as loading."""
        now_ms = self.clock.now_ms()
        most = max(1, math.ceil(LOADING_SHARE * len(engines)))
        busy = sum(1 for view in engines.values() if view.loading)
        found = []
        for view, target in self._wanted(list(engines.values())):
            if busy >= most:
                break
            life = view.sampler.engine_id
            if view.loading or self.retry_at_ms.get(life, 0) > now_ms:
                continue
            view.loading.add(target.model)
            busy += 1
            found.append(LoadVersion(view.sampler, target))
        return found

    def on_failed(self, sampler: state.Sampler) -> None:
        """Note an order that was not carried out."""
        self.retry_at_ms[sampler.engine_id] = self.clock.now_ms() + RETRY_MS

    def _wanted(
        self, engines: abc.Sequence[planning.EngineView]
    ) -> list[tuple[planning.EngineView, state.WeightsTarget]]:
        """Return what should load, models with fewest fresh engines first."""
        rows = []
        for target in self.targets.values():
            fresh, behind = self._split(engines, target)
            allowed = self.allowed_lag.get(target.model, 0)
            stale = [
                view
                for view in behind
                if target.version - view.versions[target.model] > allowed
            ]
            enough = math.ceil(len(engines) / (allowed + 1))
            missing = max(len(stale), enough - fresh)
            behind.sort(
                key=lambda v: (v.versions[target.model], len(v.running))
            )
            for place, view in enumerate(behind[:missing]):
                rows.append((fresh + place, view, target))
        rows.sort(key=lambda row: row[0])
        return [(view, target) for _, view, target in rows]

    def _split(
        self,
        engines: abc.Sequence[planning.EngineView],
        target: state.WeightsTarget,
    ) -> tuple[int, list[planning.EngineView]]:
        """Return how many have a version or load it, and those behind."""
        model = target.model
        behind = [
            view
            for view in engines
            if view.versions.get(model, target.version) < target.version
            and model not in view.loading
        ]
        return len(engines) - len(behind), behind
