"""Lots, their items, checkpoints of outputs, and results.

A lot is a trainer's order of samples for one step; an item is one sample.
"""

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
    """Final state of an item."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class RewardCall:
    """Request that scores an item once its output is complete.

    The signature in the answer is the item's score.
    """

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
        Upper limit on prompt and output tokens together.
    prompt_tokens : int
        Number of tokens in the prompt.
    length_hint : int or None
        The caller's estimate of the number of output tokens.
    reward : RewardCall or None
        Request that scores the output, if it is to be scored.
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
        The trainer's step, counted from 0.
    min_version : int
        Lowest weight version that may generate a token.
    groups_wanted : int
        Number of complete groups that the trainer waits for.
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
        """Return the item with this identifier, if the lot has it."""
        for item in self.items:
            if item.id == item_id:
                return item
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class LotRecord:
    """An accepted lot with the Unix time of its acceptance."""

    lot: Lot
    accepted_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutputCheckpoint:
    """Events added to an item's output since its last checkpoint.

    Parameters
    ----------
    first_event : int
        Position of the first of `events` in the output, counted from 1;
        1 starts the checkpoint of the output anew.
    events : tuple of str
        Data of the events.
    versions : tuple of int
        Weight versions that generated the output so far.
    is_whole : bool
        Whether the output is complete.
    score : str
        The score, empty until it is known.
    """

    item_id: str
    first_event: int
    events: tuple[str, ...]
    versions: tuple[int, ...]
    is_whole: bool
    score: str


@dataclasses.dataclass(frozen=True, slots=True)
class LotResult:
    """One listed result.

    Parameters
    ----------
    text : str
        The item's output: the data of its events, joined by newlines.
    versions : tuple of int
        Weight versions that generated the output.
    score : str
        Signature of the answer to the reward call, empty without one.
    """

    item_id: str
    state: ItemState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ResultPage:
    """Results from one position on, or why they cannot be read.

    Parameters
    ----------
    total : int
        Number of items in the lot.
    next_position : int
        Position after the last of `results`.
    refusal : verdict.Refusal or None
        Why there are no results; None if they were read.
    """

    total: int
    next_position: int
    results: tuple[LotResult, ...]
    refusal: verdict.Refusal | None = None
