"""Base of the commands: the daemon to call, tables, exit codes."""

import json
import os
import pathlib
import typing

from cleo.commands import command
from cleo.helpers import option

from poplarloft.cli import api
from poplarloft.protocol import addresses
from poplarloft.protocol import documents
from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "EXIT_BAD_INPUT",
    "EXIT_FINDINGS",
    "EXIT_REFUSED",
    "EXIT_MAY_HAVE_RUN",
    "DaemonCommand",
    "Row",
    "read_document",
]

# Something was found that the command looks for.
EXIT_FINDINGS = 1
EXIT_BAD_INPUT = 2
# The call had no effect.
EXIT_REFUSED = 3
# The call may have taken effect: read the state before sending it again.
EXIT_MAY_HAVE_RUN = 4

Row = dict[str, typing.Any]


class DaemonCommand(command.Command):
    """Base class of commands that call a daemon."""

    options: typing.ClassVar[list[typing.Any]] = [
        option("daemon", None, "IP number and port of a daemon", flag=False),
        option("token", None, "Operator's token", flag=False),
        option("json", None, "Print JSON for programs"),
    ]

    def handle(self) -> int:
        """Run the command; return an exit code for each kind of failure."""
        try:
            return self.run_command()
        except (errors.ProtocolError, OSError) as error:
            self.line_error(f"error: {error}")
            return EXIT_BAD_INPUT
        except api.ApiError as error:
            self.line_error(f"error: {error}")
            return EXIT_MAY_HAVE_RUN if error.may_have_run else EXIT_REFUSED

    def run_command(self) -> int:
        """Do the work of the command; return its exit code."""
        raise NotImplementedError

    @property
    def api(self) -> api.DaemonApi:
        """Client of the daemon that options or the environment name."""
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


def read_document(name: str) -> state.Document:
    """Return the document in a file.

    Raises
    ------
    errors.FieldError
        If the file holds no valid document.
    OSError
        If the file can't be read.
    """
    return documents.decode_document(pathlib.Path(name).read_bytes())
