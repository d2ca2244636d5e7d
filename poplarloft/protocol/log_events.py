"""Search for the events of a request, an item or a lot in log lines."""

from collections import abc
import dataclasses
import typing

import msgspec

__all__ = [
    "FAILURE_SUFFIXES",
    "LoggedEvent",
    "SUCCESS_OUTCOMES",
    "find_events",
]

ID_FIELDS = ("request", "item", "lot")
SUCCESS_OUTCOMES = frozenset(
    {
        "",
        "applied",
        "whole",
        "answered",
        "conflict",
        "granted",
        "passed-over",
        "True",
        "accepted",
    }
)
FAILURE_SUFFIXES = (
    "-failed",
    "-refused",
    "-malformed",
    "-lost",
    "-unreadable",
)
OMITTED_FIELDS = (
    "timestamp",
    "task_uuid",
    "task_level",
    "message_type",
    "instance",
)


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One event of a log.

    Parameters
    ----------
    time_s : float
        Unix time of the event.
    instance : str
        Name of the daemon that logged it, empty if it is unknown.
    kind : str
        The `message_type` of the event.
    fields : dict of str to Any
        The other fields, without those of the logging library.
    """

    time_s: float
    instance: str
    kind: str
    fields: dict[str, typing.Any]

    @property
    def is_failure(self) -> bool:
        """Whether the event's type or outcome reports a failure."""
        outcome = str(self.fields.get("outcome", ""))
        return (
            self.kind.endswith(FAILURE_SUFFIXES)
            or outcome not in SUCCESS_OUTCOMES
        )


def find_events(
    lines: abc.Iterable[str], identifier: str
) -> list[LoggedEvent]:
    """Return the events with an identifier in a field, sorted by time.

    Lines without an event are skipped, as is anything before the JSON
    object of a line. The events of an item include those of its reward
    calls.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any number of daemons, in any order.
    identifier : str
        Identifier of a request, an item or a lot.
    """
    events = [event for line in lines if (event := _parse(line)) is not None]
    identifiers = {identifier}
    for event in events:
        if (
            event.fields.get("item") == identifier
            and "request" in event.fields
        ):
            identifiers.add(event.fields["request"])
    found = [
        event
        for event in events
        if any(event.fields.get(field) in identifiers for field in ID_FIELDS)
    ]
    return sorted(found, key=lambda event: event.time_s)


def _parse(line: str) -> LoggedEvent | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(line[start:], type=dict[str, typing.Any])
    except msgspec.MsgspecError:
        return None
    if "message_type" not in fields or "timestamp" not in fields:
        return None
    return LoggedEvent(
        float(fields["timestamp"]),
        str(fields.get("instance", "")),
        str(fields["message_type"]),
        {k: v for k, v in fields.items() if k not in OMITTED_FIELDS},
    )
