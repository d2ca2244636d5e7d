"""Parsing of completion streams, and requests to resume them."""

from collections import abc

import msgspec

from poplarloft.protocol import engine

__all__ = ["StreamProgress", "complete_lines", "read_completion"]

_COMPLETION = msgspec.json.Decoder(engine.CompletionRequest)


def read_completion(body: bytes) -> engine.CompletionRequest | None:
    """Return the completion request in `body`, or None if it has none.

    None means that the request is of another kind, whose response stream
    cannot be resumed.
    """
    try:
        return _COMPLETION.decode(body)
    except msgspec.MsgspecError:
        return None


async def complete_lines(
    pieces: abc.AsyncIterator[bytes],
) -> abc.AsyncIterator[list[bytes]]:
    """Yield, for each piece, the lines that it completes.

    Lines keep their line feeds. An incomplete last line is dropped.
    """
    rest = b""
    async for piece in pieces:
        *lines, rest = (rest + piece).split(b"\n")
        if lines:
            yield [line + b"\n" for line in lines]


class StreamProgress:
    """Progress of a completion stream.

    Parameters
    ----------
    request : engine.CompletionRequest
        The request that started the stream.

    Attributes
    ----------
    tokens : list of int
        All tokens so far, including those that the request resumes from.
    weight_version : int or None
        Weight version of the latest tokens, if known.
    done : bool
        Whether the last line has arrived.
    """

    def __init__(self, request: engine.CompletionRequest) -> None:
        self.request = request
        self.tokens: list[int] = list(request.resume_from)
        self.weight_version: int | None = None
        self.done = False

    def on_line(self, line: bytes) -> None:
        """Add the tokens of one line.

        Raises
        ------
        msgspec.MsgspecError
            If the line is malformed.
        """
        decoded = engine.decode_stream_line(line)
        self.tokens += decoded.tokens
        self.done = decoded.done
        if decoded.tokens:
            self.weight_version = decoded.weight_version

    def resume_body(self) -> bytes:
        """Return a request body that asks an engine for the missing tokens."""
        request = msgspec.structs.replace(
            self.request, resume_from=list(self.tokens)
        )
        return engine.encode(request)
