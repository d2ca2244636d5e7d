"""Logs and metrics of one process: each event is counted, most written."""

import asyncio
import sys
import typing

import eliot
import msgspec

from poplarloft.coordination import log_rate_limit
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_server
from poplarloft.transport import log_output
from poplarloft.transport import metrics_page

__all__ = ["Telemetry"]

SUMMARY_MS = 5_000
MS_PER_S = 1_000
GOOD_OUTCOMES = frozenset(
    {"", "applied", "whole", "answered", "conflict", "True"}
)
FAILURE_ENDINGS = ("-failed", "-refused", "-malformed", "-lost", "-unreadable")


class Telemetry:
    """Takes each event of the log: counts it, and writes it if it may.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    name : str
        This daemon, named in each line.
    output : log_output.LogOutput or None
        Where lines go; standard output if None.
    """

    def __init__(
        self,
        clock: state.Clock,
        name: str,
        output: log_output.LogOutput | None = None,
    ) -> None:
        self.budget = log_rate_limit.LogRateLimiter(clock)
        self.output = output or log_output.LogOutput(sys.stdout.fileno())
        self.page = metrics_page.MetricsPage()
        self.name = name
        self.server = http_server.HttpServer(
            self._answer, http_server.ServerLimits(), lambda path: 0
        )

    def begin(self) -> None:
        """Take the process's events from now on."""
        eliot.add_global_fields(instance=self.name)
        eliot.add_destinations(self.take)

    async def serve(self, listen: state.Address) -> None:
        """Serve the metrics page."""
        await self.server.start(listen)

    async def run(self) -> None:
        """Tell now and then what was left out, until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_MS / MS_PER_S)
            self.summarize()

    def summarize(self) -> None:
        """Write one line for each kind with lines left out."""
        for row in self.budget.take_omitted():
            self.page.omitted.labels(row.kind).inc(row.count)
            eliot.log_message(
                "lines-omitted", of_kind=row.kind, count=row.count
            )
        self.page.dropped.set(self.output.dropped)
        self.output.flush()

    def take(self, message: dict[str, typing.Any]) -> None:
        """Count one event and write its line."""
        kind = message.get("message_type", "unnamed")
        outcome = str(message.get("outcome", message.get("reason", "")))
        is_failure = outcome not in GOOD_OUTCOMES or kind.endswith(
            FAILURE_ENDINGS
        )
        # Texts of failures vary without bound; a label may not.
        label = outcome if outcome in GOOD_OUTCOMES else "other"
        self.page.events.labels(kind, label).inc()
        if "duration_ms" in message:
            request_class = str(message.get("route", ""))
            self.page.durations.labels(kind, request_class).observe(
                message["duration_ms"]
            )
        if self.budget.allows(kind, is_failure):
            self.output.write(_encode(message))

    async def _answer(self, request: http.HttpRequest) -> http.HttpResponse:
        headers = (("content-type", "text/plain; version=0.0.4"),)
        return http.HttpResponse(200, headers, self.page.text())


def _encode(message: dict[str, typing.Any]) -> bytes:
    return msgspec.json.encode(message, enc_hook=repr) + b"\n"
