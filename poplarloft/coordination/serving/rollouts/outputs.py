"""The output of one item while it is generated, and its prediction."""

import dataclasses
import enum

from poplarloft import state

__all__ = [
    "EventOrderError",
    "ItemOutput",
    "OutputTooLargeError",
    "Stage",
    "predict_events",
]

DEFAULT_EVENTS = 20.0
TOKENS_PER_EVENT = 71
MAX_TEXT_BYTES = 1_000_000  # a reader of results gets no larger ones
# Expected final length of an output that is longer than predicted, as a
# multiple of its current length.
OVERRUN_FACTOR = 1.5


class Stage(enum.StrEnum):
    """The stages of an item on the way to its result."""

    WAITING = "waiting"
    RUNNING = "running"
    COMPLETE = "whole"
    SCORED = "scored"
    FAILED = "failed"


class EventOrderError(ValueError):
    """Raised for an event whose number doesn't follow the last one."""


class OutputTooLargeError(ValueError):
    """Raised for an event that makes an output larger than a result may be."""


@dataclasses.dataclass(slots=True)
class ItemOutput:
    """The output generated so far for an item, and its progress.

    Parameters
    ----------
    item : state.LotItem
        The item, as in the newest lot that contains it.
    predicted_events : float
        Expected number of events of the complete output.
    software_version : str
        Software version of the engine that began the output, empty if
        unknown. The output continues only at this version.
    service : str
        Service of that engine, empty if unknown. The output continues only
        there, as versions of two services may share a name.
    engine_id : tuple of (str, int)
        The run of the engine that generated the last event.
    restarts : int
        Number of times that the output was begun anew.
    version_wait_since_ms : int or None
        Since when it has waited for an engine at which it may continue.
    """

    item: state.LotItem
    predicted_events: float = DEFAULT_EVENTS
    stage: Stage = Stage.WAITING
    events: list[str] = dataclasses.field(default_factory=list)
    versions: list[int] = dataclasses.field(default_factory=list)
    score: str = ""
    errors: int = 0
    engine_failures: int = 0
    reward_errors: int = 0
    not_before_ms: int = 0
    avoided_engine: str = ""
    software_version: str = ""
    service: str = ""
    engine_id: tuple[str, int] = ("", 0)
    restarts: int = 0
    version_wait_since_ms: int | None = None
    text_bytes: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self._count_text()

    def append(self, number: int, data: str, version: int) -> None:
        """Append the next event.

        Raises
        ------
        EventOrderError
            If `number` doesn't follow the number of the last event.
        OutputTooLargeError
            If the text would be longer than `MAX_TEXT_BYTES`.
        """
        if number != len(self.events) + 1:
            raise EventOrderError(
                f"event {number} after {len(self.events)} events"
            )
        text_bytes = self.text_bytes + _line_bytes(data)
        if text_bytes > MAX_TEXT_BYTES:
            raise OutputTooLargeError(
                f"the output has over {MAX_TEXT_BYTES} bytes"
            )
        self.text_bytes = text_bytes
        self.events.append(data)
        if version not in self.versions:
            self.versions.append(version)

    def begin_run(self, sampler: state.Sampler) -> None:
        """Record the engine that generates from now on.

        An output that may not continue there begins anew.
        """
        if not self.may_continue_at(sampler):
            self.restart()
        if not self.events:
            self.software_version = sampler.software_version
            self.service = sampler.service
        self.engine_id = sampler.engine_id
        self.version_wait_since_ms = None

    def may_continue_at(self, sampler: state.Sampler) -> bool:
        """Return whether an engine may generate the next event."""
        if not self.events:
            return True
        if self.service not in ("", sampler.service):
            return False
        return sampler.can_continue(self.software_version, self.engine_id)

    def remaining_events(self) -> float:
        """Return the expected number of events still to be generated."""
        generated = len(self.events)
        if generated < self.predicted_events:
            return self.predicted_events - generated
        return max(1.0, generated * (OVERRUN_FACTOR - 1))

    def is_allowed(self, min_version: int, single_version: bool) -> bool:
        """Return whether the events so far may be part of a result."""
        if single_version and len(self.versions) > 1:
            return False
        return all(version >= min_version for version in self.versions)

    def restart(self) -> None:
        """Discard the output and set the item back to waiting."""
        self.events.clear()
        self._count_text()
        self.versions.clear()
        self.restarts += 1
        self.version_wait_since_ms = None
        self.score = ""
        self.stage = Stage.WAITING

    def _count_text(self) -> None:
        """Count the bytes of the events, and of the breaks between."""
        self.text_bytes = sum(map(_line_bytes, self.events))

    def result(self) -> state.LotResult:
        """Return the result of a scored or failed item."""
        if self.stage is Stage.FAILED:
            return state.LotResult(self.item.id, state.ItemState.FAILED)
        return state.LotResult(
            self.item.id,
            state.ItemState.COMPLETED,
            "\n".join(self.events),
            tuple(self.versions),
            self.score,
        )


def _line_bytes(data: str) -> int:
    """Return the size of an event's data in UTF-8, with a line feed."""
    return len(data.encode()) + 1


def predict_events(item: state.LotItem) -> float:
    """Return the expected number of events of an item's output."""
    limit = max(1, item.token_limit - item.prompt_tokens)
    expected = limit if item.length_hint is None else item.length_hint
    return max(1.0, min(limit, expected) / TOKENS_PER_EVENT)
