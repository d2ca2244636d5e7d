"""Structured logs: JSON lines on standard output."""

import sys

import eliot

__all__ = ["start_logging"]


def start_logging(name: str, stream: object = None) -> None:
    """Send each log message to `stream` as one line of JSON."""
    eliot.add_global_fields(instance=name)
    eliot.to_file(stream or sys.stdout)
