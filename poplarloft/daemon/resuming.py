"""Resumption of interrupted completion streams on another engine."""

from collections import abc
import dataclasses
import itertools

import eliot
import msgspec
from returns import result

from poplarloft import coordination
from poplarloft.daemon import calls
from poplarloft.protocol import streams
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["ResumedStream", "StreamResumer"]

COMPLETIONS_PATH = "/v1/completions"
MAX_RESUMES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ResumedStream:
    """The rest of an interrupted stream.

    Parameters
    ----------
    upstream : str
        Name of the engine that sends it.
    """

    upstream: str
    body: abc.AsyncIterator[bytes]


ResumeOutcome = result.Result[ResumedStream, coordination.Failure]
Send = abc.Callable[
    [calls.RelayCall, frozenset[str], int | None],
    abc.Awaitable[ResumeOutcome],
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
        failed = {upstream.name}
        for interruptions in itertools.count(1):
            try:
                async for lines in streams.complete_lines(body):
                    for line in lines:
                        progress.on_line(line)
                        yield line
            except (http_client.TruncatedResponseError, msgspec.MsgspecError):
                pass
            finally:
                await body.aclose()  # type: ignore[attr-defined]
            if progress.done:
                return
            if interruptions > MAX_RESUMES:
                raise http_client.TruncatedResponseError(
                    f"completion stream interrupted {interruptions} times"
                )
            resumed = await self._resume_elsewhere(
                call, progress, frozenset(failed)
            )
            failed.add(resumed.upstream)
            body = resumed.body

    async def _resume_elsewhere(
        self,
        call: calls.RelayCall,
        progress: streams.StreamProgress,
        failed: frozenset[str],
    ) -> ResumedStream:
        """Return the remaining stream from another engine."""
        resumed = dataclasses.replace(
            call,
            request=dataclasses.replace(
                call.request, body=progress.resume_body()
            ),
        )
        # logged before the attempt, which may fail
        eliot.log_message(
            "stream-resumed",
            route=call.route_name,
            tokens=len(progress.tokens),
        )
        match await self.send(resumed, failed, progress.weight_version):
            case result.Success(ResumedStream() as stream):
                return stream
        raise http_client.TruncatedResponseError(
            "no other engine could resume the completion stream"
        )
