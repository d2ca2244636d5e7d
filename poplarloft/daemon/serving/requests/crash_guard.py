"""Keeps requests that crash upstreams from being sent again and again."""

import asyncio
from collections import abc
import dataclasses

import eliot

from poplarloft import coordination
from poplarloft.coordination import serving
from poplarloft.daemon import quarantines
from poplarloft.daemon.serving.requests import crash_news
from poplarloft.daemon import tasks
from poplarloft.platform import ingress
from poplarloft.platform import samplers
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["CrashGuard", "Flight", "IdentifiedCall"]

PROBE_INTERVAL_MS = 500
HOLD_RETRY_MS = 500  # most lost connections are explained by then
DOWN_MS = 1_000  # a crashed upstream gets no requests meanwhile
MAX_LOGGED = 8  # fingerprints in a line
MS_PER_S = 1_000
Status = coordination.FingerprintStatus


class Flight:
    """A request in flight on an upstream, until `end` is called.

    The fingerprint of a streamed body is known once it has been sent.
    """

    def __init__(
        self, guard: coordination.PoisonGuard, sampler: state.Sampler
    ) -> None:
        self.guard = guard
        self.sampler = sampler
        self.ticket: int | None = None

    def identify(self, fingerprint: str) -> None:
        """Set the fingerprint of the request."""
        if self.ticket is None:
            self.ticket = self.guard.on_dispatch(
                *self.sampler.engine_id, fingerprint
            )

    def end(self) -> None:
        """The request is no longer in flight."""
        if self.ticket is not None:
            self.guard.on_done(*self.sampler.engine_id, self.ticket)


@dataclasses.dataclass(slots=True)
class IdentifiedCall:
    """A request with its fingerprint, once that is known.

    `flight` learns the fingerprint of a streamed body when it ends.
    """

    call: ingress.ForwardedCall
    fingerprint: str = ""
    flight: Flight | None = None


class CrashGuard:
    """Recognizes crashes of upstreams and restricts what may cause them.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    guard : coordination.PoisonGuard
        Which fingerprints are suspect or quarantined.
    news : crash_news.CrashNews
        Shares crashes with other instances.
    registry : serving.SamplerRegistry
        The announced upstreams.
    client : samplers.SamplerClient
        Probes upstreams.
    task_set : tasks.TaskSet
        Runs the probes.
    """

    def __init__(
        self,
        clock: state.Clock,
        guard: coordination.PoisonGuard,
        news: crash_news.CrashNews,
        registry: serving.SamplerRegistry,
        client: samplers.SamplerClient,
        task_set: tasks.TaskSet,
    ) -> None:
        self.clock = clock
        self.guard = guard
        self.news = news
        self.client = client
        self.task_set = task_set
        self.lost = serving.LostRuns(clock, registry)
        self.down_until_ms: dict[serving.EngineId, int] = {}
        self.is_probing = False

    async def identify(self, call: ingress.ForwardedCall) -> IdentifiedCall:
        """Compute the fingerprint of a request.

        A streamed body is read completely if its caller has a restricted
        request to the same target, since it may be the same one.

        Raises
        ------
        ProtocolError
            If a body that is read here is too large or incomplete.
        """
        hasher = call.hasher()
        body = call.body
        if isinstance(body, http.BodyStream):
            if not self.guard.has_scope(hasher.scope):
                identified = IdentifiedCall(call)
                pieces = _hash_pieces(body.pieces, hasher, identified)
                identified.call = dataclasses.replace(
                    call, body=http.BodyStream(pieces, body.length)
                )
                return identified
            body = b"".join([piece async for piece in body.pieces])
            call = dataclasses.replace(call, body=body)
        hasher.update(body)
        return IdentifiedCall(call, hasher.fingerprint())

    def status_of(self, fingerprint: str) -> Status:
        """Return the restriction on a fingerprint, empty if not known."""
        if not fingerprint:
            return Status.CLEAR
        return self.guard.status_of(fingerprint)

    def retry_after_ms(self, fingerprint: str) -> int:
        """Return when a restricted request may be sent again."""
        quarantine = self.guard.quarantined.get(fingerprint)
        if quarantine is None:
            return HOLD_RETRY_MS
        now_ms = self.guard.wall_clock.now_ms()
        return max(HOLD_RETRY_MS, quarantine.until_ms - now_ms)

    def usable(
        self,
        fingerprint: str,
        available: abc.Sequence[state.Sampler],
        tried: abc.Collection[str],
    ) -> list[state.Sampler]:
        """Return the upstreams on which a request may run now.

        A suspect gets at most one, which runs no other active suspect, and
        preferably one that it has not tried.
        """
        if self.down_until_ms:
            available = self._without_crashed(available)
        if self.status_of(fingerprint) is not Status.SUSPECT:
            return list(available)
        by_name = {sampler.name: sampler for sampler in available}
        untried = [name for name in by_name if name not in tried]
        chosen = self.guard.placement(fingerprint, untried or list(by_name))
        return [] if chosen is None else [by_name[chosen]]

    def begin(
        self, identified: IdentifiedCall, sampler: state.Sampler
    ) -> Flight:
        """Record that a request is sent to an upstream."""
        flight = Flight(self.guard, sampler)
        if identified.fingerprint:
            flight.identify(identified.fingerprint)
        else:
            identified.flight = flight
        return flight

    async def on_lost(
        self, sampler: state.Sampler, request_id: str, max_wait_ms: int
    ) -> bool:
        """Find out whether an upstream crashed under a request.

        Parameters
        ----------
        sampler : state.Sampler
            The upstream to which a connection was lost.
        request_id : str
            Identifier of the request.
        max_wait_ms : int
            Longest time to wait for the outcome, which may be found later.

        Returns
        -------
        bool
            Whether it is known to have crashed.
        """
        engine_id = sampler.engine_id
        if self.guard.resets.get(engine_id) == ():
            return True
        self.guard.on_reset(*engine_id)
        verdict = self.lost.on_lost(sampler)
        if verdict is not None:
            self._conclude(verdict, request_id)
        else:
            probe = self.task_set.spawn(self._probe(sampler, request_id))
            await asyncio.wait({probe}, timeout=max_wait_ms / MS_PER_S)
        return self.guard.resets.get(engine_id) == ()

    async def _probe(self, sampler: state.Sampler, request_id: str) -> None:
        """Probe an upstream, again later if that is not conclusive."""
        outcome = await self.client.probe(sampler)
        verdict = self.lost.on_probe(sampler.engine_id, outcome)
        if verdict is not None:
            self._conclude(verdict, request_id)
        elif not self.is_probing and self.lost.pending:
            self.is_probing = True
            self.task_set.spawn(self._probe_pending())

    def on_completed(self, fingerprint: str) -> None:
        """Clear a suspect whose request an upstream has answered."""
        if fingerprint and self.guard.histories:
            self.news.publish(self.guard.on_completed(fingerprint))

    def on_announcements(self) -> None:
        """Draw conclusions from the current announcements."""
        if self.lost.pending:
            for verdict in self.lost.on_announcements():
                self._conclude(verdict)

    async def watch(
        self,
        body: abc.AsyncIterator[bytes],
        flight: Flight,
        identified: IdentifiedCall,
    ) -> abc.AsyncIterator[bytes]:
        """Yield a response's body; if it is cut, look for a crash."""
        try:
            async for piece in body:
                yield piece
            self.on_completed(identified.fingerprint)
        except http_client.TruncatedResponseError:
            await self.on_lost(flight.sampler, identified.call.id, 0)
            raise
        finally:
            flight.end()
            await body.aclose()  # type: ignore[attr-defined]

    def _without_crashed(
        self, available: abc.Sequence[state.Sampler]
    ) -> list[state.Sampler]:
        now_ms = self.clock.now_ms()
        self.down_until_ms = {
            engine_id: until_ms
            for engine_id, until_ms in self.down_until_ms.items()
            if until_ms > now_ms
        }
        return [
            sampler
            for sampler in available
            if sampler.engine_id not in self.down_until_ms
        ]

    async def _probe_pending(self) -> None:
        """Probe silent upstreams until there is a verdict on each run."""
        try:
            while self.lost.pending:
                await asyncio.sleep(PROBE_INTERVAL_MS / MS_PER_S)
                for verdict in self.lost.expire():
                    self._conclude(verdict)
                for sampler in self.lost.to_probe():
                    outcome = await self.client.probe(sampler)
                    found = self.lost.on_probe(sampler.engine_id, outcome)
                    if found is not None:
                        self._conclude(found)
        finally:
            self.is_probing = False

    def _conclude(
        self, verdict: serving.RunVerdict, request_id: str = ""
    ) -> None:
        """Count a crash, or forget the loss of the connection; log it."""
        engine_id = verdict.engine_id
        suspects = self.guard.resets.get(engine_id, ())
        has_crashed = verdict.kind is serving.VerdictKind.CRASHED
        eliot.log_message(
            "upstream-crashed" if has_crashed else "upstream-not-crashed",
            upstream=engine_id[0],
            born_ms=engine_id[1],
            evidence=verdict.evidence,
            age_ms=verdict.age_ms,
            request=request_id,
            suspects=len(suspects),
            fingerprints=list(suspects[:MAX_LOGGED]),
            crashes=[self.guard.crashes_of(f) for f in suspects[:MAX_LOGGED]],
        )
        if not has_crashed:
            self.guard.on_reset_without_crash(*engine_id)
            return
        self.down_until_ms[engine_id] = self.clock.now_ms() + DOWN_MS
        updates = self.guard.on_crash(*engine_id)
        for update in updates:
            quarantines.log_quarantine(update)
        self.news.publish(updates)


async def _hash_pieces(
    pieces: abc.AsyncIterator[bytes],
    hasher: http.RequestHasher,
    identified: IdentifiedCall,
) -> abc.AsyncIterator[bytes]:
    """Yield the pieces of a body, whose fingerprint is known before its end.

    The last piece is yielded once the request has been identified, since
    the upstream may run it from then on.
    """
    last: bytes | None = None
    async for piece in pieces:
        if last is not None:
            yield last
        hasher.update(piece)
        last = piece
    identified.fingerprint = hasher.fingerprint()
    if identified.flight is not None:
        identified.flight.identify(identified.fingerprint)
    if last is not None:
        yield last
