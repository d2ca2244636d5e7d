"""Admits requests by their API keys."""

import asyncio

import eliot
from returns import result

from poplarloft.coordination import accounts
from poplarloft.daemon.serving.store import view
from poplarloft.platform import ingress
from poplarloft.protocol import http
from poplarloft import state

__all__ = ["AccountGate"]

RETRY_AFTER_MS = 200
CONFIRM_PAUSE_MS = 300  # after the store could not be read
Admission = result.Result[state.Caller | None, state.Refusal]


class AccountGate:
    """Finds the accounts of requests; refuses those without one.

    If the configuration of this instance does not allow a request, the one
    in force is read from the store first. Requests that arrive meanwhile
    share that reading.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    operator : view.OperatorView
        Has the configuration.
    store : state.RevisionStore
        Has the configuration in force.
    rules : accounts.RevocationRules
        What holds for withdrawn keys.
    """

    def __init__(
        self,
        clock: state.Clock,
        operator: view.OperatorView,
        store: state.RevisionStore,
        rules: accounts.RevocationRules,
    ) -> None:
        self.clock = clock
        self.operator = operator
        self.store = store
        self.access = accounts.AccountAccess(clock, rules)
        self.reading: asyncio.Task[None] | None = None
        self.may_read_at_ms = 0
        operator.listeners.append(self._follow)

    async def admit(
        self, request: http.HttpRequest, is_public: bool
    ) -> Admission:
        """Return the sender of a request, or why it is refused."""
        digest = ingress.key_digest(request)
        arrived_at_ms = self.clock.now_ms()
        access = self._decide(digest, is_public, arrived_at_ms)
        if isinstance(access, accounts.Unconfirmed):
            await self._confirm()
            access = self._decide(digest, is_public, arrived_at_ms)
        match access:
            case accounts.Admitted(caller):
                return result.Success(caller)
            case accounts.KeyRefused(detail):
                refusal = state.Refusal(
                    state.Reason.UNAUTHENTICATED,
                    state.Verdict.NOT_RUN,
                    detail,
                )
            case accounts.Unconfirmed(detail):
                refusal = state.Refusal(
                    state.Reason.NOT_READY,
                    state.Verdict.NOT_RUN,
                    detail,
                    RETRY_AFTER_MS,
                )
        eliot.log_message(
            "key-refused",
            request=ingress.request_id(request),
            reason=refusal.reason.value,
            has_key=bool(digest),
            age_ms=self._age_ms(),
            detail=refusal.detail,
        )
        return result.Failure(refusal)

    def _follow(self) -> None:
        if self.operator.configuration is not None:
            self.access.update(self.operator.configuration)

    def _decide(
        self, digest: str, is_public: bool, arrived_at_ms: int
    ) -> accounts.Access:
        return self.access.decide(
            digest, is_public, self._age_ms(), arrived_at_ms
        )

    def _age_ms(self) -> int:
        """Return the time since the configuration was last confirmed."""
        age_ms = self.operator.age_ms
        confirmed_at_ms = self.access.confirmed_at_ms
        if confirmed_at_ms is None:
            return age_ms
        return min(age_ms, self.clock.now_ms() - confirmed_at_ms)

    async def _confirm(self) -> None:
        """Read the configuration in force, unless that failed just now."""
        if self.reading is None:
            if self.clock.now_ms() < self.may_read_at_ms:
                return
            self.reading = asyncio.create_task(self._read())
        await asyncio.shield(self.reading)

    async def _read(self) -> None:
        requested_at_ms = self.clock.now_ms()
        try:
            if await self.operator.read_newest(self.store):
                self.access.on_confirmed(requested_at_ms)
            else:
                pause_ms = CONFIRM_PAUSE_MS
                self.may_read_at_ms = self.clock.now_ms() + pause_ms
        finally:
            self.reading = None
