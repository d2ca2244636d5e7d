"""Scheduling of weight loads on engines."""

from collections import abc
import dataclasses
import itertools
import math

from poplarloft.coordination.serving.rollouts import engine_view
from poplarloft import state

__all__ = ["LoadVersion", "WeightLoadPlanner"]

LOADING_SHARE = 0.4  # more engines at once load more slowly
RETRY_DELAY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class LoadVersion:
    """Action: tell an engine to load a weight version."""

    sampler: state.Sampler
    target: state.WeightsTarget


class WeightLoadPlanner:
    """Decide which engines load new weights, and when.

    Trainers accept versions that lag behind the newest one, so engines
    take turns: with an allowed lag of one version, half of the engines load
    each version while the others serve; each service by itself, as a lot
    may be restricted to one. An engine that is too far behind for any lot
    loads first.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.targets: dict[str, state.WeightsTarget] = {}
        self.allowed_lag: dict[str, int] = {}
        self.retry_at_ms: dict[engine_view.EngineId, int] = {}

    def update_target(self, target: state.WeightsTarget) -> None:
        """Set the newest version of a model; ignore older versions."""
        previous = self.targets.get(target.model)
        if previous is None or previous.version < target.version:
            self.targets[target.model] = target

    def update_allowed_lag(self, lot: state.Lot) -> None:
        """Set the allowed lag of a model from its newest lot."""
        target = self.targets.get(lot.model)
        newest = lot.min_version if target is None else target.version
        self.allowed_lag[lot.model] = max(0, newest - lot.min_version)

    def next_loads(
        self,
        engines: abc.Mapping[engine_view.EngineId, engine_view.EngineView],
    ) -> list[LoadVersion]:
        """Return the loads to start now, and mark their models as loading."""
        now_ms = self.clock.now_ms()
        max_loading = max(1, math.ceil(LOADING_SHARE * len(engines)))
        loading_count = sum(1 for view in engines.values() if view.loading)
        loads = []
        for view, target in self._due_loads(list(engines.values())):
            if loading_count >= max_loading:
                break
            engine_id = view.sampler.engine_id
            if view.loading or self.retry_at_ms.get(engine_id, 0) > now_ms:
                continue
            view.loading.add(target.model)
            loading_count += 1
            loads.append(LoadVersion(view.sampler, target))
        return loads

    def on_failed(self, sampler: state.Sampler) -> None:
        """Delay the next load on an engine that did not load its version."""
        self.retry_at_ms[sampler.engine_id] = (
            self.clock.now_ms() + RETRY_DELAY_MS
        )

    def _due_loads(
        self, engines: abc.Sequence[engine_view.EngineView]
    ) -> list[tuple[engine_view.EngineView, state.WeightsTarget]]:
        """Return due loads, first of models with fewest up-to-date engines."""
        rows = []
        for target, group in itertools.product(
            self.targets.values(), _by_service(engines)
        ):
            updated_count, outdated = self._split_by_version(group, target)
            lag = self.allowed_lag.get(target.model, 0)
            too_old = [
                view
                for view in outdated
                if target.version - view.versions[target.model] > lag
            ]
            required_count = math.ceil(len(group) / (lag + 1))
            load_count = max(len(too_old), required_count - updated_count)
            outdated.sort(
                key=lambda v: (v.versions[target.model], len(v.running))
            )
            for index, view in enumerate(outdated[:load_count]):
                rows.append((updated_count + index, view, target))
        rows.sort(key=lambda row: row[0])
        return [(view, target) for _, view, target in rows]

    def _split_by_version(
        self,
        engines: abc.Sequence[engine_view.EngineView],
        target: state.WeightsTarget,
    ) -> tuple[int, list[engine_view.EngineView]]:
        """Return how many engines have or load a version, and the others."""
        model = target.model
        outdated = [
            view
            for view in engines
            if view.versions.get(model, target.version) < target.version
            and model not in view.loading
        ]
        return len(engines) - len(outdated), outdated


def _by_service(
    engines: abc.Iterable[engine_view.EngineView],
) -> list[list[engine_view.EngineView]]:
    """Return the engines of each service."""
    groups: dict[str, list[engine_view.EngineView]] = {}
    for view in engines:
        groups.setdefault(view.sampler.service, []).append(view)
    return list(groups.values())
