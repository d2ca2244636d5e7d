"""Entry point of `poplarloft`."""

import sys

from cleo import application

import poplarloft
from poplarloft.cli import commands

__all__ = ["main"]


def main() -> None:
    """Run one command."""
    tool = application.Application("poplarloft", poplarloft.__version__)
    for command_class in commands.ALL_COMMANDS:
        tool.add(command_class())
    sys.exit(tool.run())


if __name__ == "__main__":
    main()
