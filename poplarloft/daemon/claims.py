"""Carries out the claim book's actions against the key-value service."""

import asyncio
import dataclasses
import random

import msgspec
from returns import result

from poplarloft import coordination
from poplarloft.daemon import fleet
from poplarloft.daemon import tasks
from poplarloft.protocol import ledgers
from poplarloft.protocol import peers as messages
from poplarloft import state

__all__ = ["ClaimOutcome", "ClaimService"]

ATTEMPT_BITS = 63
ASK_TIMEOUT_MS = 1_000
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """How a claim ended for one attempt."""

    attempt: int
    decision: coordination.ClaimDecision
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """Who waits: a request of this instance, or a neighbour by name."""

    key: state.ClaimKey
    asker: asyncio.Future[ClaimOutcome] | str


class ClaimService:
    """Claims for the requests of this instance.

    Parameters
    ----------
    store : state.KeyValueStore
        Where ledgers are kept.
    book : coordination.ClaimTable
        Decides.
    claimant : str
        This instance's incarnation.
    rng : random.Random
        Draws attempt numbers.
    """

    def __init__(
        self,
        store: state.KeyValueStore,
        book: coordination.ClaimTable,
        claimant: str,
        rng: random.Random,
        task_set: tasks.TaskSet,
    ) -> None:
        self.store = store
        self.book = book
        self.claimant = claimant
        self.rng = rng
        self.task_set = task_set
        self.waiting: dict[int, _Waiting] = {}
        self.asked: dict[int, asyncio.Future[ClaimOutcome]] = {}
        self.fleet: fleet.FleetService | None = None
        self.timer = tasks.WakeTimer(self._on_wake)

    async def claim(
        self, key: state.ClaimKey, timeout_ms: int
    ) -> ClaimOutcome:
        """Claim `key`; the outcome tells who holds it."""
        attempt = self.rng.getrandbits(ATTEMPT_BITS)
        owner = self._shard_owner(key)
        if owner is not None:
            request = state.ClaimRequest(
                key, attempt, self.claimant, timeout_ms
            )
            asked = await self._ask(owner, request)
            if asked is not None:
                return asked
        return await self._claim_here(key, attempt, timeout_ms)

    async def _ask(
        self, owner: str, request: state.ClaimRequest
    ) -> ClaimOutcome | None:
        """Let the shard's instance claim; None if it doesn't answer.

        Asking here again with the same attempt number is safe: the
        ledger grants an attempt once, whoever writes it.
        """
        assert self.fleet is not None
        future = asyncio.get_running_loop().create_future()
        self.asked[request.attempt] = future
        try:
            if not self.fleet.send(owner, request):
                return None
            async with asyncio.timeout(ASK_TIMEOUT_MS / MS_PER_S):
                outcome: ClaimOutcome = await future
                return outcome
        except TimeoutError:
            return None
        finally:
            del self.asked[request.attempt]

    async def _claim_here(
        self, key: state.ClaimKey, attempt: int, timeout_ms: int
    ) -> ClaimOutcome:
        future = asyncio.get_running_loop().create_future()
        self.waiting[attempt] = _Waiting(key, future)
        claim = state.Claim(attempt, self.claimant)
        self._perform(self.book.request(key, claim, timeout_ms))
        outcome: ClaimOutcome = await future
        return outcome

    def join(self, fleet_service: fleet.FleetService) -> None:
        """Share the claiming with the other instances."""
        self.fleet = fleet_service
        fleet_service.handlers[state.ClaimRequest] = self._on_request
        fleet_service.handlers[state.ClaimAnswer] = self._on_answer

    def _shard_owner(self, key: state.ClaimKey) -> str | None:
        """Return the other instance that claims for `key`, if any."""
        if self.fleet is None:
            return None
        shard = self.book.ledger_id(key).shard
        owner = coordination.ledger_writer(shard, self.fleet.live_neighbours())
        return None if owner == self.fleet.name else owner

    def _on_request(self, sender: str, message: messages.PeerMessage) -> None:
        """Claim for a neighbour and tell it the decision."""
        assert isinstance(message, state.ClaimRequest)
        if message.attempt in self.waiting:
            return
        claim = state.Claim(message.attempt, message.claimant)
        self.waiting[message.attempt] = _Waiting(message.key, sender)
        self._perform(
            self.book.request(message.key, claim, message.timeout_ms)
        )

    def _on_answer(self, sender: str, message: messages.PeerMessage) -> None:
        assert isinstance(message, state.ClaimAnswer)
        future = self.asked.get(message.attempt)
        if future is not None and not future.done():
            future.set_result(
                ClaimOutcome(
                    message.attempt,
                    coordination.ClaimDecision(message.decision),
                    message.holder,
                )
            )

    def release(self, key: state.ClaimKey, attempt: int) -> None:
        """Give back a claim whose request has not run."""
        self._perform(self.book.release(key, attempt))

    def _on_wake(self) -> None:
        self._perform(self.book.tick())

    def _perform(self, actions: list[coordination.ClaimAction]) -> None:
        for action in actions:
            match action:
                case coordination.ReadLedger():
                    self.task_set.spawn(self._read(action))
                case coordination.WriteLedger():
                    self.task_set.spawn(self._write(action))
                case coordination.ClaimDecided():
                    self._resolve(action)
        wake_ms = self.book.next_wake_ms()
        now_ms = self.book.clock.now_ms()
        self.timer.set(None if wake_ms is None else wake_ms - now_ms)

    def _resolve(self, decided: coordination.ClaimDecided) -> None:
        waiting = self.waiting.pop(decided.attempt)
        outcome = ClaimOutcome(
            decided.attempt, decided.decision, decided.holder
        )
        if isinstance(waiting.asker, str):
            answer = state.ClaimAnswer(
                decided.attempt, decided.decision.value, decided.holder
            )
            assert self.fleet is not None
            self.fleet.send(waiting.asker, answer)
        elif not waiting.asker.done():
            waiting.asker.set_result(outcome)
        elif decided.decision is coordination.ClaimDecision.GRANTED:
            # The caller has gone, so nothing will run under this claim.
            self.release(waiting.key, decided.attempt)

    def _key(self, ledger_id: state.LedgerId) -> str:
        ring_size = self.book.settings.ring_size
        return ledgers.ledger_key(ledger_id, ring_size)

    async def _read(self, action: coordination.ReadLedger) -> None:
        read = await self.store.get(self._key(action.ledger_id))
        found = None
        match read:
            case result.Success(versioned):
                found = _decode(versioned)
        self._perform(self.book.on_read(action.ledger_id, found))

    async def _write(self, action: coordination.WriteLedger) -> None:
        write = await self.store.compare_and_swap(
            self._key(action.ledger_id),
            ledgers.encode_ledger(action.ledger),
            action.expected_version,
        )
        self._perform(
            self.book.on_write(action.ledger_id, action.ledger, write)
        )


def _decode(versioned: state.Versioned) -> tuple[state.Ledger, int] | None:
    try:
        return ledgers.decode_ledger(versioned.value), versioned.version
    except msgspec.MsgspecError:
        return None
