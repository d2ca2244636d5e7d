"""Claims of non-repeatable requests, kept in the key-value service."""

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
FORWARD_TIMEOUT_MS = 1_000
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """The decision on one attempt's claim; `holder` is who holds the key."""

    attempt: int
    decision: coordination.ClaimDecision
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingClaim:
    """A claim to be decided.

    `requester` is the future of a request of this instance, or the name of
    the neighbour that forwarded the claim.
    """

    key: state.ClaimKey
    requester: asyncio.Future[ClaimOutcome] | str


class ClaimService:
    """Claims for requests of this instance and, as a writer, of neighbours.

    Each shard of the ledgers has one writer among the instances of a data
    centre; the others forward their claims to it.

    Parameters
    ----------
    store : state.KeyValueStore
        Stores the ledgers.
    table : coordination.ClaimTable
        Decides on claims; its actions are carried out here.
    claimant : str
        This instance's incarnation.
    rng : random.Random
        Source of attempt numbers.
    task_set : tasks.TaskSet
        Runs calls of the key-value service.
    """

    def __init__(
        self,
        store: state.KeyValueStore,
        table: coordination.ClaimTable,
        claimant: str,
        rng: random.Random,
        task_set: tasks.TaskSet,
    ) -> None:
        self.store = store
        self.table = table
        self.claimant = claimant
        self.rng = rng
        self.task_set = task_set
        self.pending: dict[int, _PendingClaim] = {}
        self.forwarded: dict[int, asyncio.Future[ClaimOutcome]] = {}
        self.fleet: fleet.FleetService | None = None
        self.timer = tasks.WakeTimer(self._on_wake)

    async def claim(
        self, key: state.ClaimKey, timeout_ms: int
    ) -> ClaimOutcome:
        """Claim `key` for a new attempt; the outcome names its holder."""
        attempt = self.rng.getrandbits(ATTEMPT_BITS)
        writer = self._remote_writer(key)
        if writer is not None:
            request = state.ClaimRequest(
                key, attempt, self.claimant, timeout_ms
            )
            outcome = await self._forward(writer, request)
            if outcome is not None:
                return outcome
        return await self._claim_locally(key, attempt, timeout_ms)

    async def _forward(
        self, writer: str, request: state.ClaimRequest
    ) -> ClaimOutcome | None:
        """Forward a claim to the shard's writer; None if it doesn't answer.

        Claiming locally afterwards with the same attempt number is safe:
        the ledger grants an attempt once, whichever instance writes it.
        """
        assert self.fleet is not None
        future = asyncio.get_running_loop().create_future()
        self.forwarded[request.attempt] = future
        try:
            if not self.fleet.send(writer, request):
                return None
            async with asyncio.timeout(FORWARD_TIMEOUT_MS / MS_PER_S):
                outcome: ClaimOutcome = await future
                return outcome
        except TimeoutError:
            return None
        finally:
            del self.forwarded[request.attempt]

    async def _claim_locally(
        self, key: state.ClaimKey, attempt: int, timeout_ms: int
    ) -> ClaimOutcome:
        future = asyncio.get_running_loop().create_future()
        self.pending[attempt] = _PendingClaim(key, future)
        claim = state.Claim(attempt, self.claimant)
        self._perform(self.table.request(key, claim, timeout_ms))
        outcome: ClaimOutcome = await future
        return outcome

    def join(self, fleet_service: fleet.FleetService) -> None:
        """Start to exchange claims with the other instances."""
        self.fleet = fleet_service
        fleet_service.handlers[state.ClaimRequest] = self._on_request
        fleet_service.handlers[state.ClaimAnswer] = self._on_answer

    def _remote_writer(self, key: state.ClaimKey) -> str | None:
        """Return the instance that writes the ledger of `key`, if another."""
        if self.fleet is None:
            return None
        shard = self.table.ledger_id(key).shard
        writer = coordination.ledger_writer(
            shard, self.fleet.live_neighbours()
        )
        return None if writer == self.fleet.name else writer

    def _on_request(self, sender: str, message: messages.PeerMessage) -> None:
        """Claim for a neighbour and send it the decision."""
        assert isinstance(message, state.ClaimRequest)
        if message.attempt in self.pending:
            return
        claim = state.Claim(message.attempt, message.claimant)
        self.pending[message.attempt] = _PendingClaim(message.key, sender)
        self._perform(
            self.table.request(message.key, claim, message.timeout_ms)
        )

    def _on_answer(self, sender: str, message: messages.PeerMessage) -> None:
        assert isinstance(message, state.ClaimAnswer)
        future = self.forwarded.get(message.attempt)
        if future is not None and not future.done():
            future.set_result(
                ClaimOutcome(
                    message.attempt,
                    coordination.ClaimDecision(message.decision),
                    message.holder,
                )
            )

    def release(self, key: state.ClaimKey, attempt: int) -> None:
        """Release the claim of a request that has not run."""
        self._perform(self.table.release(key, attempt))

    def _on_wake(self) -> None:
        self._perform(self.table.tick())

    def _perform(self, actions: list[coordination.ClaimAction]) -> None:
        for action in actions:
            match action:
                case coordination.ReadLedger():
                    self.task_set.spawn(self._read(action))
                case coordination.WriteLedger():
                    self.task_set.spawn(self._write(action))
                case coordination.ClaimDecided():
                    self._resolve(action)
        wake_ms = self.table.next_wake_ms()
        now_ms = self.table.clock.now_ms()
        self.timer.set(None if wake_ms is None else wake_ms - now_ms)

    def _resolve(self, decided: coordination.ClaimDecided) -> None:
        pending = self.pending.pop(decided.attempt)
        outcome = ClaimOutcome(
            decided.attempt, decided.decision, decided.holder
        )
        if isinstance(pending.requester, str):
            answer = state.ClaimAnswer(
                decided.attempt, decided.decision.value, decided.holder
            )
            assert self.fleet is not None
            self.fleet.send(pending.requester, answer)
        elif not pending.requester.done():
            pending.requester.set_result(outcome)
        elif decided.decision is coordination.ClaimDecision.GRANTED:
            # The caller has disconnected: nothing will run under this claim.
            self.release(pending.key, decided.attempt)

    def _key(self, ledger_id: state.LedgerId) -> str:
        ring_size = self.table.settings.ring_size
        return ledgers.ledger_key(ledger_id, ring_size)

    async def _read(self, action: coordination.ReadLedger) -> None:
        read = await self.store.get(self._key(action.ledger_id))
        found = None
        match read:
            case result.Success(versioned):
                found = _decode(versioned)
        self._perform(self.table.on_read(action.ledger_id, found))

    async def _write(self, action: coordination.WriteLedger) -> None:
        write = await self.store.compare_and_swap(
            self._key(action.ledger_id),
            ledgers.encode_ledger(action.ledger),
            action.expected_version,
        )
        self._perform(
            self.table.on_write(action.ledger_id, action.ledger, write)
        )


def _decode(versioned: state.Versioned) -> tuple[state.Ledger, int] | None:
    try:
        return ledgers.decode_ledger(versioned.value), versioned.version
    except msgspec.MsgspecError:
        return None
