"""Commands on the configuration of serving behind a platform."""

import asyncio
import dataclasses
import json
import pathlib
import typing

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option
from returns import result

from poplarloft.cli import base
from poplarloft.coordination.serving import configurations
from poplarloft.platform import documents
from poplarloft.platform import names
from poplarloft.platform import store
from poplarloft.protocol import addresses
from poplarloft.protocol import errors
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["SERVING_COMMANDS"]

READ_TIMEOUT_MS = 3_000


class _UnreadableStoreError(Exception):
    """Raised when the configuration in force can't be read."""


class ServingCheck(command.Command):
    """Checks a configuration of serving, and compares it."""

    name = "serving check"
    description = "Check a configuration of serving without sending it"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("file", "JSON file with a configuration")
    ]
    options: typing.ClassVar[list[typing.Any]] = [
        option("against", None, "File with the one in force", flag=False),
        option(
            "store",
            None,
            "IP number and port of the store that has the one in force",
            flag=False,
        ),
        option("json", None, "Print JSON for programs"),
    ]

    def handle(self) -> int:
        """Print problems, then differences; return the exit code."""
        try:
            value = pathlib.Path(self.argument("file")).read_bytes()
            checked = documents.decode_configuration(value)
            problems = [
                *_unread_problems(value),
                *configurations.find_problems(checked),
            ]
            in_force = self._read_in_force()
        except (errors.ProtocolError, OSError) as error:
            self.line_error(f"error: {error}")
            return base.EXIT_BAD_INPUT
        except _UnreadableStoreError as error:
            self._show(problems, [])
            self.line_error(f"error: not compared: {error}")
            return base.EXIT_REFUSED
        differences: list[configurations.Difference] = []
        if in_force is not None:
            problems += _version_problems(in_force, checked)
            differences = configurations.find_differences(in_force, checked)
        self._show(problems, differences)
        return base.EXIT_FINDINGS if problems else 0

    def _read_in_force(self) -> state.ServingConfiguration | None:
        """Return the configuration to compare with, None if not asked for."""
        if name := self.option("against"):
            return documents.decode_configuration(
                pathlib.Path(name).read_bytes()
            )
        if text := self.option("store"):
            address = addresses.parse_address(text)
            return documents.decode_configuration(
                asyncio.run(_read_store(address))
            )
        return None

    def _show(
        self,
        problems: list[configurations.Problem],
        differences: list[configurations.Difference],
    ) -> None:
        if self.option("json"):
            found = {
                "problems": [dataclasses.asdict(p) for p in problems],
                "differences": [dataclasses.asdict(d) for d in differences],
            }
            self.line(json.dumps(found))
            return
        for problem in problems:
            self.line(
                f"{problem.kind.value}: {problem.place}: {problem.detail}"
            )
        for difference in differences:
            self.line(f"differs: {difference}")


def _unread_problems(value: bytes) -> list[configurations.Problem]:
    return [
        configurations.Problem(
            configurations.ProblemKind.NEVER_MATCHES,
            place,
            f"{what} is read by no instance",
        )
        for place, what in documents.find_unread(value)
    ]


def _version_problems(
    in_force: state.ServingConfiguration, checked: state.ServingConfiguration
) -> list[configurations.Problem]:
    if checked.version > in_force.version:
        return []
    return [
        configurations.Problem(
            configurations.ProblemKind.CONTRADICTION,
            "version",
            f"{checked.version}, expected over {in_force.version}, which is "
            "in force",
        )
    ]


async def _read_store(address: state.Address) -> bytes:
    """Return the document in force, or raise `_UnreadableStoreError`."""
    client = http_client.HttpClient()
    try:
        found = await store.PlatformStore(
            client, address, READ_TIMEOUT_MS
        ).get(names.CONFIGURATION_KEY)
    finally:
        client.close()
    match found:
        case result.Success(state.Entry() as entry):
            return entry.value
        case result.Success(_):
            raise _UnreadableStoreError(f"{address} has no configuration")
    raise _UnreadableStoreError(f"no answer from {address}")


SERVING_COMMANDS = [ServingCheck]
