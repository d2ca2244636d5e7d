"""Command that finds the logged events of one request, item or lot."""

from collections import abc
import json
import pathlib
import sys

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option

from poplarloft.protocol import log_events

__all__ = ["Explain"]

EXIT_NOT_FOUND = 1
EXIT_READ_ERROR = 2


class Explain(command.Command):
    """Prints the events that name one identifier, in order of time."""

    name = "explain"
    description = "Show what happened to a request, an item or a lot"
    arguments = [
        argument("id", "Identifier of the request, item or lot"),
        argument(
            "files",
            "Log files of any daemons; standard input if omitted",
            optional=True,
            multiple=True,
        ),
    ]
    options = [option("json", None, "Print the events as JSON lines")]

    def handle(self) -> int:
        """Print the events; mark the first failure."""
        try:
            events = log_events.find_events(self._lines(), self.argument("id"))
        except OSError as error:
            self.line_error(f"cannot read: {error}")
            return EXIT_READ_ERROR
        if not events:
            self.line_error(f"no log line names {self.argument('id')!r}")
            return EXIT_NOT_FOUND
        first_failure = next((e for e in events if e.is_failure), None)
        for event in events:
            self._print(event, event is first_failure)
        return 0

    def _lines(self) -> abc.Iterator[str]:
        files = self.argument("files")
        if not files:
            yield from sys.stdin
        for name in files:
            with pathlib.Path(name).open(errors="replace") as file:
                yield from file

    def _print(
        self, event: log_events.LoggedEvent, is_first_failure: bool
    ) -> None:
        if self.option("json"):
            row = {
                "time_s": event.time_s,
                "instance": event.instance,
                "kind": event.kind,
                "first_wrong": is_first_failure,
                **event.fields,
            }
            self.line(json.dumps(row))
            return
        mark = ">" if is_first_failure else " "
        fields = " ".join(f"{k}={v}" for k, v in event.fields.items())
        self.line(
            f"{mark} {event.time_s:.3f} {event.instance} {event.kind} {fields}"
        )
