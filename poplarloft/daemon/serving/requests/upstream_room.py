"""Makes room at upstreams that are full of what clients don't read."""

import asyncio
from collections import abc
import typing

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving.requests import attempt_history
from poplarloft.daemon import tasks
from poplarloft.platform import samplers
from poplarloft import state
from poplarloft.transport import channel_notes

__all__ = ["SlotHolders", "UpstreamRoom"]

FREEING_MS = 20  # until an upstream has noticed that a channel was closed
ROOM_INTERVAL_MS = 50  # between two attempts while clients may stop reading
MS_PER_S = 1_000


class SlotHolders(typing.Protocol):
    """The clients whose requests take places at upstreams."""

    def free_slot(self, upstream: state.Address) -> bool:
        """End a request there that its client does not read, if any."""

    def may_free_slot(self, upstream: state.Address) -> bool:
        """Return whether there are requests that clients may not read."""

    def stalled_upstreams(self) -> abc.Container[abc.Hashable]:
        """Return the addresses at which there are such requests."""


class UpstreamRoom:
    """Decides what follows when an upstream has no room for a request.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    client : samplers.SamplerClient
        Asks upstreams how many requests wait there.
    registry : serving.SamplerRegistry
        The announced upstreams.
    task_set : tasks.TaskSet
        Runs what is done beside requests.
    holders : SlotHolders
        Clients of this instance.
    """

    def __init__(
        self,
        clock: state.Clock,
        client: samplers.SamplerClient,
        registry: serving.SamplerRegistry,
        task_set: tasks.TaskSet,
        holders: SlotHolders,
    ) -> None:
        self.full = serving.FullUpstreams(clock)
        self.client = client
        self.registry = registry
        self.task_set = task_set
        self.holders = holders
        self.relief: asyncio.Task[None] | None = None

    async def wait_for_turn(
        self,
        list_samplers: abc.Callable[[], abc.Sequence[state.Sampler]],
        remaining_ms: int,
        history: attempt_history.AttemptHistory,
    ) -> None:
        """Wait before an attempt, if there may be room soon.

        Requests that were sent ahead let others go first.
        """
        wait_ms, history.room_wait_ms = history.room_wait_ms, 0
        holder = channel_notes.holder.get()
        if holder is not None and holder.has_sent_ahead:
            wait_ms = self.full.hold_back_ms(
                sampler.engine_id for sampler in list_samplers()
            )
        elif wait_ms and any(
            sampler.name not in history.names for sampler in list_samplers()
        ):
            return
        if wait_ms:
            await asyncio.sleep(min(wait_ms, remaining_ms // 2) / MS_PER_S)

    def on_refused(
        self, sampler: state.Sampler, history: attempt_history.AttemptHistory
    ) -> None:
        """Make room for a request that its upstream had none for.

        It may be sent again without this attempt being counted.
        """
        self.full.on_refused(sampler.engine_id)
        holder = channel_notes.holder.get()
        if holder is None or not holder.is_ordinary:
            return
        if self._free_slot(sampler):
            history.wait_for_room(FREEING_MS)
        elif self.holders.may_free_slot(sampler.address):
            history.wait_for_room(ROOM_INTERVAL_MS)

    def on_stalled(self) -> None:
        """Make room for those who wait at upstreams, also for others'."""
        if self.relief is None or self.relief.done():
            self.relief = self.task_set.spawn(self._relieve())

    async def _relieve(self) -> None:
        """End as many requests that nobody reads as wait for a place."""
        addresses = self.holders.stalled_upstreams()
        upstreams = [
            sampler
            for sampler in self.registry.known.values()
            if sampler.address in addresses
        ]
        await asyncio.gather(*map(self._relieve_one, upstreams))

    async def _relieve_one(self, sampler: state.Sampler) -> None:
        report = await self.client.report(sampler)
        if report is None:
            return
        for _ in range(report.waiting):
            if not self._free_slot(sampler):
                return

    def _free_slot(self, sampler: state.Sampler) -> bool:
        is_freed = self.holders.free_slot(sampler.address)
        if is_freed:
            eliot.log_message("upstream-slot-freed", upstream=sampler.name)
        return is_freed
