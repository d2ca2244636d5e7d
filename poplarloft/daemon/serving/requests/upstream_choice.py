"""Chooses the upstream of each attempt at a client's request."""

import random

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import upstream_limits
from poplarloft.daemon.serving.requests import attempt_history
from poplarloft.daemon.serving.requests import crash_guard
from poplarloft.platform import samplers
from poplarloft import state

__all__ = ["UpstreamChooser"]

SAME_RUN = (state.ProbeOutcome.SAME_RUN, state.ProbeOutcome.ANSWERED)


class UpstreamChooser:
    """Applies all that restricts the choice of an upstream.

    Parameters
    ----------
    registry : serving.SamplerRegistry
        The announced upstreams.
    client : samplers.SamplerClient
        Probes upstreams.
    balancer : serving.Balancer
        Chooses among the upstreams of a service.
    rng : random.Random
        Chooses among the services of a split route.
    limits : upstream_limits.UpstreamLimits
        Permits for upstreams that have named a limit.
    guard : crash_guard.CrashGuard
        Restricts requests that may crash upstreams.
    """

    def __init__(
        self,
        registry: serving.SamplerRegistry,
        client: samplers.SamplerClient,
        balancer: serving.Balancer,
        rng: random.Random,
        limits: upstream_limits.UpstreamLimits,
        guard: crash_guard.CrashGuard,
    ) -> None:
        self.registry = registry
        self.client = client
        self.balancer = balancer
        self.rng = rng
        self.limits = limits
        self.guard = guard

    async def is_same_run(
        self, sampler: state.Sampler, request_id: str
    ) -> bool:
        """Return whether an upstream still is the run that was announced.

        After a restart under its name it may have another version.
        """
        outcome = await self.client.probe(sampler)
        if outcome in SAME_RUN:
            return True
        if outcome is state.ProbeOutcome.OTHER_RUN:
            self.registry.on_replaced(sampler.engine_id)
        eliot.log_message(
            "attempt-failed",
            request=request_id,
            upstream=sampler.name,
            born_ms=sampler.born_ms,
            kind="version-unsure",
            detail=outcome.value,
            verdict=state.Verdict.NOT_RUN.value,
        )
        return False

    def pick_service(self, route: state.PathRoute) -> str:
        """Return the service that gets a request of a route."""
        return serving.rank_services(route.targets, self.rng.random())[0]

    async def choose(
        self,
        service: str,
        identified: crash_guard.IdentifiedCall,
        history: attempt_history.AttemptHistory,
        need: serving.PermitNeed,
    ) -> state.Sampler | None:
        """Return an upstream that may get the request, preferably a new one.

        Waits for a permit if all upstreams are limited.
        """
        available = self.guard.usable(
            identified.fingerprint,
            self.available(service, history),
            history.names,
        )
        passes = (history.names, ()) if history.names else ((),)
        for excluded in passes:
            match await self.limits.choose(
                self.balancer, available, excluded, need
            ):
                case result.Success(sampler):
                    history.limited_for_ms = None
                    return sampler
                case result.Failure(int() as wait_ms):
                    history.limited_for_ms = wait_ms
        if history.limited_for_ms is not None:
            history.detail = "all upstreams are at their limits"
        return None

    def available(
        self, service: str, history: attempt_history.AttemptHistory
    ) -> list[state.Sampler]:
        """Return the upstreams at which a request may run."""
        available = self.registry.of_service(service)
        if not history.software_version:
            return available
        history.detail = "no upstream of the stream's version is left"
        return [
            sampler
            for sampler in available
            if sampler.software_version == history.software_version
        ]
