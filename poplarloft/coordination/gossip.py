"""Settings and messages of the membership protocol."""

import dataclasses

from poplarloft import state

__all__ = [
    "MembershipAction",
    "MembershipSettings",
    "SendAck",
    "SendDigest",
    "SendPing",
    "SendPingRequest",
    "SendUpdates",
]


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of the failure detector and of the relays.

    Parameters
    ----------
    interval_ms : int
        Length of a protocol round; a member sends one probe per round.
    direct_timeout_ms : int
        Timeout of a direct probe, after which other members are
        requested to probe the target.
    probe_timeout_ms : int
        Overall timeout of a probe, after which the target is
        suspected.
    final_timeout_ms : int
        Timeout of the final probe of a suspect.
    suspicion_ms : int
        Time in which a suspect may refute the suspicion.
    indirect_probes : int
        Members requested to probe a target on this member's behalf.
    rounds_per_digest : int
        Rounds between two digests.
    data_centres_per_round : int
        Other data centres to which a relay sends updates in a round.
    relay_batch_size : int
        Maximum number of updates in a message between data centres.
    relays : int
        Members of a data centre that send to other data centres.
    max_health_score : int
        Upper limit of the local health score. The score is 0 for a
        healthy member; probe timeouts grow with it.
    dead_retention_ms : int
        Time for which a dead member is kept in the list.
    """

    interval_ms: int = 200
    direct_timeout_ms: int = 100
    probe_timeout_ms: int = 250
    final_timeout_ms: int = 150
    suspicion_ms: int = 1_850
    indirect_probes: int = 3
    rounds_per_digest: int = 10
    data_centres_per_round: int = 3
    relay_batch_size: int = 32
    relays: int = 2
    max_health_score: int = 4
    dead_retention_ms: int = 900_000


@dataclasses.dataclass(frozen=True, slots=True)
class SendPing:
    """Action: probe a member; `on_behalf_of` requested it, or is empty."""

    to: str
    sequence: int
    on_behalf_of: str
    updates: tuple[state.GossipUpdate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendAck:
    """Action: acknowledge a probe, or forward an acknowledgement."""

    to: str
    sequence: int
    on_behalf_of: str
    target: str
    updates: tuple[state.GossipUpdate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendPingRequest:
    """Action: request an indirect probe of `target`."""

    to: str
    target: str
    sequence: int
    updates: tuple[state.GossipUpdate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendDigest:
    """Action: send a digest; the receiver replies with what differs."""

    to: str
    digest: tuple[int, ...]
    is_answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SendUpdates:
    """Action: send updates that are not piggybacked on a probe."""

    to: str
    updates: tuple[state.GossipUpdate, ...]


MembershipAction = (
    SendPing | SendAck | SendPingRequest | SendDigest | SendUpdates
)
