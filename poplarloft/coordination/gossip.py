"""Settings and messages of the membership."""

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
    """Times of the failure detector, in milliseconds.

    Parameters
    ----------
    interval_ms : int
        Time between two probes by one member.
    direct_timeout_ms : int
        Wait for a direct answer before others are asked to probe.
    probe_timeout_ms : int
        Wait for any answer before the target is suspected.
    last_timeout_ms : int
        Wait for an answer to the last probe of a suspect.
    suspicion_ms : int
        Time in which a suspect may refute.
    indirect : int
        Members asked to probe on one's behalf.
    digest_every : int
        Probes between two digests.
    centres_per_round : int
        Other data centres that a relay sends news to per probe.
    news_at_once : int
        Rumours in one message between data centres.
    relays : int
        Members of a data centre that talk to other data centres.
    max_health_score : int
        Limit of the local health score; timeouts grow with the score.
    forget_ms : int
        Time for which a dead member is remembered.
    """

    interval_ms: int = 200
    direct_timeout_ms: int = 100
    probe_timeout_ms: int = 250
    last_timeout_ms: int = 150
    suspicion_ms: int = 1_850
    indirect: int = 3
    digest_every: int = 10
    centres_per_round: int = 3
    news_at_once: int = 32
    relays: int = 2
    max_health_score: int = 4
    forget_ms: int = 900_000


@dataclasses.dataclass(frozen=True, slots=True)
class SendPing:
    """Action: probe a member; `on_behalf_of` asked for it, or empty."""

    to: str
    sequence: int
    on_behalf_of: str
    updates: tuple[state.GossipUpdate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendAck:
    """Action: answer a probe."""

    to: str
    sequence: int
    on_behalf_of: str
    target: str
    updates: tuple[state.GossipUpdate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendPingRequest:
    """Action: ask a member to probe `target`."""

    to: str
    target: str
    sequence: int
    updates: tuple[state.GossipUpdate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendDigest:
    """Action: send a digest; the answer mends what is missing."""

    to: str
    digest: tuple[int, ...]
    is_answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SendUpdates:
    """Action: send rumours, to a relay or as a repair."""

    to: str
    updates: tuple[state.GossipUpdate, ...]


MembershipAction = (
    SendPing | SendAck | SendPingRequest | SendDigest | SendUpdates
)
