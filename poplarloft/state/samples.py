"""Slots of a rollout lot, samples that fill them, trainers' holdings."""

import dataclasses

__all__ = ["Chunk", "Holdings", "Sample", "Slot", "Span"]


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Slot:
    """The place of one sample: lot, step, group and index in the group."""

    lot: str
    step: int
    group: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A run of tokens produced by one weight version.

    `first_token` and `last_token` are positions in the sample, both
    inclusive.
    """

    weight_version: int
    first_token: int
    last_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Tokens of one stream with what the engine said of their origin.

    `weight_version` is None while the engine can't tell, for example
    during a swap. `engine` names the engine and its incarnation.
    """

    tokens: tuple[int, ...]
    weight_version: int | None
    engine: str


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A whole, labelled and scored sample."""

    slot: Slot
    tokens: tuple[int, ...]
    spans: tuple[Span, ...]
    score: float
    produced_by: str

    @property
    def oldest_version(self) -> int:
        """Return the lowest weight version that produced a token."""
        return min(span.weight_version for span in self.spans)


@dataclasses.dataclass(frozen=True, slots=True)
class Holdings:
    """What a trainer says in each pull.

    Parameters
    ----------
    trainer : str
        The trainer's name and incarnation.
    step : int
        The step that it collects.
    weight_version : int
        The version that it has published last.
    held : frozenset of tuple of int
        The (group, index) pairs of the step that it holds already.
    """

    trainer: str
    step: int
    weight_version: int
    held: frozenset[tuple[int, int]] = frozenset()
