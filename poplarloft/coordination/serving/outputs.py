"""The text of one item while it is generated, and its prediction."""

import dataclasses
import enum

from poplarloft import state

__all__ = ["EventOrderError", "ItemOutput", "Stage", "predict_events"]

DEFAULT_EVENTS = 20.0
TOKENS_PER_EVENT = 71
OVERRUN = 1.5  # a text longer than predicted is expected to go on so far


class Stage(enum.StrEnum):
    """Where an item is on its way to a result."""

    WAITING = "waiting"
    RUNNING = "running"
    COMPLETE = "whole"
    SCORED = "scored"
    FAILED = "failed"


class EventOrderError(ValueError):
    """An event that doesn't follow the one before."""


@dataclasses.dataclass(slots=True)
class ItemOutput:
    """What is held of an item's text.

    Parameters
    ----------
    item : state.LotItem
        The item, as its newest lot gives it.
    predicted_events : float
        Expected number of events.
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

    def append(self, number: int, data: str, version: int) -> None:
        """Take the next event.

        Raises
        ------
        EventOrderError
            If `number` is not the one after the last.
        """
        if number != len(self.events) + 1:
            raise EventOrderError(
                f"event {number} after {len(self.events)} events"
            )
        self.events.append(data)
        if version not in self.versions:
            self.versions.append(version)

    def remaining_events(self) -> float:
        """Return how many events are expected to come."""
        held = len(self.events)
        if held < self.predicted_events:
            return self.predicted_events - held
        return max(1.0, held * (OVERRUN - 1))

    def is_allowed(self, min_version: int, single_version: bool) -> bool:
        """Tell whether what is held may stand in a result."""
        if single_version and len(self.versions) > 1:
            return False
        return all(version >= min_version for version in self.versions)

    def restart(self) -> None:
        """Drop what is held of the text."""
        self.events.clear()
        self.versions.clear()
        self.score = ""
        self.stage = Stage.WAITING

    def result(self) -> state.LotResult:
        """Return the result of a scored or failed text."""
        if self.stage is Stage.FAILED:
            return state.LotResult(self.item.id, state.ItemState.FAILED)
        return state.LotResult(
            self.item.id,
            state.ItemState.COMPLETED,
            "\n".join(self.events),
            tuple(self.versions),
            self.score,
        )


def predict_events(item: state.LotItem) -> float:
    """Return the expected number of events of an item's text."""
    limit = max(1, item.token_limit - item.prompt_tokens)
    expected = limit if item.length_hint is None else item.length_hint
    return max(1.0, min(limit, expected) / TOKENS_PER_EVENT)
