"""Keeps the requests to upstreams within the rates that these name."""

import asyncio
from collections import abc
import dataclasses

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import member_registry
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft.daemon.serving.fleet import permit_link
from poplarloft import state

__all__ = ["UpstreamLimits"]

# A trial finds out whether a limit still holds although other upstreams of
# the service have room.
TRIAL_INTERVAL_MS = 1_000
TRIAL_TIMEOUT_MS = 100  # the sibling takes the request after that
MAX_ASKED = 3  # upstreams for which one request asks for a permit
UNKNOWN_WAIT_MS = 500  # no issuer can be asked at the moment
MAX_LATENESS_MS = 500  # a later request could meet those scheduled after it
MS_PER_S = 1_000
Acquired = result.Result[None, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Denial:
    """Time before which no permit is issued at a limit."""

    until_ms: int
    rate_per_s: float | None


class UpstreamLimits:
    """The limits that upstreams name, and the permits that they require.

    Requests to an upstream without a limit need no permit.

    Parameters
    ----------
    name : str
        Name of this instance.
    peers : peer_link.PeerLink
        Messages from and to other instances.
    membership : member_registry.Membership
        Knows the other instances.
    has_peers : bool
        Whether there are other instances. If not, this one schedules its
        requests by itself.
    """

    def __init__(
        self,
        name: str,
        peers: peer_link.PeerLink,
        membership: member_registry.Membership,
        has_peers: bool,
    ) -> None:
        self.name = name
        self.has_peers = has_peers
        self.clock = state.BootClock()
        self.table = serving.LimitTable(self.clock, name)
        self.link = permit_link.PermitLink(
            self.clock, name, peers, membership, self.table
        )
        self.trial_at_ms: dict[serving.EngineId, int] = {}
        self.denials: dict[serving.EngineId, _Denial] = {}

    def on_response(
        self, sampler: state.Sampler, named: state.NamedLimit, request_id: str
    ) -> None:
        """Take note of what one response of an upstream says."""
        if named.error:
            eliot.log_message(
                "limit-unreadable",
                upstream=sampler.name,
                request=request_id,
                error=named.error,
            )
            return
        if self.table.on_response(sampler.engine_id, named):
            self.link.on_change(sampler.engine_id, request_id)

    def rate_of(self, engine_id: serving.EngineId) -> float | None:
        """Return the limit of an upstream, None if it has none."""
        return self.table.rate_of(engine_id)

    def follow(self, registry: serving.SamplerRegistry) -> None:
        """Forget the upstreams that are no longer announced."""
        if not self.table.known and not self.link.issuer.schedules:
            return
        engine_ids = registry.engine_ids()
        for name, born_ms in self.table.keep_only(engine_ids):
            eliot.log_message(
                "limit-ended", upstream=name, born_ms=born_ms, by="gone"
            )
        self.link.issuer.keep_only(engine_ids)
        self.link.own_turns.keep_only(engine_ids)
        for engine_id in set(self.trial_at_ms) - engine_ids:
            del self.trial_at_ms[engine_id]
        for engine_id in set(self.denials) - engine_ids:
            del self.denials[engine_id]

    async def choose(
        self,
        balancer: serving.Balancer,
        available: abc.Sequence[state.Sampler],
        excluded: abc.Collection[str],
        need: serving.PermitNeed,
    ) -> result.Result[state.Sampler, int | None]:
        """Choose an upstream to which a request may be sent now.

        Upstreams without a limit go first. Where there is none, the request
        waits for a permit for another one, as long as it can still be
        served then.

        Returns
        -------
        Result
            The upstream, or the time in milliseconds after which one may
            take a request; None if there is no upstream at all.
        """
        if not self.table.known:
            return _to_result(balancer.choose(available, excluded))
        open_to_all = []
        limited = []
        for sampler in available:
            if sampler.name in excluded:
                continue
            if self.table.rate_of(sampler.engine_id) is None:
                open_to_all.append(sampler)
            else:
                limited.append(sampler)
        chosen = balancer.choose(open_to_all, ())
        if chosen is None:
            return await self._choose_limited(balancer, limited, need)
        if limited and await self._try_limited(limited, need):
            return result.Success(limited[0])
        return result.Success(chosen)

    async def acquire(
        self, sampler: state.Sampler, need: serving.PermitNeed
    ) -> Acquired:
        """Wait until a request may be sent to an upstream.

        Returns
        -------
        Result
            Nothing, or the time in milliseconds after which a permit may
            be had, if the request cannot wait for one.
        """
        engine_id = sampler.engine_id
        if self.table.rate_of(engine_id) is None:
            return result.Success(None)
        asked_at_ms = self.clock.now_ms()
        permit = await self._ask(sampler, need)
        outcome = "passed-over" if need.is_trial else "denied"
        if permit.is_granted:
            outcome = "granted"
            rate_per_s = self.table.rate_of(engine_id)
            await asyncio.sleep(permit.wait_ms / MS_PER_S)
            due_at_ms = asked_at_ms + permit.wait_ms
            if self.clock.now_ms() - due_at_ms > MAX_LATENESS_MS:
                outcome = "late"
            elif self._is_lower_now(engine_id, rate_per_s):
                outcome = "outdated"
        self._log_permit(sampler, need, permit, outcome)
        if outcome == "granted":
            return result.Success(None)
        return result.Failure(max(1, permit.wait_ms))

    async def _choose_limited(
        self,
        balancer: serving.Balancer,
        limited: list[state.Sampler],
        need: serving.PermitNeed,
    ) -> result.Result[state.Sampler, int | None]:
        waits_ms: list[int] = []
        while limited and len(waits_ms) < MAX_ASKED:
            chosen = balancer.choose(limited, ())
            assert chosen is not None
            limited.remove(chosen)
            match await self.acquire(chosen, need):
                case result.Success(_):
                    return result.Success(chosen)
                case result.Failure(wait_ms):
                    waits_ms.append(wait_ms)
        return result.Failure(min(waits_ms, default=None))

    async def _try_limited(
        self, limited: list[state.Sampler], need: serving.PermitNeed
    ) -> bool:
        """Acquire a permit for a limited upstream if a trial is due.

        The upstream becomes the first of `limited`.
        """
        now_ms = self.clock.now_ms()
        limited.sort(key=lambda s: self.trial_at_ms.get(s.engine_id, 0))
        engine_id = limited[0].engine_id
        if now_ms < self.trial_at_ms.get(engine_id, 0):
            return False
        self.trial_at_ms[engine_id] = now_ms + TRIAL_INTERVAL_MS
        try:
            async with asyncio.timeout(TRIAL_TIMEOUT_MS / MS_PER_S):
                acquired = await self.acquire(limited[0], need.as_trial())
        except TimeoutError:
            return False
        return isinstance(acquired, result.Success)

    async def _ask(
        self, sampler: state.Sampler, need: serving.PermitNeed
    ) -> serving.Permit:
        """Return the issuer's decision; a denial if none can be asked.

        Permits are issued in order of time, so that a denial also tells
        when the next one may be had at the earliest.
        """
        engine_id = sampler.engine_id
        now_ms = self.clock.now_ms()
        rate_per_s = self.table.rate_of(engine_id)
        denial = self.denials.get(engine_id)
        if denial is not None and denial.rate_per_s == rate_per_s:
            wait_ms = denial.until_ms - now_ms
            if wait_ms > need.longest_wait_ms:
                return serving.Permit(False, wait_ms)
        permit: serving.Permit | None
        if self.has_peers:
            permit = await self.link.ask(engine_id, need)
        else:
            permit = self.link.decide_here(
                engine_id, need, serving.FIRST_PLACE
            )
        if permit is None:
            return serving.Permit(False, UNKNOWN_WAIT_MS)
        if not permit.is_granted:
            until_ms = now_ms + permit.wait_ms
            self.denials[engine_id] = _Denial(until_ms, rate_per_s)
        return permit

    def _is_lower_now(
        self, engine_id: serving.EngineId, rate_per_s: float | None
    ) -> bool:
        """Return whether a lower limit has been named since."""
        current_per_s = self.table.rate_of(engine_id)
        if rate_per_s is None or current_per_s is None:
            return rate_per_s is None and current_per_s is not None
        return current_per_s < rate_per_s

    def _log_permit(
        self,
        sampler: state.Sampler,
        need: serving.PermitNeed,
        permit: serving.Permit,
        outcome: str,
    ) -> None:
        known = self.table.report_of(sampler.engine_id)
        eliot.log_message(
            "permit",
            request=need.request_id,
            upstream=sampler.name,
            outcome=outcome,
            wait_ms=permit.wait_ms,
            priority=need.priority,
            rate_per_s=None if known is None else known.rate_per_s,
            heard_by=None if known is None else known.heard_by,
            age_ms=None if known is None else known.age_ms,
        )


def _to_result(
    chosen: state.Sampler | None,
) -> result.Result[state.Sampler, int | None]:
    return result.Failure(None) if chosen is None else result.Success(chosen)
