"""Status report of one instance for operators."""

from poplarloft import coordination
from poplarloft.daemon import configuration
from poplarloft.daemon import rollouts
from poplarloft.daemon import upstreams
from poplarloft.protocol import operators as messages
from poplarloft import state
from poplarloft.transport import key_value

__all__ = ["InstanceReport"]


class InstanceReport:
    """Status and histograms of one instance.

    Parameters
    ----------
    incarnation, location
        Identity and location of the instance.
    shutdown, histograms, configuration_service, store, upstream_service,
    rollout_service
        Components whose state is reported.
    """

    def __init__(
        self,
        incarnation: state.Incarnation,
        location: state.Location,
        shutdown: coordination.ShutdownPlan,
        histograms: coordination.HistogramSet,
        configuration_service: configuration.ConfigurationService,
        store: key_value.HttpKeyValueStore,
        upstream_service: upstreams.UpstreamService,
        rollout_service: rollouts.RolloutService,
    ) -> None:
        self.incarnation = incarnation
        self.location = location
        self.shutdown = shutdown
        self.histogram_set = histograms
        self.configuration = configuration_service
        self.store = store
        self.upstreams = upstream_service
        self.rollouts = rollout_service
        self.in_flight = 0

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests here."""
        return self.shutdown.is_ready and self.configuration.is_known

    def status(self) -> messages.InstanceStatus:
        """Return the status of this instance as shown to operators."""
        phase = self.shutdown.phase(self.in_flight)
        return messages.InstanceStatus(
            name=self.incarnation.name,
            incarnation=self.incarnation.number,
            region=self.location.region,
            data_centre=self.location.data_centre,
            phase=phase.value,
            ready=self.is_ready,
            revision=self.configuration.follower.revision,
            in_flight=self.in_flight,
            key_value_calls=self.store.calls,
            upstreams=self._upstream_rows(),
            lots=[
                messages.LotRow(
                    name=s.name,
                    owner=s.owner,
                    step=s.step,
                    steps=s.steps,
                    weight_version=s.weight_version,
                    buffered=s.buffered,
                    running=s.running,
                    wasted_tokens=s.wasted_tokens,
                )
                for s in self.rollouts.statuses()
            ],
        )

    def _upstream_rows(self) -> list[messages.UpstreamRow]:
        registry = self.upstreams.registry
        load = self.upstreams.load
        rows = []
        for upstream in registry.known.values():
            report = load.reports.get(upstream.name)
            rows.append(
                messages.UpstreamRow(
                    name=upstream.name,
                    service=upstream.service,
                    data_centre=upstream.location.data_centre,
                    eligible=registry.is_eligible(upstream),
                    queued_tokens=load.candidate(
                        upstream.name, 0.0
                    ).queued_tokens,
                    weight_version=report.weight_version if report else None,
                )
            )
        return rows

    def histograms(self, owner: str) -> list[messages.HistogramRow]:
        """Return the histograms of requests by `owner`'s callers."""
        return [
            messages.HistogramRow(
                owner=s.key.owner,
                request_class=s.key.request_class,
                stage=s.key.stage,
                count=s.count,
                mean_ms=s.mean_ms,
                max_ms=s.max_ms,
                percentiles_ms={str(p): v for p, v in s.percentiles_ms},
            )
            for s in self.histogram_set.summaries()
            if s.key.owner == owner
        ]
