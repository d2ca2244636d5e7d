"""Commands that show or drain a daemon, and the list of all commands."""

import asyncio
import dataclasses
import json
import typing

from cleo.commands import command
from cleo.helpers import option

from poplarloft.cli import base
from poplarloft.cli import config_commands
from poplarloft.cli import explain_command
from poplarloft.cli import key_commands
from poplarloft.cli import quarantine_commands
from poplarloft.cli import serving_commands
from poplarloft.cli import usage_commands
from poplarloft.protocol import settings
from poplarloft import state
from standins import demo

__all__ = ["ALL_COMMANDS"]


class Lots(base.DaemonCommand):
    """Lists lots."""

    name = "lots"
    description = "List the lots that run on a daemon"

    def run_command(self) -> int:
        """Print a row per lot."""
        lots = self.api.call("GET", "/v1/status")["lots"]
        columns = [
            "name",
            "owner",
            "step",
            "steps",
            "weight_version",
            "buffered",
            "running",
            "wasted_tokens",
        ]
        self.show(lots, columns, lots)
        return 0


class Routes(base.DaemonCommand):
    """Lists routes."""

    name = "routes"
    description = "List the routes in force"

    def run_command(self) -> int:
        """Print a row per route."""
        configuration = self.api.call("GET", "/v1/config")
        rows = [
            {"name": d["name"], "owner": d["owner"], **d["body"]}
            for d in configuration["documents"]
            if d["kind"] == state.DocumentKind.ROUTE
        ]
        columns = ["name", "owner", "service", "repeatable", "timeout_ms"]
        self.show(rows, columns, rows)
        return 0


class Status(base.DaemonCommand):
    """Shows a daemon's status."""

    name = "status"
    description = "Show a daemon's status and its upstreams"

    def run_command(self) -> int:
        """Print the daemon and a row per upstream."""
        status = self.api.call("GET", "/v1/status")
        if not self.option("json"):
            self.line(
                f"{status['name']} in {status['data_centre']}: "
                f"{status['phase']}, revision {status['revision']}, "
                f"{status['in_flight']} in flight"
            )
        columns = [
            "name",
            "service",
            "data_centre",
            "eligible",
            "queued_tokens",
            "weight_version",
        ]
        self.show(status, columns, status["upstreams"])
        return 0


class Histograms(base.DaemonCommand):
    """Shows durations per owner, request class and stage."""

    name = "histograms"
    description = "Show durations per owner and class, in ms"

    def run_command(self) -> int:
        """Print a row per histogram."""
        rows = self.api.rows("GET", "/v1/histograms")
        flat = [{**row, **row["percentiles_ms"]} for row in rows]
        columns = ["owner", "request_class", "stage", "count", "mean_ms"]
        if flat:
            columns += list(rows[0]["percentiles_ms"])
        self.show(rows, columns, flat)
        return 0


class Drain(base.DaemonCommand):
    """Stops a daemon gracefully."""

    name = "drain"
    description = "Let a daemon finish its requests and exit"

    def run_command(self) -> int:
        """Ask the daemon to drain."""
        response = self.api.call("POST", "/v1/drain")
        self.show(response, ["draining"], [response])
        return 0


class Settings(command.Command):
    """Prints the settings reference."""

    name = "settings"
    description = "Print the daemon's settings as a Markdown page"

    def handle(self) -> int:
        """Print the page."""
        self.line(settings.settings_reference())
        return 0


class Demo(command.Command):
    """Runs a lot and live calls on stand-ins in one process."""

    name = "demo"
    description = "Run a lot and live calls on embedded stand-ins"
    options: typing.ClassVar[list[typing.Any]] = [
        option("seed", None, "Seed of all randomness", flag=False, default=1)
    ]

    def handle(self) -> int:
        """Print progress to standard error, then the report as JSON."""
        seed = int(self.option("seed"))
        report = asyncio.run(demo.run_demo(seed, self.line_error))
        self.line(json.dumps(dataclasses.asdict(report)))
        return 0


ALL_COMMANDS = [
    *config_commands.CONFIG_COMMANDS,
    *key_commands.KEY_COMMANDS,
    *quarantine_commands.QUARANTINE_COMMANDS,
    *serving_commands.SERVING_COMMANDS,
    *usage_commands.USAGE_COMMANDS,
    Demo,
    Drain,
    explain_command.Explain,
    Histograms,
    Lots,
    Routes,
    Settings,
    Status,
]
