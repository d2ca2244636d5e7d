"""Labels of samples: the weight version that produced each token.

The version is always taken from the chunk that carries the tokens, and
never inferred from a weight order. A chunk without a definite version makes
the sample unusable.
"""

import enum

from returns import result

from poplarloft import state

__all__ = ["LabelFault", "Labeller"]


class LabelFault(enum.StrEnum):
    """Reason why a sample cannot be labelled."""

    UNCERTAIN_VERSION = "uncertain-version"
    ENGINE_CHANGED = "engine-changed"
    EMPTY = "empty"


class Labeller:
    """Assembles the chunks of one stream into tokens and version spans.

    Parameters
    ----------
    engine : str
        The engine incarnation that received the request. A chunk from
        another incarnation at the same address is a fault, unless it was
        announced with `on_resume`.
    """

    def __init__(self, engine: str) -> None:
        self.engine = engine
        self.tokens: list[int] = []
        self.spans: list[state.Span] = []
        self.fault: LabelFault | None = None

    def on_resume(self, engine: str) -> None:
        """Accept chunks of another engine from now on."""
        self.engine = engine

    def on_chunk(self, chunk: state.Chunk) -> None:
        """Append the tokens of a chunk, or record why it is a fault."""
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
        """Return the tokens and spans of the stream, or its first fault."""
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
