"""Sends weight orders to the engines of this data centre."""

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
MAX_ANSWER_BYTES = 65_536


class WeightService:
    """One weight rollout per engine service of this data centre.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    store : state.KeyValueStore
        Store of the lease to issue orders.
    holder : str
        Incarnation of this instance, as holder of leases.
    location : state.Location
        Where this instance runs.
    client : http_client.HttpClient
        Connections to engines.
    upstream_service : upstreams.UpstreamService
        Known engines and their reports.
    task_set : tasks.TaskSet
        Runs the tasks that send orders.
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
        self.may_send_orders: abc.Callable[[], bool] = lambda: True
        self.is_first_relay: abc.Callable[[], bool] = lambda: True
        self.fencing_tokens: dict[str, int] = {}
        self.renewed_at_ms: dict[str, int] = {}
        self.rollouts: dict[str, coordination.WeightRollout] = {}
        upstream_service.report_listeners.append(self._on_report)

    def on_target(self, service: str, weight_version: int) -> None:
        """Set the version to roll out, the last that a trainer published."""
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
        if not rollout.engines or not self.may_send_orders():
            rollout.on_lease(None)
            return
        await self._renew_lease(service, rollout)
        for order in rollout.plan():
            self.task_set.spawn(self._send(rollout, order))

    async def _renew_lease(
        self, service: str, rollout: coordination.WeightRollout
    ) -> None:
        """Renew the lease, also between rollouts.

        After acquiring the lease, an issuer must wait until its
        predecessor's orders have ended; one that has kept it can start at
        once.
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
                elif rollout.fence is None and self.is_first_relay():
                    self._continue_without_lease(service, rollout)

    def _continue_without_lease(
        self, service: str, rollout: coordination.WeightRollout
    ) -> None:
        """Use the highest fencing token that the engines have reported.

        For an outage of the key-value service. A lease holder that is still
        alive may issue orders too. Wrong orders by either are detected from
        the engines' reports, and target versions only increase.
        """
        fence = self.fencing_tokens.get(service, 0)
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
            case result.Success(response):
                accepted = await _is_accepted(response)
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
        self, upstream: state.Upstream, report: engine.EngineState
    ) -> None:
        if upstream.location.data_centre != self.location.data_centre:
            return
        rollout = self._rollout(upstream.service)
        known = self.fencing_tokens.get(upstream.service, 0)
        self.fencing_tokens[upstream.service] = max(known, report.fence)
        if not self.upstreams.registry.is_eligible(upstream):
            rollout.on_engine_removed(upstream.name)
            return
        rollout.on_report(
            coordination.EngineReport(
                upstream.name,
                upstream.incarnation,
                report.weight_version,
                frozenset(report.preloaded),
                upstream.honours_fence,
            )
        )


async def _is_accepted(response: http_client.UpstreamResponse) -> bool:
    try:
        body = await response.read(MAX_ANSWER_BYTES)
        if response.status != OK:
            return False
        return engine.decode_order_answer(body).accepted
    except (OSError, msgspec.MsgspecError):
        return False
