"""Completion streams, line by line, and how to go on with a broken one."""

from collections import abc

import msgspec

from poplarloft.protocol import engine

__all__ = ["StreamProgress", "complete_lines", "read_completion"]

_COMPLETION = msgspec.json.Decoder(engine.CompletionRequest)


def read_completion(body: bytes) -> engine.CompletionRequest | None:
    """Return the completion that a request's body asks for, if it does."""
    try:
        return _COMPLETION.decode(body)
    except msgspec.MsgspecError:
        return None


async def complete_lines(
    pieces: abc.AsyncIterator[bytes],
) -> abc.AsyncIterator[list[bytes]]:
    """Yield the lines that each piece completes, with their ends.

    A line that is broken off at the end is not yielded.
    """
    rest = b""
    async for piece in pieces:
        *lines, rest = (rest + piece).split(b"\n")
        if lines:
            yield [line + b"\n" for line in lines]


class StreamProgress:
    """What a stream has given so far."""

    def __init__(self, request: engine.CompletionRequest) -> None:
        self.request = request
        self.tokens: list[int] = list(request.resume_from)
        self.weight_version: int | None = None
        self.done = False

    def on_line(self, line: bytes) -> None:
        """Take one line; raises `msgspec.MsgspecError` if it is none."""
        decoded = engine.decode_stream_line(line)
        self.tokens += decoded.tokens
        self.done = decoded.done
        if decoded.tokens:
            self.weight_version = decoded.weight_version

    def resume_body(self) -> bytes:
        """Return the body that asks another engine for the rest."""
        request = msgspec.structs.replace(
            self.request, resume_from=list(self.tokens)
        )
        return engine.encode(request)
