"""Event streams of engines, as they generate an output."""

import dataclasses

from poplarloft.platform import names

__all__ = ["EventReader", "SampleEvent"]

MAX_EVENT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class SampleEvent:
    """One event of an item's output.

    Parameters
    ----------
    number : int
        Position in the stream; 0 if the event has none.
    data : str
        Generated text.
    version : int or None
        Weight version from this event on; None where it does not change.
    """

    number: int
    data: str
    version: int | None


class EventReader:
    """Parser of an event stream; buffers the incomplete event at its end."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, piece: bytes) -> list[SampleEvent]:
        """Return the events that `piece` completes.

        Raises
        ------
        ValueError
            If an event's number or weight version is not an integer, or
            an event is larger than `MAX_EVENT_BYTES`.
        """
        self.buffer += piece
        *blocks, self.buffer = self.buffer.split(b"\n\n")
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is over {MAX_EVENT_BYTES} bytes")
        return [_event(block) for block in blocks if block.strip()]


def _event(block: bytes) -> SampleEvent:
    number, version = 0, None
    data = []
    for line in block.decode("utf-8").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        match name:
            case "id":
                number = int(value)
            case "data":
                data.append(value)
            case names.VERSION:
                version = int(value)
    return SampleEvent(number, "\n".join(data), version)
