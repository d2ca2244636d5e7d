"""Resumption of interrupted completion streams on another engine."""

from collections import abc
import dataclasses

import eliot
import msgspec
from returns import result

from poplarloft import coordination
from poplarloft.daemon import calls
from poplarloft.protocol import http
from poplarloft.protocol import streams
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["StreamResumer"]

COMPLETIONS_PATH = "/v1/completions"
MAX_RESUMES = 2

AttemptOutcome = result.Result[http.HttpResponse, coordination.Failure]
Send = abc.Callable[
    [calls.RelayCall, frozenset[str], int | None],
    abc.Awaitable[AttemptOutcome],
]


class StreamResumer:
    """Relays completion streams and resumes them when an engine fails.

    Only complete lines are relayed, so the caller never sees part of a
    line that another engine then repeats. Each line names the weight
    version and engine that produced it; a stream is resumed only under
    the version it was interrupted with.

    Parameters
    ----------
    send : callable
        Sends a call to an engine that is not in a set of excluded names
        and serves a weight version (None: any).
    """

    def __init__(self, send: Send) -> None:
        self.send = send

    def can_resume(
        self, call: calls.RelayCall, upstream: state.Upstream
    ) -> bool:
        """Return whether a call's stream can be resumed."""
        return (
            upstream.kind is state.UpstreamKind.ENGINE
            and call.repeatable
            and call.target == COMPLETIONS_PATH
            and streams.read_completion(call.request.body) is not None
        )

    async def relay_stream(
        self,
        call: calls.RelayCall,
        upstream: state.Upstream,
        body: abc.AsyncIterator[bytes],
    ) -> abc.AsyncIterator[bytes]:
        """Yield complete lines; resume on another engine if interrupted.

        Raises
        ------
        TruncatedResponseError
            If no other engine can resume the stream, or if it has been
            interrupted more than `MAX_RESUMES` times.
        """
        request = streams.read_completion(call.request.body)
        assert request is not None
        progress = streams.StreamProgress(request)
        tried = frozenset({upstream.name})
        for _ in range(MAX_RESUMES + 1):
            try:
                async for lines in streams.complete_lines(body):
                    for line in lines:
                        progress.on_line(line)
                    yield b"".join(lines)
            except (http_client.TruncatedResponseError, msgspec.MsgspecError):
                pass
            finally:
                await body.aclose()  # type: ignore[attr-defined]
            if progress.done:
                return
            body = await self._resume_elsewhere(call, progress, tried)
        raise http_client.TruncatedResponseError(
            f"completion stream interrupted more than {MAX_RESUMES} times"
        )

    async def _resume_elsewhere(
        self,
        call: calls.RelayCall,
        progress: streams.StreamProgress,
        tried: frozenset[str],
    ) -> abc.AsyncIterator[bytes]:
        """Return the remaining stream from another engine."""
        resumed = dataclasses.replace(
            call,
            request=dataclasses.replace(
                call.request, body=progress.resume_body()
            ),
        )
        eliot.log_message(
            "stream-resumed",
            route=call.route_name,
            tokens=len(progress.tokens),
        )
        match await self.send(resumed, tried, progress.weight_version):
            case result.Success(http.HttpResponse(status=200, body=body)):
                if not isinstance(body, bytes):
                    return body
        raise http_client.TruncatedResponseError(
            "no other engine could resume the completion stream"
        )
