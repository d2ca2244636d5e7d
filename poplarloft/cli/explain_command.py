"""Tells the story of one request or item from log files."""

from collections import abc
import json
import pathlib
import sys

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option

from poplarloft.protocol import log_events

__all__ = ["Explain"]

EXIT_NOTHING = 1
EXIT_UNREADABLE = 2


class Explain(command.Command):
    """Prints the events of one identifier in order of time."""

    name = "explain"
    description = "Tell what happened to a request, an item or a lot"
    arguments = [
        argument("id", "Identifier of the request, item or lot"),
        argument(
            "files",
            "Log files of any daemons; standard input without any",
            optional=True,
            multiple=True,
        ),
    ]
    options = [option("json", None, "Print the events as JSON lines")]

    def handle(self) -> int:
        """Print the story; mark the first event that went wrong."""
        try:
            story = log_events.find_events(self._lines(), self.argument("id"))
        except OSError as error:
            self.line_error(f"cannot read: {error}")
            return EXIT_UNREADABLE
        if not story:
            self.line_error(f"no line names {self.argument('id')!r}")
            return EXIT_NOTHING
        first_wrong = next((e for e in story if e.is_failure), None)
        for event in story:
            self._print(event, event is first_wrong)
        return 0

    def _lines(self) -> abc.Iterator[str]:
        files = self.argument("files")
        if not files:
            yield from sys.stdin
        for name in files:
            with pathlib.Path(name).open(errors="replace") as file:
                yield from file

    def _print(
        self, event: log_events.LoggedEvent, is_first_wrong: bool
    ) -> None:
        if self.option("json"):
            row = {
                "time_s": event.time_s,
                "instance": event.instance,
                "kind": event.kind,
                "first_wrong": is_first_wrong,
                **event.fields,
            }
            self.line(json.dumps(row))
            return
        mark = ">" if is_first_wrong else " "
        fields = " ".join(f"{k}={v}" for k, v in event.fields.items())
        self.line(
            f"{mark} {event.time_s:.3f} {event.instance} {event.kind} {fields}"
        )
