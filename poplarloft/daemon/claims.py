"""Carries out the claim book's actions against the key-value service."""

import asyncio
import dataclasses
import random

import msgspec
from returns import result

from poplarloft import coordination
from poplarloft.daemon import tasks
from poplarloft.protocol import ledgers
from poplarloft import state

__all__ = ["ClaimOutcome", "ClaimService"]

ATTEMPT_BITS = 63


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """How a claim ended for one attempt."""

    attempt: int
    decision: coordination.ClaimDecision
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    key: state.ClaimKey
    future: asyncio.Future[ClaimOutcome]


class ClaimService:
    """Claims for the requests of this instance.

    Parameters
    ----------
    store : state.KeyValueStore
        Where ledgers are kept.
    book : coordination.ClaimBook
        Decides.
    claimant : str
        This instance's incarnation.
    rng : random.Random
        Draws attempt numbers.
    """

    def __init__(
        self,
        store: state.KeyValueStore,
        book: coordination.ClaimBook,
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
        self.timer = tasks.WakeTimer(self._on_wake)

    async def claim(
        self, key: state.ClaimKey, timeout_ms: int
    ) -> ClaimOutcome:
        """Claim `key`; the outcome tells who holds it."""
        attempt = self.rng.getrandbits(ATTEMPT_BITS)
        future = asyncio.get_running_loop().create_future()
        self.waiting[attempt] = _Waiting(key, future)
        claim = state.Claim(attempt, self.claimant)
        self._perform(self.book.request(key, claim, timeout_ms))
        outcome: ClaimOutcome = await future
        return outcome

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
        if not waiting.future.done():
            waiting.future.set_result(outcome)
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
