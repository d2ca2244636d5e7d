"""The story of one request or item, from log lines of many daemons."""

from collections import abc
import dataclasses
import typing

import msgspec

__all__ = ["LoggedEvent", "find_events"]

ID_FIELDS = ("request", "item", "lot")
GOOD = ("", "applied", "whole", "conflict")
FAILURE_ENDINGS = ("-failed", "-refused", "-malformed", "-lost", "-unreadable")
HIDDEN = (
    "timestamp",
    "task_uuid",
    "task_level",
    "message_type",
    "instance",
)


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One event of a story."""

    time_s: float
    instance: str
    kind: str
    fields: dict[str, typing.Any]

    @property
    def is_failure(self) -> bool:
        """Tell whether the event is a failure."""
        outcome = str(self.fields.get("outcome", ""))
        return self.kind.endswith(FAILURE_ENDINGS) or outcome not in GOOD


def find_events(lines: abc.Iterable[str], wanted: str) -> list[LoggedEvent]:
    """Return the events that name an identifier, in order of time.

    Lines that are no events, and what stands before the JSON of a line,
    are passed over. An item's story includes its reward's.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any daemons, in any order.
    wanted : str
        Identifier of a request, an item or a lot.
    """
    events = [event for line in lines if (event := _parse(line)) is not None]
    names = {wanted}
    for event in events:
        if event.fields.get("item") == wanted and "request" in event.fields:
            names.add(event.fields["request"])
    found = [
        event
        for event in events
        if any(event.fields.get(field) in names for field in ID_FIELDS)
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
        {k: v for k, v in fields.items() if k not in HIDDEN},
    )
