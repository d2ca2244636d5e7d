"""Messages of a relay to the relays of other data centres."""

import random
import typing

from poplarloft.coordination import dissemination
from poplarloft.coordination import gossip
from poplarloft.coordination import relaying
from poplarloft import state

__all__ = ["other_data_centres", "relay_updates"]

NON_RELAY_PROBABILITY = 0.2


class _Member(typing.Protocol):
    """The part of a membership view that relaying depends on."""

    rng: random.Random
    own_record: state.MemberRecord
    store: dissemination.UpdateStore
    settings: gossip.MembershipSettings
    members: dict[str, state.MemberRecord]
    relay_queues: relaying.RelayQueues
    round: int

    def is_relay(self) -> bool:
        """Return whether this instance is a relay."""

    def live_in(self, data_centre: str) -> list[str]:
        """Return the live members of a data centre."""

    def relays_of(self, data_centre: str) -> list[str]:
        """Return the relays of a data centre."""


def relay_updates(member: _Member) -> list[gossip.MembershipAction]:
    """Forward queued updates to other data centres, if a relay.

    A bounded number of data centres is served per round, so that the
    load doesn't grow with the fleet. Digests repair what gets lost.
    """
    if not member.is_relay():
        member.relay_queues.clear()
        return []
    actions: list[gossip.MembershipAction] = []
    for data_centre in member.relay_queues.pending(
        member.settings.data_centres_per_round
    ):
        actions += _send_queued(member, data_centre)
    others = other_data_centres(member)
    if others and member.round % member.settings.rounds_per_digest == 0:
        target = _remote_target(member, member.rng.choice(others))
        if target is not None:
            digest = member.store.digest()
            actions.append(gossip.SendDigest(target, digest))
    return actions


def other_data_centres(member: _Member) -> list[str]:
    """Return the known data centres except the member's own."""
    centres = {m.location.data_centre for m in member.members.values()}
    return sorted(centres - {member.own_record.location.data_centre})


def _send_queued(
    member: _Member, data_centre: str
) -> list[gossip.MembershipAction]:
    target = _remote_target(member, data_centre)
    if target is None:
        return []
    keys = member.relay_queues.take(
        data_centre, member.settings.relay_batch_size
    )
    found = [member.store.get(key) for key in keys]
    updates = tuple(update for update in found if update is not None)
    return [gossip.SendUpdates(target, updates)]


def _remote_target(member: _Member, data_centre: str) -> str | None:
    """Return a relay, or sometimes any member in case the relays failed."""
    known = member.live_in(data_centre)
    if not known:
        return None
    if member.rng.random() < NON_RELAY_PROBABILITY:
        return member.rng.choice(known)
    return member.rng.choice(member.relays_of(data_centre))
