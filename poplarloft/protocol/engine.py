"""What is said to model engines and scorers, and what they answer."""

import msgspec

from poplarloft import state

__all__ = [
    "CompletionRequest",
    "EngineState",
    "OrderAnswer",
    "ScoreAnswer",
    "ScoreRequest",
    "StreamLine",
    "WeightOrder",
    "decode_engine_state",
    "decode_order_answer",
    "decode_score",
    "decode_stream_line",
    "encode",
    "load_report",
]


class CompletionRequest(msgspec.Struct, kw_only=True):
    """Asks an engine for tokens.

    `priority` is 0 for live applications and larger for rollouts.
    `resume_from` are tokens that another engine has produced already.
    """

    prompt: str
    max_tokens: int
    priority: int = 0
    seed: int = 0
    resume_from: list[int] = []


class StreamLine(msgspec.Struct, kw_only=True):
    """One line of a completion stream; the last one has `done` set."""

    tokens: list[int] = []
    weight_version: int | None = None
    engine: str = ""
    done: bool = False


class EngineState(msgspec.Struct, kw_only=True):
    """An engine's own report of its load and weights.

    `age_ms` is how old the figures were when the answer was sent.
    """

    engine: str
    age_ms: int
    running: int
    queued_tokens: int
    weight_version: int | None
    leaving: bool = False
    cached_prefixes: list[int] = []
    cache_sequence: int = 0
    fence: int = 0
    preloaded: list[int] = []


class WeightOrder(msgspec.Struct, kw_only=True):
    """Orders an engine to preload a version or to switch to it."""

    kind: str
    weight_version: int
    fence: int


class OrderAnswer(msgspec.Struct, kw_only=True):
    """What an engine says of an order."""

    accepted: bool
    detail: str = ""


class ScoreRequest(msgspec.Struct, kw_only=True):
    """Asks a scorer for the score of a sample."""

    lot: str
    step: int
    group: int
    index: int
    tokens: list[int]


class ScoreAnswer(msgspec.Struct, kw_only=True):
    """A scorer's answer."""

    score: float


_STREAM_LINE = msgspec.json.Decoder(StreamLine)
_ENGINE_STATE = msgspec.json.Decoder(EngineState)
_ORDER_ANSWER = msgspec.json.Decoder(OrderAnswer)
_SCORE = msgspec.json.Decoder(ScoreAnswer)

encode = msgspec.json.encode


def decode_stream_line(line: bytes) -> StreamLine:
    """Return one line of a completion stream.

    Raises
    ------
    msgspec.MsgspecError
        If the line has another form.
    """
    return _STREAM_LINE.decode(line)


def decode_engine_state(data: bytes) -> EngineState:
    """Return an engine's report; raises `msgspec.MsgspecError`."""
    return _ENGINE_STATE.decode(data)


def decode_order_answer(data: bytes) -> OrderAnswer:
    """Return the answer to an order; raises `msgspec.MsgspecError`."""
    return _ORDER_ANSWER.decode(data)


def decode_score(data: bytes) -> float:
    """Return a score; raises `msgspec.MsgspecError`."""
    return _SCORE.decode(data).score


def load_report(
    upstream: str, answer: EngineState, received_at_ms: int
) -> state.LoadReport:
    """Return an engine's report with its time on this instance's clock."""
    return state.LoadReport(
        upstream,
        received_at_ms - answer.age_ms,
        answer.running,
        answer.queued_tokens,
        answer.weight_version,
        frozenset(answer.cached_prefixes),
    )
