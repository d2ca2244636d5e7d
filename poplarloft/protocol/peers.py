"""Encoding of messages between daemons as MessagePack.

Structs are encoded as arrays with a short tag, so that an empty ping
takes less than a hundred bytes.
"""

import msgspec

from poplarloft import coordination
from poplarloft.protocol import addresses
from poplarloft import state

__all__ = [
    "Envelope",
    "PeerMessage",
    "decode_peer_message",
    "encode_peer_message",
]

PeerMessage = (
    coordination.MembershipAction
    | state.ClaimRequest
    | state.ClaimAnswer
    | state.HeadRequest
    | state.HeadAnswer
)


class _Wire(msgspec.Struct, array_like=True):
    pass


class _Member(_Wire, tag="m"):
    name: str
    incarnation: int
    refutation: int
    status: int
    peer_address: str
    http_address: str
    region: str
    data_centre: str


class _Leaving(_Wire, tag="l"):
    upstream: str
    incarnation: int


class _Head(_Wire, tag="h"):
    """Encoded `state.HeadUpdate`."""

    revision: int
    holder: str


class _Crash(_Wire, tag="c"):
    """Encoded `state.CrashUpdate`."""

    fingerprint: str
    upstream: str
    incarnation: int
    is_sole_suspect: bool


class _Cleared(_Wire, tag="a"):
    """Encoded `state.ClearedUpdate`."""

    fingerprint: str
    at_ms: int
    runs: list[tuple[str, int]]


class _Quarantine(_Wire, tag="q"):
    """Encoded `state.QuarantineUpdate`."""

    fingerprint: str
    until_ms: int
    generation: int


class _Usage(_Wire, tag="u"):
    """Encoded `state.UsageUpdate`."""

    instance: str
    incarnation: int
    total: int
    counters: list[tuple[str, str, str, int]]


_Update = _Member | _Leaving | _Head | _Crash | _Cleared | _Quarantine | _Usage


class _Ping(_Wire, tag="P"):
    """Encoded `coordination.SendPing`; `rumours` are gossip updates."""

    sequence: int
    on_behalf_of: str
    rumours: list[_Update]


class _Ack(_Wire, tag="A"):
    """Encoded `coordination.SendAck`; `rumours` are gossip updates."""

    sequence: int
    on_behalf_of: str
    target: str
    rumours: list[_Update]


class _PingRequest(_Wire, tag="R"):
    """Encoded `coordination.SendPingRequest`.

    `rumours` are gossip updates.
    """

    target: str
    sequence: int
    rumours: list[_Update]


class _Digest(_Wire, tag="D"):
    """Encoded `coordination.SendDigest`.

    `digest` holds one hash of the gossip updates of each bucket.
    """

    digest: list[int]
    is_answer: bool


class _Updates(_Wire, tag="G"):
    """Encoded `coordination.SendUpdates`; `rumours` are gossip updates."""

    rumours: list[_Update]


class _ClaimRequest(_Wire, tag="C"):
    digest: bytes
    issued_at_ms: int
    attempt: int
    claimant: str
    timeout_ms: int


class _ClaimAnswer(_Wire, tag="c"):
    attempt: int
    decision: str
    holder: str


class _HeadRequest(_Wire, tag="H"):
    above_revision: int


class _HeadAnswer(_Wire, tag="B"):
    revision: int
    head: bytes


_Body = (
    _Ping
    | _Ack
    | _PingRequest
    | _Digest
    | _Updates
    | _ClaimRequest
    | _ClaimAnswer
    | _HeadRequest
    | _HeadAnswer
)


class _Envelope(_Wire):
    sender: str
    body: _Body


class Envelope(msgspec.Struct, frozen=True):
    """A decoded message with the name of its sender.

    The receiver is not encoded, so the `to` of a gossip message is empty.
    """

    sender: str
    message: PeerMessage


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Envelope)


def encode_peer_message(sender: str, message: PeerMessage) -> bytes:
    """Return the encoded form of a message."""
    return _ENCODER.encode(_Envelope(sender, _to_wire(message)))


def decode_peer_message(data: bytes) -> Envelope:
    """Return the decoded message and its sender.

    Raises
    ------
    msgspec.MsgspecError
        If the bytes do not decode to a message.
    ProtocolError
        If the address of a member is not an IP number with a port.
    """
    envelope = _DECODER.decode(data)
    return Envelope(envelope.sender, _from_wire(envelope.body))


def _to_wire(message: PeerMessage) -> _Body:
    match message:
        case coordination.SendPing(_, sequence, on_behalf_of, updates):
            return _Ping(sequence, on_behalf_of, _updates_to_wire(updates))
        case coordination.SendAck(_, sequence, on_behalf_of, target, updates):
            piggybacked = _updates_to_wire(updates)
            return _Ack(sequence, on_behalf_of, target, piggybacked)
        case coordination.SendPingRequest(_, target, sequence, updates):
            return _PingRequest(target, sequence, _updates_to_wire(updates))
        case coordination.SendDigest(_, digest, is_answer):
            return _Digest(list(digest), is_answer)
        case coordination.SendUpdates(_, updates):
            return _Updates(_updates_to_wire(updates))
        case state.ClaimRequest(key, attempt, claimant, timeout_ms):
            return _ClaimRequest(
                key.digest, key.issued_at_ms, attempt, claimant, timeout_ms
            )
        case state.ClaimAnswer(attempt, decision, holder):
            return _ClaimAnswer(attempt, decision, holder)
        case state.HeadRequest(above_revision):
            return _HeadRequest(above_revision)
        case state.HeadAnswer(revision, head):
            return _HeadAnswer(revision, head)
    raise TypeError(
        f"cannot encode a message of type {type(message).__name__}"
    )


def _from_wire(body: _Body) -> PeerMessage:
    match body:
        case _Ping(sequence, on_behalf_of, updates):
            piggybacked = _updates_from_wire(updates)
            return coordination.SendPing(
                "", sequence, on_behalf_of, piggybacked
            )
        case _Ack(sequence, on_behalf_of, target, updates):
            piggybacked = _updates_from_wire(updates)
            return coordination.SendAck(
                "", sequence, on_behalf_of, target, piggybacked
            )
        case _PingRequest(target, sequence, updates):
            piggybacked = _updates_from_wire(updates)
            return coordination.SendPingRequest(
                "", target, sequence, piggybacked
            )
        case _Digest(digest, is_answer):
            return coordination.SendDigest("", tuple(digest), is_answer)
        case _Updates(updates):
            return coordination.SendUpdates("", _updates_from_wire(updates))
        case _ClaimRequest(digest, issued, attempt, claimant, timeout):
            key = state.ClaimKey(digest, issued)
            return state.ClaimRequest(key, attempt, claimant, timeout)
        case _ClaimAnswer(attempt, decision, holder):
            return state.ClaimAnswer(attempt, decision, holder)
        case _HeadRequest(above_revision):
            return state.HeadRequest(above_revision)
        case _HeadAnswer(revision, head):
            return state.HeadAnswer(revision, head)
    raise TypeError(f"cannot decode a message from {type(body).__name__}")


def _updates_to_wire(updates: tuple[state.GossipUpdate, ...]) -> list[_Update]:
    return [_update_to_wire(update) for update in updates]


def _update_to_wire(update: state.GossipUpdate) -> _Update:
    match update:
        case state.MemberRecord() as member:
            return _Member(
                member.name,
                member.incarnation,
                member.refutation,
                int(member.status),
                str(member.peer_address),
                str(member.http_address),
                member.location.region,
                member.location.data_centre,
            )
        case state.LeavingUpdate(upstream, incarnation):
            return _Leaving(upstream, incarnation)
        case state.HeadUpdate(revision, holder):
            return _Head(revision, holder)
        case state.CrashUpdate(fingerprint, upstream, incarnation, is_sole):
            return _Crash(fingerprint, upstream, incarnation, is_sole)
        case state.ClearedUpdate(fingerprint, at_ms, runs):
            return _Cleared(fingerprint, at_ms, list(runs))
        case state.QuarantineUpdate(fingerprint, until_ms, generation):
            return _Quarantine(fingerprint, until_ms, generation)
        case state.UsageUpdate(instance, incarnation, total, counters):
            return _Usage(instance, incarnation, total, list(counters))
    raise TypeError(f"cannot encode an update of type {type(update).__name__}")


def _updates_from_wire(
    updates: list[_Update],
) -> tuple[state.GossipUpdate, ...]:
    return tuple(_update_from_wire(update) for update in updates)


def _update_from_wire(update: _Update) -> state.GossipUpdate:
    match update:
        case _Member():
            return state.MemberRecord(
                update.name,
                update.incarnation,
                update.refutation,
                state.MemberStatus(update.status),
                addresses.parse_address(update.peer_address),
                addresses.parse_address(update.http_address),
                state.Location(update.region, update.data_centre),
            )
        case _Leaving(upstream, incarnation):
            return state.LeavingUpdate(upstream, incarnation)
        case _Head(revision, holder):
            return state.HeadUpdate(revision, holder)
        case _Crash(fingerprint, upstream, incarnation, is_sole):
            return state.CrashUpdate(
                fingerprint, upstream, incarnation, is_sole
            )
        case _Cleared(fingerprint, at_ms, runs):
            return state.ClearedUpdate(fingerprint, at_ms, tuple(runs))
        case _Quarantine(fingerprint, until_ms, generation):
            return state.QuarantineUpdate(fingerprint, until_ms, generation)
        case _Usage(instance, incarnation, total, counters):
            return state.UsageUpdate(
                instance, incarnation, total, tuple(counters)
            )
    raise TypeError(f"cannot decode an update from {type(update).__name__}")
