"""Follows the configuration head document and writes changes to it."""

import asyncio
from collections import abc

import eliot
from returns import result

from poplarloft import coordination
from poplarloft.daemon import tasks
from poplarloft.protocol import documents
from poplarloft.protocol import errors
from poplarloft import state

__all__ = ["ConfigurationService"]

RETRY_MS = 500
MAX_TRIES = 20
MS_PER_S = 1_000

Listener = abc.Callable[[state.Configuration], None]


class ConfigurationService:
    """The configuration as known to this instance.

    Parameters
    ----------
    store : state.KeyValueStore
        Store of the head document.
    writer : str
        Incarnation of this instance, for its high-water mark.
    wall_clock : state.Clock
        Unix time, compared with the closing times of proposals.
    task_set : tasks.TaskSet
        Runs background tasks.
    """

    def __init__(
        self,
        store: state.KeyValueStore,
        writer: str,
        wall_clock: state.Clock,
        task_set: tasks.TaskSet,
    ) -> None:
        self.store = store
        self.writer = writer
        self.wall_clock = wall_clock
        self.task_set = task_set
        self.follower = coordination.HeadFollower()
        self.latest = state.Configuration()
        self.listeners: list[Listener] = []
        self.may_watch = asyncio.Event()
        self.may_watch.set()
        self.write_lock = asyncio.Lock()
        self.sequence = 0
        self.timer = tasks.WakeTimer(self._on_window_closed)

    @property
    def current(self) -> state.Configuration:
        """The configuration in force; empty until the first one arrives."""
        return self.follower.current or state.Configuration()

    @property
    def is_known(self) -> bool:
        """Whether a configuration has arrived."""
        return self.follower.current is not None

    def offer(self, head: state.Configuration) -> bool:
        """Put a head in force if its revision is higher than the current.

        The head may come from the platform, a peer or a snapshot. Returns
        whether it was put in force.
        """
        if head.revision >= self.latest.revision:
            self.latest = head
            self._set_timer()
        if not self.follower.offer(head):
            return False
        eliot.log_message("configuration-in-force", revision=head.revision)
        for listener in self.listeners:
            listener(head)
        return True

    async def read_once(self) -> None:
        """Read the head document once and offer it."""
        read = await self.store.get(documents.HEAD_KEY)
        match read:
            case result.Success(versioned):
                self.offer_bytes(versioned.value)

    async def watch(self) -> None:
        """Watch the head document until cancelled.

        Only instances whose `may_watch` is set call the key-value service;
        the others learn of new revisions from peers.
        """
        version = state.ABSENT_VERSION
        while True:
            await self.may_watch.wait()
            async for versioned in self.store.watch(
                documents.HEAD_KEY, version
            ):
                version = versioned.version
                self.offer_bytes(versioned.value)
            await asyncio.sleep(RETRY_MS / MS_PER_S)

    async def change(
        self, change: coordination.Change
    ) -> coordination.ChangeResult:
        """Apply a change to the head document.

        Changes of one instance are serialised, because a high-water mark
        records only the last sequence number that was applied.
        """
        async with self.write_lock:
            self.sequence += 1
            mark = state.HighWaterMark(self.writer, self.sequence)
            writer = coordination.HeadWriter(change, mark)
            outcome = await self._run_writer(writer)
        match outcome:
            case result.Success(head):
                self.offer(head)
        return outcome

    async def _run_writer(
        self, writer: coordination.HeadWriter
    ) -> coordination.ChangeResult:
        action: (
            coordination.ReadHead
            | coordination.WriteHead
            | coordination.WriteDone
        ) = writer.start()
        for _ in range(MAX_TRIES):
            match action:
                case coordination.ReadHead():
                    read = await self.store.get(documents.HEAD_KEY)
                    match read:
                        case result.Success(versioned):
                            head = documents.decode_head(versioned.value)
                            action = writer.on_read(head, versioned.version)
                        case _:
                            await asyncio.sleep(RETRY_MS / MS_PER_S)
                case coordination.WriteHead(head, version):
                    write = await self.store.compare_and_swap(
                        documents.HEAD_KEY,
                        documents.encode_head(head),
                        version,
                    )
                    action = writer.on_write(write.outcome, head)
                case coordination.WriteDone(outcome):
                    return outcome
        return result.Failure(
            state.Refusal(
                state.Reason.NOT_READY,
                state.Verdict.MAY_HAVE_RUN,
                "the key-value service did not confirm the change; "
                "read the configuration before retrying",
                RETRY_MS,
            )
        )

    def encoded_head(self) -> bytes:
        """Return the newest known head in its stored form."""
        return documents.encode_head(self.latest)

    def offer_bytes(self, data: bytes) -> None:
        """Offer a head in its stored form; a malformed one is logged."""
        if not data:
            return
        try:
            self.offer(documents.decode_head(data))
        except errors.FieldError as error:
            eliot.log_message("configuration-unreadable", error=str(error))

    def _set_timer(self) -> None:
        """Schedule a call for when the next pending proposal closes."""
        closes = [
            p.closes_at_ms
            for p in self.latest.proposals
            if p.state is state.ProposalState.PENDING
        ]
        if not closes:
            self.timer.set(None)
            return
        self.timer.set(min(closes) - self.wall_clock.now_ms() + 1)

    def _on_window_closed(self) -> None:
        self.task_set.spawn(self._put_due_in_force())

    async def _put_due_in_force(self) -> None:
        await self.change(
            lambda head: coordination.put_due_in_force(
                head, self.wall_clock.now_ms()
            )
        )
