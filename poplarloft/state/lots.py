"""Lots, their items, checkpoints of outputs, and results.

A lot is a trainer's request for the samples of one step; an item is one of
them.
"""

import dataclasses
import enum

from poplarloft.state import client_accounts
from poplarloft.state import verdict

__all__ = [
    "CheckpointIncrement",
    "ItemState",
    "Lot",
    "LotHead",
    "LotItem",
    "LotRecord",
    "LotResult",
    "PromptPart",
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

    The upstream signs its answer; the signature is stored as the item's
    score.

    Parameters
    ----------
    id : str
        Request identifier; an answer with another one is discarded.
    host, path : str
        Host and path, which select the route.
    body : bytes
        Body of the request.
    """

    id: str
    host: str
    path: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which other prompts may begin with as well."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class LotItem:
    """One sample to generate.

    Parameters
    ----------
    id : str
        Identifier, unique within the lot.
    path : str
        Path of the request to the engine.
    headers : tuple of tuple of str
        Names and values of its headers.
    body : bytes
        Its body.
    token_limit : int
        Upper limit on prompt and output tokens together.
    group : str
        Group of the item; a group is complete once each of its items has
        been scored or has failed.
    prompt_tokens : int
        Number of tokens in the prompt.
    length_hint : int or None
        The caller's estimate of the number of output tokens.
    reward : RewardCall or None
        Request that scores the output, if it is to be scored.
    shared_parts : tuple of PromptPart
        The parts of the prompt, in order, without the last one, which no
        other prompt has.
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
    shared_parts: tuple[PromptPart, ...] = ()


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
    account : str
        Client account that it belongs to, empty if there was none.
    """

    id: str
    host: str
    path: str
    model: str
    step: int
    min_version: int
    groups_wanted: int
    items: tuple[LotItem, ...]
    account: str = ""

    def find_item(self, item_id: str) -> LotItem | None:
        """Return the item with this identifier, if the lot has it."""
        for item in self.items:
            if item.id == item_id:
                return item
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class LotHead:
    """What is known of a lot for as long as its results can be read.

    Parameters
    ----------
    total : int
        Number of its items.
    account : str
        Client account that it belongs to, empty if there was none.
    """

    total: int
    account: str = ""

    def is_readable_by(self, caller: client_accounts.Caller | None) -> bool:
        """Return whether a caller may read and end the lot.

        A lot of no account is open to all.
        """
        return (
            caller is None
            or not self.account
            or caller.account == self.account
        )


@dataclasses.dataclass(frozen=True, slots=True)
class LotRecord:
    """An accepted lot with the Unix time of its acceptance."""

    lot: Lot
    accepted_at_ms: int

    @property
    def head(self) -> LotHead:
        """What stays known of the lot."""
        return LotHead(len(self.lot.items), self.lot.account)


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointIncrement:
    """Increment of the checkpoint of one item's output.

    It holds the events that were added since the increment before.

    Parameters
    ----------
    first_event : int
        Position of the first of `events` in the output, counted from 1;
        1 replaces any earlier checkpoint of the output.
    events : tuple of str
        Data of the events.
    versions : tuple of int
        Weight versions that generated the output so far.
    is_whole : bool
        Whether the output is complete.
    score : str
        The score, empty until it is known.
    software_version : str
        Software version of the engine that began the output, empty if
        unknown.
    service : str
        Service of that engine, empty if unknown.
    """

    item_id: str
    first_event: int
    events: tuple[str, ...]
    versions: tuple[int, ...]
    is_whole: bool
    score: str
    software_version: str = ""
    service: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LotResult:
    """Final result of one item, as recorded in the lot's result log.

    Parameters
    ----------
    text : str
        The item's output: the data of its events, joined by newlines.
    versions : tuple of int
        Weight versions that generated the output.
    score : str
        Signature of the answer to the reward call, empty if there is none.
    """

    item_id: str
    state: ItemState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ResultPage:
    """Results from a given position on, or why they cannot be read.

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
