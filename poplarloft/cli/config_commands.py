"""Commands on the configuration."""

import asyncio
import json
import typing

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option

from poplarloft.cli import base
from poplarloft.protocol import addresses
from poplarloft.protocol import documents
from poplarloft.protocol import errors
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import key_value

__all__ = ["CONFIG_COMMANDS"]


class ConfigCheck(base.DaemonCommand):
    """Checks a document without sending it."""

    name = "config check"
    description = "Check a document file without sending it"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("file", "JSON file with one document")
    ]

    def run_command(self) -> int:
        """Print the document in its canonical form."""
        document = base.read_document(self.argument("file"))
        canonical = documents.encode_document(document).decode()
        self.line(canonical)
        return 0


class ConfigPropose(base.DaemonCommand):
    """Proposes a document."""

    name = "config propose"
    description = "Propose a document; the other owner may dispute it"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("file", "JSON file with one document")
    ]
    options: typing.ClassVar[list[typing.Any]] = [
        *base.DaemonCommand.options,
        option(
            "window-ms",
            None,
            "Time during which owners may dispute, in ms",
            flag=False,
        ),
    ]

    def run_command(self) -> int:
        """Send the proposal and show its state."""
        document = base.read_document(self.argument("file"))
        path = "/v1/config/proposals"
        window_ms = self.option("window-ms")
        if window_ms is not None:
            path = f"{path}?window_ms={window_ms}"
        body = documents.encode_document(document)
        status = self.api.call("POST", path, body)
        self.show(status, ["proposal_id", "state", "revision"], [status])
        return 0


class _ProposalCommand(base.DaemonCommand):
    """Base class of commands that act on one proposal."""

    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("proposal", "The proposal's id")
    ]
    verb = ""

    def body(self) -> bytes:
        """Return the body of the request."""
        return b""

    def run_command(self) -> int:
        """Send the request and show the state of the proposal."""
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
    description = "Withdraw one's own proposal that is not in force"
    verb = "withdraw"


class ConfigDispute(_ProposalCommand):
    """Disputes a proposal."""

    name = "config dispute"
    description = "Dispute a pending proposal, with a reason"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("proposal", "The proposal's id"),
        argument("reason", "Reason shown to the other owner"),
    ]
    verb = "dispute"

    def body(self) -> bytes:
        """Return the reason as JSON."""
        return json.dumps({"reason": self.argument("reason")}).encode()


class ConfigShow(base.DaemonCommand):
    """Shows the documents in force and the proposals."""

    name = "config show"
    description = "Show the documents in force and the proposals"

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
    description = "Write the first revision, unless one exists"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("files", "JSON files with one document each", multiple=True)
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
        """Write the head document on condition that it has version 0."""
        try:
            address = addresses.parse_address(self.option("key-value") or "")
            initial = [base.read_document(f) for f in self.argument("files")]
        except (errors.ProtocolError, OSError) as error:
            self.line_error(f"error: {error}")
            return base.EXIT_BAD_INPUT
        outcome = asyncio.run(_write_first_head(address, initial))
        self.line(f"first revision: {outcome.value}")
        if outcome is state.WriteOutcome.APPLIED:
            return 0
        is_unknown = outcome is state.WriteOutcome.UNKNOWN
        return base.EXIT_MAY_HAVE_RUN if is_unknown else base.EXIT_REFUSED


class ConfigSchema(base.DaemonCommand):
    """Prints the documents' JSON Schema."""

    name = "config schema"
    description = "Print the JSON Schema of all document kinds"

    def run_command(self) -> int:
        """Print the schema."""
        self.line(json.dumps(documents.document_schema(), indent=2))
        return 0


async def _write_first_head(
    address: state.Address, initial: list[state.Document]
) -> state.WriteOutcome:
    store = key_value.HttpKeyValueStore(http_client.HttpClient(), address)
    head = state.Configuration(revision=1, documents=tuple(initial))
    write = await store.compare_and_swap(
        documents.HEAD_KEY, documents.encode_head(head), state.ABSENT_VERSION
    )
    return write.outcome


CONFIG_COMMANDS = [
    ConfigAccept,
    ConfigCheck,
    ConfigDispute,
    ConfigInit,
    ConfigPropose,
    ConfigSchema,
    ConfigShow,
    ConfigWithdraw,
]
