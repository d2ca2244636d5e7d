"""Makes room at upstreams that are full of what clients don't read."""

import asyncio
from collections import abc
import typing

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving.requests import attempt_history
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


class UpstreamRoom:
    """Decides what follows when an upstream has no room for a request.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    holders : SlotHolders
        Clients of this instance.
    """

    def __init__(self, clock: state.Clock, holders: SlotHolders) -> None:
        self.full = serving.FullUpstreams(clock)
        self.holders = holders

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
        if self.holders.free_slot(sampler.address):
            eliot.log_message("upstream-slot-freed", upstream=sampler.name)
            history.wait_for_room(FREEING_MS)
        elif self.holders.may_free_slot(sampler.address):
            history.wait_for_room(ROOM_INTERVAL_MS)
