"""Commands that make and show CURVE keys."""

import os
import pathlib
import typing

from cleo.commands import command
from cleo.helpers import argument
import zmq

from poplarloft.cli import base
from poplarloft.protocol import errors
from poplarloft.protocol import keys

__all__ = ["KEY_COMMANDS"]


class KeysNew(command.Command):
    """Generates a CURVE key pair."""

    name = "keys new"
    description = "Write a new CURVE key pair to a file; print the public key"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("file", "File to write; it must not exist")
    ]

    def handle(self) -> int:
        """Write the file with mode 0600 and print the public key."""
        public, secret = zmq.curve_keypair()
        text = keys.format_key_pair(keys.KeyPair(public, secret))
        try:
            flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
            descriptor = os.open(self.argument("file"), flags, 0o600)
        except OSError as error:
            self.line_error(f"error: {error}")
            return base.EXIT_BAD_INPUT
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
        """Print the public key, never the secret one."""
        try:
            text = pathlib.Path(self.argument("file")).read_text()
            pair = keys.parse_key_pair(text)
        except (errors.ProtocolError, OSError) as error:
            self.line_error(f"error: {error}")
            return base.EXIT_BAD_INPUT
        self.line(pair.public.decode())
        return 0


KEY_COMMANDS = [KeysNew, KeysShow]
