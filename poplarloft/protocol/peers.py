"""Messages between daemons, in MessagePack.

Structs are written as arrays with a short tag, so that an empty probe
stays under a hundred bytes.
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
    revision: int
    holder: str


class _Strike(_Wire, tag="s"):
    fingerprint: str
    witness: str
    strikes: int
    alone: int


class _Absolved(_Wire, tag="a"):
    fingerprint: str
    at_ms: int


class _Quarantine(_Wire, tag="q"):
    fingerprint: str
    until_ms: int
    generation: int


class _Usage(_Wire, tag="u"):
    instance: str
    incarnation: int
    total: int
    counters: list[tuple[str, str, str, int]]


_Rumour = (
    _Member | _Leaving | _Head | _Strike | _Absolved | _Quarantine | _Usage
)


class _Ping(_Wire, tag="P"):
    sequence: int
    on_behalf_of: str
    rumours: list[_Rumour]


class _Ack(_Wire, tag="A"):
    sequence: int
    on_behalf_of: str
    target: str
    rumours: list[_Rumour]


class _PingRequest(_Wire, tag="R"):
    target: str
    sequence: int
    rumours: list[_Rumour]


class _Digest(_Wire, tag="D"):
    digest: list[int]
    is_answer: bool


class _Rumours(_Wire, tag="G"):
    rumours: list[_Rumour]


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
    | _Rumours
    | _ClaimRequest
    | _ClaimAnswer
    | _HeadRequest
    | _HeadAnswer
)


class _Envelope(_Wire):
    sender: str
    body: _Body


class Envelope(msgspec.Struct, frozen=True):
    """A decoded message with its sender's name.

    The `to` of gossip messages is empty after decoding.
    """

    sender: str
    message: PeerMessage


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Envelope)


def encode_peer_message(sender: str, message: PeerMessage) -> bytes:
    """Return the wire form of a message."""
    return _ENCODER.encode(_Envelope(sender, _to_wire(message)))


def decode_peer_message(data: bytes) -> Envelope:
    """Return a message and its sender.

    Raises
    ------
    msgspec.MsgspecError
        If the bytes are no message.
    ProtocolError
        If a member's address is no IP number with a port.
    """
    envelope = _DECODER.decode(data)
    return Envelope(envelope.sender, _from_wire(envelope.body))


def _to_wire(message: PeerMessage) -> _Body:
    match message:
        case coordination.SendPing(_, sequence, behalf, rumours):
            return _Ping(sequence, behalf, _rumours_to_wire(rumours))
        case coordination.SendAck(_, sequence, behalf, target, rumours):
            piggybacked = _rumours_to_wire(rumours)
            return _Ack(sequence, behalf, target, piggybacked)
        case coordination.SendPingRequest(_, target, sequence, rumours):
            return _PingRequest(target, sequence, _rumours_to_wire(rumours))
        case coordination.SendDigest(_, digest, is_answer):
            return _Digest(list(digest), is_answer)
        case coordination.SendUpdates(_, rumours):
            return _Rumours(_rumours_to_wire(rumours))
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
    raise TypeError(f"no wire form of {type(message).__name__}")


def _from_wire(body: _Body) -> PeerMessage:
    match body:
        case _Ping(sequence, behalf, rumours):
            piggybacked = _rumours_from_wire(rumours)
            return coordination.SendPing("", sequence, behalf, piggybacked)
        case _Ack(sequence, behalf, target, rumours):
            piggybacked = _rumours_from_wire(rumours)
            return coordination.SendAck(
                "", sequence, behalf, target, piggybacked
            )
        case _PingRequest(target, sequence, rumours):
            piggybacked = _rumours_from_wire(rumours)
            return coordination.SendPingRequest(
                "", target, sequence, piggybacked
            )
        case _Digest(digest, is_answer):
            return coordination.SendDigest("", tuple(digest), is_answer)
        case _Rumours(rumours):
            return coordination.SendUpdates("", _rumours_from_wire(rumours))
        case _ClaimRequest(digest, issued, attempt, claimant, timeout):
            key = state.ClaimKey(digest, issued)
            return state.ClaimRequest(key, attempt, claimant, timeout)
        case _ClaimAnswer(attempt, decision, holder):
            return state.ClaimAnswer(attempt, decision, holder)
        case _HeadRequest(above_revision):
            return state.HeadRequest(above_revision)
        case _HeadAnswer(revision, head):
            return state.HeadAnswer(revision, head)
    raise TypeError(f"no message in {type(body).__name__}")


def _rumours_to_wire(rumours: tuple[state.GossipUpdate, ...]) -> list[_Rumour]:
    return [_rumour_to_wire(rumour) for rumour in rumours]


def _rumour_to_wire(rumour: state.GossipUpdate) -> _Rumour:
    match rumour:
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
        case state.CrashCountUpdate(fingerprint, witness, strikes, alone):
            return _Strike(fingerprint, witness, strikes, alone)
        case state.ClearedUpdate(fingerprint, at_ms):
            return _Absolved(fingerprint, at_ms)
        case state.QuarantineUpdate(fingerprint, until_ms, generation):
            return _Quarantine(fingerprint, until_ms, generation)
        case state.UsageUpdate(instance, incarnation, total, counters):
            return _Usage(instance, incarnation, total, list(counters))
    raise TypeError(f"no wire form of {type(rumour).__name__}")


def _rumours_from_wire(
    rumours: list[_Rumour],
) -> tuple[state.GossipUpdate, ...]:
    return tuple(_rumour_from_wire(rumour) for rumour in rumours)


def _rumour_from_wire(rumour: _Rumour) -> state.GossipUpdate:
    match rumour:
        case _Member():
            return state.MemberRecord(
                rumour.name,
                rumour.incarnation,
                rumour.refutation,
                state.MemberStatus(rumour.status),
                addresses.parse_address(rumour.peer_address),
                addresses.parse_address(rumour.http_address),
                state.Location(rumour.region, rumour.data_centre),
            )
        case _Leaving(upstream, incarnation):
            return state.LeavingUpdate(upstream, incarnation)
        case _Head(revision, holder):
            return state.HeadUpdate(revision, holder)
        case _Strike(fingerprint, witness, strikes, alone):
            return state.CrashCountUpdate(fingerprint, witness, strikes, alone)
        case _Absolved(fingerprint, at_ms):
            return state.ClearedUpdate(fingerprint, at_ms)
        case _Quarantine(fingerprint, until_ms, generation):
            return state.QuarantineUpdate(fingerprint, until_ms, generation)
        case _Usage(instance, incarnation, total, counters):
            return state.UsageUpdate(
                instance, incarnation, total, tuple(counters)
            )
    raise TypeError(f"no rumour in {type(rumour).__name__}")
