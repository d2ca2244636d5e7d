"""Lots of samples, their items and results."""

import dataclasses
import enum

from poplarloft.state import verdict

__all__ = [
    "ItemState",
    "Lot",
    "LotItem",
    "LotRecord",
    "LotResult",
    "OutputCheckpoint",
    "ResultPage",
    "RewardCall",
]


class ItemState(enum.StrEnum):
    """How an item ended."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class RewardCall:
    """The request whose signature scores an item's finished text."""

    id: str
    host: str
    path: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LotItem:
    """One sample to generate.

    Parameters
    ----------
    token_limit : int
        Prompt tokens and the most output tokens together.
    prompt_tokens : int
        Tokens of the prompt.
    length_hint : int or None
        The caller's estimate of the output tokens.
    """

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    token_limit: int
    group: str
    prompt_tokens: int = 0
    length_hint: int | None = None
    reward: RewardCall | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Lot:
    """The samples of one step of a trainer.

    Parameters
    ----------
    step : int
        The trainer's step, from 0.
    min_version : int
        Oldest weight version that may generate a token.
    groups_wanted : int
        Complete groups that the trainer waits for.
    """

    id: str
    host: str
    path: str
    model: str
    step: int
    min_version: int
    groups_wanted: int
    items: tuple[LotItem, ...]

    def find_item(self, item_id: str) -> LotItem | None:
        """Return the item of an identifier."""
        for item in self.items:
            if item.id == item_id:
                return item
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class LotRecord:
    """A lot as accepted, with the wall-clock time of its acceptance."""

    lot: Lot
    accepted_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutputCheckpoint:
    """New events of an item's text, from `first_event` (from 1) on."""

    item_id: str
    first_event: int
    events: tuple[str, ...]
    versions: tuple[int, ...]
    is_whole: bool
    score: str


@dataclasses.dataclass(frozen=True, slots=True)
class LotResult:
    """One listed result; `versions` generated the events of its text."""

    item_id: str
    state: ItemState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ResultPage:
    """Results from one position on, or why they can't be read."""

    total: int
    next_position: int
    results: tuple[LotResult, ...]
    refusal: verdict.Refusal | None = None
