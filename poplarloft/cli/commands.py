"""Commands of the command-line tool."""

import asyncio
import dataclasses
import json
import os
import pathlib
import typing

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option
import zmq

from poplarloft.cli import api
from poplarloft import coordination
from poplarloft.protocol import addresses
from poplarloft.protocol import documents
from poplarloft.protocol import errors
from poplarloft.protocol import keys
from poplarloft.protocol import settings
from poplarloft.protocol import usage
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import key_value
from standins import demo

__all__ = ["ALL_COMMANDS", "EXIT_BAD_INPUT", "EXIT_REFUSED", "EXIT_UNSURE"]

EXIT_BAD_INPUT = 2
EXIT_REFUSED = 3
EXIT_UNSURE = 4

Row = dict[str, typing.Any]


class _DaemonCommand(command.Command):
    """A command that calls a daemon."""

    options: typing.ClassVar[list[typing.Any]] = [
        option("daemon", None, "IP number and port of a daemon", flag=False),
        option("token", None, "Operator's token", flag=False),
        option("json", None, "Print JSON for programs"),
    ]

    def handle(self) -> int:
        """Run the command; map failures to exit codes."""
        try:
            return self.run_command()
        except (errors.ProtocolError, OSError) as error:
            self.line_error(f"error: {error}")
            return EXIT_BAD_INPUT
        except api.ApiError as error:
            self.line_error(f"error: {error}")
            return EXIT_UNSURE if error.may_have_run else EXIT_REFUSED

    def run_command(self) -> int:
        """Do the command's work; return its exit code."""
        raise NotImplementedError

    @property
    def api(self) -> api.DaemonApi:
        """Return the daemon named by flags or environment."""
        daemon = self.option("daemon") or os.environ.get("POPLARLOFT_DAEMON")
        token = self.option("token") or os.environ.get("POPLARLOFT_TOKEN")
        if not daemon:
            raise errors.FieldError("--daemon", "is missing")
        if not token:
            raise errors.FieldError("--token", "is missing")
        return api.DaemonApi(addresses.parse_address(daemon), token)

    def show(self, value: object, columns: list[str], rows: list[Row]) -> None:
        """Print `value` as JSON, or `rows` as a table."""
        if self.option("json"):
            self.line(json.dumps(value))
            return
        table = self.table()
        table.set_headers(columns)
        table.set_rows([[str(row[c]) for c in columns] for row in rows])
        table.render()


class ConfigCheck(_DaemonCommand):
    """Checks a document without sending it."""

    name = "config check"
    description = "Check a document file without sending it"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("file", "JSON file with one document")
    ]

    def run_command(self) -> int:
        """Print the document's canonical form and kind."""
        document = _read_document(self.argument("file"))
        canonical = documents.encode_document(document).decode()
        self.line(canonical)
        return 0


class ConfigPropose(_DaemonCommand):
    """Proposes a document."""

    name = "config propose"
    description = "Propose a document; the other owner may dispute it"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("file", "JSON file with one document")
    ]
    options: typing.ClassVar[list[typing.Any]] = [
        *_DaemonCommand.options,
        option(
            "window-ms", None, "Time in which to dispute, in ms", flag=False
        ),
    ]

    def run_command(self) -> int:
        """Send the proposal and show where it stands."""
        document = _read_document(self.argument("file"))
        path = "/v1/config/proposals"
        window_ms = self.option("window-ms")
        if window_ms is not None:
            path = f"{path}?window_ms={window_ms}"
        body = documents.encode_document(document)
        status = self.api.call("POST", path, body)
        self.show(status, ["proposal_id", "state", "revision"], [status])
        return 0


class _ProposalCommand(_DaemonCommand):
    """A command about one proposal."""

    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("proposal", "The proposal's id")
    ]
    verb = ""

    def body(self) -> bytes:
        """Return the request's body."""
        return b""

    def run_command(self) -> int:
        """Send the answer and show where the proposal stands."""
        proposal = self.argument("proposal")
        path = f"/v1/config/proposals/{proposal}/{self.verb}"
        status = self.api.call("POST", path, self.body())
        self.show(status, ["proposal_id", "state", "revision"], [status])
        return 0


class ConfigAccept(_ProposalCommand):
    """Accepts a proposal."""

    name = "config accept"
    description = "Accept a pending proposal"
    verb = "accept"


class ConfigWithdraw(_ProposalCommand):
    """Withdraws a proposal."""

    name = "config withdraw"
    description = "Withdraw an own proposal that is not in force"
    verb = "withdraw"


class ConfigDispute(_ProposalCommand):
    """Disputes a proposal."""

    name = "config dispute"
    description = "Dispute a pending proposal, with a reason"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("proposal", "The proposal's id"),
        argument("reason", "Why, for the other owner to read"),
    ]
    verb = "dispute"

    def body(self) -> bytes:
        """Return the reason as JSON."""
        return json.dumps({"reason": self.argument("reason")}).encode()


class ConfigShow(_DaemonCommand):
    """Shows the configuration."""

    name = "config show"
    description = "Show what is in force and what is proposed"

    def run_command(self) -> int:
        """Print documents and proposals."""
        head = self.api.call("GET", "/v1/config")
        rows = [
            {**d, "state": "in-force", "proposal": "-"}
            for d in head["documents"]
        ]
        rows += [
            {
                **p["document"],
                "state": p["state"],
                "proposal": p["proposal_id"],
            }
            for p in head["proposals"]
            if p["state"] != "in-force"
        ]
        self.show(head, ["kind", "owner", "name", "state", "proposal"], rows)
        return 0


class ConfigInit(command.Command):
    """Writes the first revision of the configuration."""

    name = "config init"
    description = "Write the first revision, unless there is one"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("files", "JSON files, a document each", multiple=True)
    ]
    options: typing.ClassVar[list[typing.Any]] = [
        option(
            "key-value",
            None,
            "IP number and port of the key-value service",
            flag=False,
        )
    ]

    def handle(self) -> int:
        """Write the head document with version 0 expected."""
        try:
            address = addresses.parse_address(self.option("key-value") or "")
            parts = [_read_document(f) for f in self.argument("files")]
        except (errors.ProtocolError, OSError) as error:
            self.line_error(f"error: {error}")
            return EXIT_BAD_INPUT
        outcome = asyncio.run(_write_first_head(address, parts))
        self.line(f"first revision: {outcome.value}")
        if outcome is state.WriteOutcome.APPLIED:
            return 0
        unsure = outcome is state.WriteOutcome.UNKNOWN
        return EXIT_UNSURE if unsure else EXIT_REFUSED


class ConfigSchema(_DaemonCommand):
    """Prints the documents' JSON Schema."""

    name = "config schema"
    description = "Print the JSON Schema of all document kinds"

    def run_command(self) -> int:
        """Print the schema."""
        self.line(json.dumps(documents.document_schema(), indent=2))
        return 0


class Lots(_DaemonCommand):
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


class Routes(_DaemonCommand):
    """Lists routes."""

    name = "routes"
    description = "List the routes in force"

    def run_command(self) -> int:
        """Print a row per route."""
        head = self.api.call("GET", "/v1/config")
        rows = [
            {"name": d["name"], "owner": d["owner"], **d["body"]}
            for d in head["documents"]
            if d["kind"] == state.DocumentKind.ROUTE
        ]
        columns = ["name", "owner", "service", "repeatable", "timeout_ms"]
        self.show(rows, columns, rows)
        return 0


class Status(_DaemonCommand):
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


class Histograms(_DaemonCommand):
    """Shows histograms."""

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


class Drain(_DaemonCommand):
    """Stops a daemon gracefully."""

    name = "drain"
    description = "Let a daemon finish its requests and exit"

    def run_command(self) -> int:
        """Send the order."""
        answer = self.api.call("POST", "/v1/drain")
        self.show(answer, ["draining"], [answer])
        return 0


class _UsageCommand(_DaemonCommand):
    """A command on the usage ledger, read from a daemon."""

    def entries(self) -> list[state.UsageEntry]:
        """Return the entries of the daemon's data centre."""
        plain = self.api.call("GET", "/v1/usage")
        return list(usage.decode_segment(json.dumps(plain).encode()).entries)


class UsageShow(_UsageCommand):
    """Shows the owners' shares."""

    name = "usage show"
    description = "Show each owner's part of the booked upstream time"

    def run_command(self) -> int:
        """Print a row per owner."""
        totals = coordination.ledger_totals(self.entries())
        rows: list[Row] = [
            dataclasses.asdict(share)
            for share in coordination.owner_shares(totals)
        ]
        self.show(rows, ["owner", "busy_ms", "share"], rows)
        return 0


class UsageVerify(_UsageCommand):
    """Checks the chain of entries."""

    name = "usage verify"
    description = "Find any altered, removed or reordered entry"

    def run_command(self) -> int:
        """Print the first fault, or the number of entries."""
        entries = self.entries()
        fault = usage.find_fault(entries)
        if fault is not None:
            self.line_error(f"error: {fault}")
            return EXIT_REFUSED
        last = entries[-1].digest if entries else "none"
        self.line(f"{len(entries)} entries, last digest {last}")
        return 0


class UsageExport(_UsageCommand):
    """Exports the ledger."""

    name = "usage export"
    description = "Print the ledger as CSV, a line per total"

    def run_command(self) -> int:
        """Print the lines."""
        self.write(usage.export_csv(self.entries()))
        return 0


class KeysNew(command.Command):
    """Makes a pair of CURVE keys."""

    name = "keys new"
    description = "Write new CURVE keys to a file; print the public one"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("file", "File to write; it must not exist")
    ]

    def handle(self) -> int:
        """Write the file, readable by its owner only."""
        public, secret = zmq.curve_keypair()
        text = keys.format_key_pair(keys.KeyPair(public, secret))
        try:
            flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
            descriptor = os.open(self.argument("file"), flags, 0o600)
        except OSError as error:
            self.line_error(f"error: {error}")
            return EXIT_BAD_INPUT
        with os.fdopen(descriptor, "w") as file:
            file.write(text)
        self.line(public.decode())
        return 0


class KeysShow(command.Command):
    """Prints a public key."""

    name = "keys show"
    description = "Print the public key of a key file"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("file", "The key file")
    ]

    def handle(self) -> int:
        """Print the public key only."""
        try:
            text = pathlib.Path(self.argument("file")).read_text()
            pair = keys.parse_key_pair(text)
        except (errors.ProtocolError, OSError) as error:
            self.line_error(f"error: {error}")
            return EXIT_BAD_INPUT
        self.line(pair.public.decode())
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
    """Runs the main job on embedded stand-ins."""

    name = "demo"
    description = "Run a lot and live calls on embedded stand-ins"
    options: typing.ClassVar[list[typing.Any]] = [
        option("seed", None, "Seed of all randomness", flag=False, default=1)
    ]

    def handle(self) -> int:
        """Print progress, then the figures as one JSON object."""
        seed = int(self.option("seed"))
        report = asyncio.run(demo.run_demo(seed, self.line_error))
        self.line(json.dumps(dataclasses.asdict(report)))
        return 0


def _read_document(name: str) -> state.Document:
    return documents.decode_document(pathlib.Path(name).read_bytes())


async def _write_first_head(
    address: state.Address, parts: list[state.Document]
) -> state.WriteOutcome:
    store = key_value.HttpKeyValueStore(http_client.HttpClient(), address)
    head = state.Configuration(revision=1, documents=tuple(parts))
    write = await store.compare_and_swap(
        documents.HEAD_KEY, documents.encode_head(head), state.ABSENT_VERSION
    )
    return write.outcome


ALL_COMMANDS = [
    ConfigAccept,
    ConfigCheck,
    ConfigDispute,
    ConfigInit,
    ConfigPropose,
    ConfigSchema,
    ConfigShow,
    ConfigWithdraw,
    Demo,
    Drain,
    Histograms,
    KeysNew,
    KeysShow,
    Lots,
    Routes,
    Settings,
    Status,
    UsageExport,
    UsageShow,
    UsageVerify,
]
