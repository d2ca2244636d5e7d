"""Requests to model engines and scorers, and their responses."""

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
    """A request for a stream of tokens.

    `priority` is 0 for live applications and larger for rollouts.
    `resume_from` holds the tokens that another engine has already
    generated for the same prompt.
    """

    prompt: str
    max_tokens: int
    priority: int = 0
    seed: int = 0
    resume_from: list[int] = []


class StreamLine(msgspec.Struct, kw_only=True):
    """One line of a completion stream; the last one has `done` set.

    `weight_version` is None if the engine cannot tell which version
    generated the tokens. `engine` names the engine and its incarnation.
    """

    tokens: list[int] = []
    weight_version: int | None = None
    engine: str = ""
    done: bool = False


class EngineState(msgspec.Struct, kw_only=True):
    """An engine's report on its load, its cache and its weights.

    Parameters
    ----------
    engine : str
        The engine and its incarnation.
    age_ms : int
        Age of the figures when the response was sent, in milliseconds.
    running : int
        Number of completions that it is generating.
    queued_tokens : int
        Number of tokens that it has yet to generate.
    weight_version : int or None
        The version that it serves, None while it switches weights.
    leaving : bool
        Whether it is about to shut down.
    cached_prefixes : list of int
        Hashes of the prompt prefixes in its cache, as returned by
        `coordination.prefix_blocks`.
    cache_sequence : int
        Sequence number of the state of its cache. A decrease means that
        earlier reports on the cache no longer hold.
    fence : int
        Highest fencing token of the orders that it has accepted.
    preloaded : list of int
        Weight versions that it can switch to at once.
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
    """An order to an engine to preload a weight version or switch to it.

    `kind` is a value of `coordination.OrderKind`; `fence` is the fencing
    token of the lease under which the order is sent.
    """

    kind: str
    weight_version: int
    fence: int


class OrderAnswer(msgspec.Struct, kw_only=True):
    """An engine's answer to an order; `detail` is the reason of a refusal."""

    accepted: bool
    detail: str = ""


class ScoreRequest(msgspec.Struct, kw_only=True):
    """A request for the score of a sample."""

    lot: str
    step: int
    group: int
    index: int
    tokens: list[int]


class ScoreAnswer(msgspec.Struct, kw_only=True):
    """A scorer's answer to a `ScoreRequest`."""

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
        If the line is malformed.
    """
    return _STREAM_LINE.decode(line)


def decode_engine_state(data: bytes) -> EngineState:
    """Return an engine's report.

    Raises
    ------
    msgspec.MsgspecError
        If the report is malformed.
    """
    return _ENGINE_STATE.decode(data)


def decode_order_answer(data: bytes) -> OrderAnswer:
    """Return an engine's answer to an order.

    Raises
    ------
    msgspec.MsgspecError
        If the answer is malformed.
    """
    return _ORDER_ANSWER.decode(data)


def decode_score(data: bytes) -> float:
    """Return the score in a scorer's answer.

    Raises
    ------
    msgspec.MsgspecError
        If the answer is malformed.
    """
    return _SCORE.decode(data).score


def load_report(
    upstream: str, answer: EngineState, received_at_ms: int
) -> state.LoadReport:
    """Return an engine's report, timed by this instance's monotonic clock."""
    return state.LoadReport(
        upstream,
        received_at_ms - answer.age_ms,
        answer.running,
        answer.queued_tokens,
        answer.weight_version,
        frozenset(answer.cached_prefixes),
    )
