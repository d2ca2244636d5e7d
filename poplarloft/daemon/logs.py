"""Structured logging as JSON lines."""

import sys

import eliot

__all__ = ["start_logging"]


def start_logging(name: str, stream: object = None) -> None:
    """Write log messages to `stream`, by default standard output."""
    eliot.add_global_fields(instance=name)
    eliot.to_file(stream or sys.stdout)
