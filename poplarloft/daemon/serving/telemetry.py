"""Logging and metrics of one process.

Each event is counted; its log line is written within a rate limit.
"""

import asyncio
from collections import abc
import contextlib
import sys
import typing

import eliot
import msgspec

from poplarloft.coordination import clients
from poplarloft.coordination import log_rate_limit
from poplarloft.protocol import http
from poplarloft.protocol import log_events
from poplarloft import state
from poplarloft.transport import http_server
from poplarloft.transport import log_output
from poplarloft.transport import metrics_page

__all__ = ["Telemetry"]

SUMMARY_INTERVAL_MS = 5_000
MS_PER_S = 1_000


class Telemetry:
    """Receiver of log events, which become metrics and log lines.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    name : str
        Name of this daemon, added to each line.
    output : log_output.LogOutput or None
        Destination of lines; standard output if None.
    limits : http_server.ServerLimits or None
        Limits on the clients of the metrics page; the defaults if None.

    Attributes
    ----------
    uses : callable
        Returns what clients take at the moment.
    """

    def __init__(
        self,
        clock: state.Clock,
        name: str,
        output: log_output.LogOutput | None = None,
        limits: http_server.ServerLimits | None = None,
    ) -> None:
        self.rate_limiter = log_rate_limit.LogRateLimiter(clock)
        self.output = output or log_output.LogOutput(sys.stdout.fileno())
        self.page = metrics_page.MetricsPage()
        self.name = name
        self.uses: abc.Callable[[], abc.Iterable[clients.ResourceUse]] = list
        self.server = http_server.HttpServer(
            self._answer,
            limits or http_server.ServerLimits(),
            lambda path: 0,
        )

    def install(self) -> None:
        """Start receiving the process's log events."""
        eliot.add_global_fields(instance=self.name)
        eliot.add_destinations(self.on_event)

    async def serve(self, listen: state.Address) -> None:
        """Serve the metrics page."""
        await self.server.start(listen)

    async def run(self) -> None:
        """Write summaries of omitted lines periodically until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL_MS / MS_PER_S)
            self.summarize()

    def summarize(self) -> None:
        """Write one line for each kind of event with omitted lines."""
        for omitted in self.rate_limiter.take_omitted():
            self.page.omitted.labels(omitted.kind).inc(omitted.count)
            eliot.log_message(
                "lines-omitted", of_kind=omitted.kind, count=omitted.count
            )
        self.page.dropped.set(self.output.dropped)
        self.output.flush()

    def on_event(self, message: dict[str, typing.Any]) -> None:
        """Count one event; write its line if the rate limit allows."""
        kind = message.get("message_type", "unnamed")
        outcome = str(message.get("outcome", message.get("reason", "")))
        is_failure = (
            outcome not in log_events.SUCCESS_OUTCOMES
            or kind.endswith(log_events.FAILURE_SUFFIXES)
        )
        # Failure texts are unbounded in number; label values must not be.
        label = outcome if outcome in log_events.SUCCESS_OUTCOMES else "other"
        self.page.events.labels(kind, label).inc()
        if "duration_ms" in message:
            request_class = str(message.get("route", ""))
            self.page.durations.labels(kind, request_class).observe(
                message["duration_ms"]
            )
        self._count_parties(kind, message)
        if self.rate_limiter.allows(kind, is_failure):
            self.output.write(_encode(message))

    def _count_parties(
        self, kind: str, message: dict[str, typing.Any]
    ) -> None:
        """Keep the metrics of upstreams, and of clients that were closed."""
        upstream = message.get("upstream", "")
        match kind:
            case "limit-named":
                rate_per_s = message["rate_per_s"]
                self.page.limits.labels(upstream).set(rate_per_s)
            case "limit-ended":
                with contextlib.suppress(KeyError):
                    self.page.limits.remove(upstream)
            case "upstream-crashed":
                self.page.crashes.labels(message["evidence"]).inc()
            case "quarantine":
                self.page.quarantines.inc()
            case "client-closed":
                self.page.closed.labels(message["reason"]).inc()
            case "permit":
                outcome = message["outcome"]
                self.page.permits.labels(upstream, outcome).inc()

    async def _answer(self, request: http.HttpRequest) -> http.HttpResponse:
        for use in self.uses():
            self.page.set_use(use.resource, use.used, use.bound)
        headers = (("content-type", "text/plain; version=0.0.4"),)
        return http.HttpResponse(200, headers, self.page.render())


def _encode(message: dict[str, typing.Any]) -> bytes:
    return msgspec.json.encode(message, enc_hook=repr) + b"\n"
