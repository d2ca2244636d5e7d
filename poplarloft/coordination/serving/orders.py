"""Which engine loads which weight version, and when."""

from collections import abc
import dataclasses
import math

from poplarloft.coordination.serving import planning
from poplarloft import state

__all__ = ["LoadVersion", "LoadPlanner"]

LOADING_SHARE = 0.4  # more engines at once load more slowly
RETRY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class LoadVersion:
    """Action: order an engine to load a version."""

    sampler: state.Sampler
    target: state.WeightsTarget


class LoadPlanner:
    """Decides on orders to load weights.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.targets: dict[str, state.WeightsTarget] = {}
        self.retry_at_ms: dict[planning.Life, int] = {}

    def name_version(self, target: state.WeightsTarget) -> None:
        """Take a version that a trainer named; older ones are dropped."""
        before = self.targets.get(target.model)
        if before is None or before.version < target.version:
            self.targets[target.model] = target

    def loads(
        self, engines: abc.Mapping[planning.Life, planning.EngineView]
    ) -> list[LoadVersion]:
        """Return the orders to give now; marks their models as loading."""
        now_ms = self.clock.now_ms()
        most = max(1, math.floor(LOADING_SHARE * len(engines)))
        busy = sum(1 for view in engines.values() if view.loading)
        found = []
        for view, target in self._wanted(engines):
            if busy >= most:
                break
            life = view.sampler.life
            if view.loading or self.retry_at_ms.get(life, 0) > now_ms:
                continue
            view.loading.add(target.model)
            busy += 1
            found.append(LoadVersion(view.sampler, target))
        return found

    def on_failed(self, sampler: state.Sampler) -> None:
        """Note an order that was not carried out."""
        self.retry_at_ms[sampler.life] = self.clock.now_ms() + RETRY_MS

    def _wanted(
        self, engines: abc.Mapping[planning.Life, planning.EngineView]
    ) -> list[tuple[planning.EngineView, state.WeightsTarget]]:
        """Return what is behind, furthest behind and emptiest first."""
        rows = [
            (view, target)
            for view in engines.values()
            for target in self.targets.values()
            if view.versions.get(target.model, target.version)
            < target.version
        ]
        rows.sort(
            key=lambda row: (
                row[0].versions[row[1].model] - row[1].version,
                len(row[0].running),
            )
        )
        return rows
