"""Sends the orders of weight rollouts to this data centre's engines."""

import asyncio
from collections import abc

import eliot
import msgspec
from returns import result

from poplarloft import coordination
from poplarloft.daemon import tasks
from poplarloft.daemon import upstreams
from poplarloft.protocol import engine
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["WeightService"]

LEASE_TTL_MS = 6_000
LEASE_RENEW_MS = 2_000
PLAN_INTERVAL_MS = 250
MS_PER_S = 1_000
OK = 200


class WeightService:
    """One weight rollout per engine service of this data centre.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    store : state.KeyValueStore
        Holds the issuer's lease.
    holder : str
        This instance's incarnation.
    location : state.Location
        Where this instance runs.
    client : http_client.HttpClient
        Connections to engines.
    upstream_service : upstreams.UpstreamService
        Engines and their reports.
    task_set : tasks.TaskSet
        Runs orders.
    """

    def __init__(
        self,
        clock: state.Clock,
        store: state.KeyValueStore,
        holder: str,
        location: state.Location,
        client: http_client.HttpClient,
        upstream_service: upstreams.UpstreamService,
        task_set: tasks.TaskSet,
    ) -> None:
        self.clock = clock
        self.store = store
        self.holder = holder
        self.location = location
        self.client = client
        self.upstreams = upstream_service
        self.task_set = task_set
        self.settings = coordination.WeightSettings()
        self.may_issue: abc.Callable[[], bool] = lambda: True
        self.is_first: abc.Callable[[], bool] = lambda: True
        self.fences: dict[str, int] = {}
        self.renewed_at_ms: dict[str, int] = {}
        self.rollouts: dict[str, coordination.WeightRollout] = {}
        upstream_service.report_listeners.append(self._on_report)

    def on_target(self, service: str, weight_version: int) -> None:
        """Take the version that a trainer has published last."""
        self._rollout(service).on_target(weight_version)

    async def run(self) -> None:
        """Renew leases and send orders until cancelled."""
        while True:
            for service, rollout in list(self.rollouts.items()):
                await self._run_once(service, rollout)
            await asyncio.sleep(PLAN_INTERVAL_MS / MS_PER_S)

    async def _run_once(
        self, service: str, rollout: coordination.WeightRollout
    ) -> None:
        if not rollout.engines or not self.may_issue():
            rollout.on_lease(None)
            return
        await self._renew_lease(service, rollout)
        for order in rollout.plan():
            self.task_set.spawn(self._send(rollout, order))

    async def _renew_lease(
        self, service: str, rollout: coordination.WeightRollout
    ) -> None:
        """Keep the lease, also between rollouts.

        An issuer that has just taken it must wait out its predecessor's
        orders; one that keeps it can start at once.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.renewed_at_ms.get(service, -LEASE_RENEW_MS) < (
            LEASE_RENEW_MS
        ):
            return
        self.renewed_at_ms[service] = now_ms
        name = f"weights/{service}/{self.location.data_centre}"
        leased = await self.store.lease(name, self.holder, LEASE_TTL_MS)
        match leased:
            case result.Success(lease):
                rollout.on_lease(lease)
            case result.Failure(refusal):
                if refusal.reason is state.Reason.CONFLICT:
                    rollout.on_lease(None)
                elif rollout.fence is None and self.is_first():
                    self._go_on_without_lease(service, rollout)

    def _go_on_without_lease(
        self, service: str, rollout: coordination.WeightRollout
    ) -> None:
        """Issue under the engines' own fencing number in an outage.

        A holder that is still alive may issue too. What either does
        wrong is found by reading back, and targets only grow.
        """
        fence = self.fences.get(service, 0)
        eliot.log_message("weights-without-lease", service=service)
        rollout.on_lease(
            state.Lease(service, self.holder, fence, LEASE_TTL_MS)
        )

    async def _send(
        self,
        rollout: coordination.WeightRollout,
        order: coordination.SendOrder,
    ) -> None:
        upstream = self.upstreams.find(order.engine)
        message = engine.WeightOrder(
            kind=order.kind.value,
            weight_version=order.weight_version,
            fence=order.fence,
        )
        sent = await self.client.send(
            upstream.address,
            "POST",
            "/v1/orders",
            body=engine.encode(message),
            timeout_ms=self.settings.order_timeout_ms,
        )
        accepted = False
        match sent:
            case result.Success(answer):
                accepted = await _is_accepted(answer)
        rollout.on_order_done(order.engine, accepted)
        eliot.log_message(
            "weight-order",
            engine=order.engine,
            kind=order.kind.value,
            weight_version=order.weight_version,
            fence=order.fence,
            accepted=accepted,
        )

    def _rollout(self, service: str) -> coordination.WeightRollout:
        found = self.rollouts.get(service)
        if found is None:
            found = coordination.WeightRollout(self.clock, self.settings)
            self.rollouts[service] = found
        return found

    def _on_report(
        self, upstream: state.Upstream, answer: engine.EngineState
    ) -> None:
        if upstream.location.data_centre != self.location.data_centre:
            return
        rollout = self._rollout(upstream.service)
        known = self.fences.get(upstream.service, 0)
        self.fences[upstream.service] = max(known, answer.fence)
        if not self.upstreams.registry.is_eligible(upstream):
            rollout.on_engine_removed(upstream.name)
            return
        rollout.on_report(
            coordination.EngineReport(
                upstream.name,
                upstream.incarnation,
                answer.weight_version,
                frozenset(answer.preloaded),
                upstream.honours_fence,
            )
        )


async def _is_accepted(answer: http_client.UpstreamAnswer) -> bool:
    try:
        body = await answer.read()
        if answer.status != OK:
            return False
        return engine.decode_order_answer(body).accepted
    except (OSError, msgspec.MsgspecError):
        return False
