"""What a relay tells the relays of other data centres."""

import random
import typing

from poplarloft.coordination import dissemination
from poplarloft.coordination import gossip
from poplarloft.coordination import relaying
from poplarloft import state

__all__ = ["other_data_centres", "relay_updates"]

OTHER_THAN_RELAY = 0.2


class _Member(typing.Protocol):
    """What is asked of a member's view of the fleet."""

    rng: random.Random
    own_record: state.MemberRecord
    store: dissemination.UpdateStore
    settings: gossip.MembershipSettings
    members: dict[str, state.MemberRecord]
    relay_queues: relaying.RelayQueues
    round: int

    def is_relay(self) -> bool:
        """Tell whether this instance is a relay."""

    def live_in(self, data_centre: str) -> list[str]:
        """Return the live members of a data centre."""

    def relays_of(self, data_centre: str) -> list[str]:
        """Return the relays of a data centre."""


def relay_updates(member: _Member) -> list[gossip.MembershipAction]:
    """Pass news on to other data centres, as a relay.

    A few centres with news are served per round, so that the load
    doesn't grow with the fleet; digests mend what gets lost.
    """
    if not member.is_relay():
        member.relay_queues.clear()
        return []
    actions: list[gossip.MembershipAction] = []
    for centre in member.relay_queues.centres(
        member.settings.centres_per_round
    ):
        actions += _send_news(member, centre)
    centres = other_data_centres(member)
    if centres and member.round % member.settings.digest_every == 0:
        target = _remote_target(member, member.rng.choice(centres))
        if target is not None:
            digest = member.store.digest()
            actions.append(gossip.SendDigest(target, digest))
    return actions


def other_data_centres(member: _Member) -> list[str]:
    """Return the data centres that the member is not in."""
    centres = {m.location.data_centre for m in member.members.values()}
    return sorted(centres - {member.own_record.location.data_centre})


def _send_news(member: _Member, centre: str) -> list[gossip.MembershipAction]:
    target = _remote_target(member, centre)
    if target is None:
        return []
    keys = member.relay_queues.take(centre, member.settings.news_at_once)
    found = [member.store.get(key) for key in keys]
    rumours = tuple(rumour for rumour in found if rumour is not None)
    return [gossip.SendUpdates(target, rumours)]


def _remote_target(member: _Member, data_centre: str) -> str | None:
    """Return a relay; now and then another, if the relays are gone."""
    known = member.live_in(data_centre)
    if not known:
        return None
    if member.rng.random() < OTHER_THAN_RELAY:
        return member.rng.choice(known)
    return member.rng.choice(member.relays_of(data_centre))
