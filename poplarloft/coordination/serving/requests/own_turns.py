"""Permits for an asker whom no issuer of an upstream answers.

Time is divided into turns. Whose turn it is, is chosen by rendezvous among
all instances that may ask, so each can send a request now and then without
asking anyone, and all together send one a turn, in addition to what issuers
schedule. Where lists of members differ, few turns are taken twice.
"""

from collections import abc

import xxhash

from poplarloft.coordination.serving.requests import permits
from poplarloft.coordination.serving.rollouts import engine_view
from poplarloft import state

__all__ = ["OwnTurns"]

# An upstream tolerates a burst beyond its limit; a request in this time is
# what the issuers leave of it.
TURN_MS = 2_500
MS_PER_S = 1_000
# Time after which another issuer may be known.
ASK_AGAIN_MS = 500


class OwnTurns:
    """The turns of this instance at each upstream.

    Parameters
    ----------
    wall_clock : state.Clock
        Unix time, which tells whose turn it is.
    name : str
        Name of this instance.
    """

    def __init__(self, wall_clock: state.Clock, name: str) -> None:
        self.wall_clock = wall_clock
        self.name = name
        self.last_turn: dict[engine_view.EngineId, int] = {}

    def decide(
        self,
        engine_id: engine_view.EngineId,
        need: permits.PermitNeed,
        rate_per_s: float,
        members: abc.Collection[str],
    ) -> permits.Permit:
        """Permit one request in each turn of this instance.

        Parameters
        ----------
        engine_id : tuple of (str, int)
            The run of the upstream.
        need : PermitNeed
            The request.
        rate_per_s : float
            Requests per second that the upstream takes from all instances.
        members : collection of str
            Names of all instances that may ask, this one among them.
        """
        limit_per_s = max(rate_per_s, permits.MIN_RATE_PER_S)
        turn_ms = max(TURN_MS, int(MS_PER_S / limit_per_s))
        now_ms = self.wall_clock.now_ms()
        turn = max(now_ms // turn_ms, self.last_turn.get(engine_id, -1) + 1)
        while (wait_ms := turn * turn_ms - now_ms) <= need.longest_wait_ms:
            if self._owns(engine_id, turn, members):
                self.last_turn[engine_id] = turn
                return permits.Permit(True, max(0, wait_ms))
            turn += 1
        return permits.Permit(False, ASK_AGAIN_MS)

    def _owns(
        self,
        engine_id: engine_view.EngineId,
        turn: int,
        members: abc.Collection[str],
    ) -> bool:
        """Return whether a turn is this instance's."""

        def weight(name: str) -> int:
            key = f"{name}/{engine_id[0]}/{engine_id[1]}/{turn}"
            return xxhash.xxh64_intdigest(key.encode())

        return self.name == max({*members, self.name}, key=weight)

    def keep_only(
        self, engine_ids: abc.Container[engine_view.EngineId]
    ) -> None:
        """Forget the turns at upstreams that are no longer announced."""
        for engine_id in list(self.last_turn):
            if engine_id not in engine_ids:
                del self.last_turn[engine_id]
