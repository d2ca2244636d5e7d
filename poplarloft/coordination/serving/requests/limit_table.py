"""What an instance knows of the limits that upstreams have named."""

from collections import abc
import dataclasses

from poplarloft.coordination.serving.rollouts import engine_view
from poplarloft import state

__all__ = ["KnownLimit", "LimitTable"]


@dataclasses.dataclass(frozen=True, slots=True)
class KnownLimit:
    """The newest word on the limit of one run of an upstream.

    Parameters
    ----------
    rate_per_s : float or None
        Requests per second of all instances; None once the upstream has
        stopped naming a limit.
    heard_at_ms : int
        Time at which the response that told it arrived.
    heard_by : str
        Name of the instance that got that response.
    """

    rate_per_s: float | None
    heard_at_ms: int
    heard_by: str


class LimitTable:
    """The limits of upstreams, from responses and from other instances.

    The newest word counts. Upstreams that never named a limit take no
    space, and a limit belongs to one run of an upstream: after a restart
    it has none.

    Parameters
    ----------
    clock : state.Clock
        Clock that also advances while the machine is suspended.
    name : str
        Name of this instance.
    """

    def __init__(self, clock: state.Clock, name: str) -> None:
        self.clock = clock
        self.name = name
        self.known: dict[engine_view.EngineId, KnownLimit] = {}

    def rate_of(self, engine_id: engine_view.EngineId) -> float | None:
        """Return the limit of an upstream, None if it has none."""
        found = self.known.get(engine_id)
        return None if found is None else found.rate_per_s

    def on_response(
        self, engine_id: engine_view.EngineId, named: state.NamedLimit
    ) -> bool:
        """Apply what a response says; return whether the limit changed.

        An invalid value changes nothing.
        """
        if named.error:
            return False
        if named.rate_per_s is None and engine_id not in self.known:
            return False
        return self._replace(
            engine_id,
            KnownLimit(named.rate_per_s, self.clock.now_ms(), self.name),
        )

    def on_report(self, report: state.LimitReport) -> bool:
        """Apply another instance's knowledge unless this is newer.

        What this instance has heard itself is not taken back from others,
        as it seems newer by the time that the message took. Returns
        whether the limit changed.
        """
        heard_at_ms = self.clock.now_ms() - max(0, report.age_ms)
        found = self.known.get(report.engine_id)
        if found is not None and (
            found.heard_at_ms >= heard_at_ms
            or report.heard_by == found.heard_by == self.name
        ):
            return False
        return self._replace(
            report.engine_id,
            KnownLimit(report.rate_per_s, heard_at_ms, report.heard_by),
        )

    def report_of(
        self, engine_id: engine_view.EngineId
    ) -> state.LimitReport | None:
        """Return what is known of an upstream, as sent to others."""
        found = self.known.get(engine_id)
        if found is None:
            return None
        return state.LimitReport(
            *engine_id,
            found.rate_per_s,
            self.clock.now_ms() - found.heard_at_ms,
            found.heard_by,
        )

    def keep_only(
        self, engine_ids: abc.Container[engine_view.EngineId]
    ) -> list[engine_view.EngineId]:
        """Forget the upstreams that are no longer announced; return them."""
        gone = [known for known in self.known if known not in engine_ids]
        for engine_id in gone:
            del self.known[engine_id]
        return gone

    def _replace(
        self, engine_id: engine_view.EngineId, limit: KnownLimit
    ) -> bool:
        changed = self.rate_of(engine_id) != limit.rate_per_s
        self.known[engine_id] = limit
        return changed
