"""Labels of samples: which weight version produced which tokens.

A version is only ever taken from the chunk that carries the tokens, never
inferred from an order that was sent. A chunk without a certain version
makes the sample unusable.
"""

import enum

from returns import result

from poplarloft import state

__all__ = ["LabelFault", "Labeller"]


class LabelFault(enum.StrEnum):
    """Why a sample can't be labelled."""

    UNCERTAIN_VERSION = "uncertain-version"
    ENGINE_CHANGED = "engine-changed"
    EMPTY = "empty"


class Labeller:
    """Collects the chunks of one stream into tokens and version spans.

    Parameters
    ----------
    engine : str
        The engine incarnation that was asked; a chunk from another one
        under the same address is a fault, unless `on_resume` announced
        it.
    """

    def __init__(self, engine: str) -> None:
        self.engine = engine
        self.tokens: list[int] = []
        self.spans: list[state.Span] = []
        self.fault: LabelFault | None = None

    def on_resume(self, engine: str) -> None:
        """Go on with the chunks of another engine."""
        self.engine = engine

    def on_chunk(self, chunk: state.Chunk) -> None:
        """Add the tokens of a chunk."""
        if not chunk.tokens or self.fault is not None:
            return
        if chunk.engine != self.engine:
            self.fault = LabelFault.ENGINE_CHANGED
            return
        if chunk.weight_version is None:
            self.fault = LabelFault.UNCERTAIN_VERSION
            return
        first = len(self.tokens)
        self.tokens.extend(chunk.tokens)
        self._extend_spans(chunk.weight_version, first)

    def finish(
        self,
    ) -> result.Result[
        tuple[tuple[int, ...], tuple[state.Span, ...]], LabelFault
    ]:
        """Return tokens and spans of the whole stream, or the fault."""
        if self.fault is not None:
            return result.Failure(self.fault)
        if not self.tokens:
            return result.Failure(LabelFault.EMPTY)
        return result.Success((tuple(self.tokens), tuple(self.spans)))

    def _extend_spans(self, weight_version: int, first: int) -> None:
        last = len(self.tokens) - 1
        if self.spans and self.spans[-1].weight_version == weight_version:
            first = self.spans.pop().first_token
        self.spans.append(state.Span(weight_version, first, last))
