"""Counters and histograms in the Prometheus text format."""

import prometheus_client

__all__ = ["METRIC_NAMES", "MetricsPage"]

BOUNDS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000)
METRIC_NAMES = {
    "poplarloft_events_total": "Log events by kind and outcome",
    "poplarloft_duration_ms": "Durations by kind of event and class",
    "poplarloft_log_lines_omitted_total": "Lines left out by kind",
    "poplarloft_log_lines_dropped": "Lines that were not read in time",
    "poplarloft_upstream_limit_per_s": "Rates that upstreams have named",
    "poplarloft_upstream_permits_total": "Permits by upstream and outcome",
    "poplarloft_upstream_crashes_total": "Crashes seen, by evidence",
    "poplarloft_quarantines_total": "Quarantines of requests",
    "poplarloft_clients_closed_total": "Connections closed, by reason",
    "poplarloft_client_use": "What clients take, by resource",
    "poplarloft_client_bound": "What clients may take, by resource",
}


class MetricsPage:
    """Metrics of one process, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.events = prometheus_client.Counter(
            "poplarloft_events",
            METRIC_NAMES["poplarloft_events_total"],
            ["kind", "outcome"],
            registry=self.registry,
        )
        self.durations = prometheus_client.Histogram(
            "poplarloft_duration_ms",
            METRIC_NAMES["poplarloft_duration_ms"],
            ["kind", "request_class"],
            buckets=BOUNDS_MS,
            registry=self.registry,
        )
        self.omitted = prometheus_client.Counter(
            "poplarloft_log_lines_omitted",
            METRIC_NAMES["poplarloft_log_lines_omitted_total"],
            ["kind"],
            registry=self.registry,
        )
        self.dropped = prometheus_client.Gauge(
            "poplarloft_log_lines_dropped",
            METRIC_NAMES["poplarloft_log_lines_dropped"],
            registry=self.registry,
        )

        self.limits = prometheus_client.Gauge(
            "poplarloft_upstream_limit_per_s",
            METRIC_NAMES["poplarloft_upstream_limit_per_s"],
            ["upstream"],
            registry=self.registry,
        )
        self.permits = prometheus_client.Counter(
            "poplarloft_upstream_permits",
            METRIC_NAMES["poplarloft_upstream_permits_total"],
            ["upstream", "outcome"],
            registry=self.registry,
        )

        self.crashes = prometheus_client.Counter(
            "poplarloft_upstream_crashes",
            METRIC_NAMES["poplarloft_upstream_crashes_total"],
            ["evidence"],
            registry=self.registry,
        )
        self.quarantines = prometheus_client.Counter(
            "poplarloft_quarantines",
            METRIC_NAMES["poplarloft_quarantines_total"],
            registry=self.registry,
        )

        self.closed = prometheus_client.Counter(
            "poplarloft_clients_closed",
            METRIC_NAMES["poplarloft_clients_closed_total"],
            ["reason"],
            registry=self.registry,
        )
        self.client_use = prometheus_client.Gauge(
            "poplarloft_client_use",
            METRIC_NAMES["poplarloft_client_use"],
            ["resource"],
            registry=self.registry,
        )
        self.client_bound = prometheus_client.Gauge(
            "poplarloft_client_bound",
            METRIC_NAMES["poplarloft_client_bound"],
            ["resource"],
            registry=self.registry,
        )

    def set_use(self, resource: str, used: float, bound: float) -> None:
        """Set how much of a resource clients take, and may take."""
        self.client_use.labels(resource).set(used)
        self.client_bound.labels(resource).set(bound)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
