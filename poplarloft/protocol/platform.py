"""Messages of the platform: key-value service and instance list."""

import msgspec

from poplarloft.protocol import addresses
from poplarloft import state

__all__ = [
    "KeyValueAnswer",
    "LeaseAnswer",
    "LeaseRequest",
    "decode_instances",
    "decode_key_value",
    "decode_lease",
    "encode_instances",
]


class KeyValueAnswer(msgspec.Struct, kw_only=True):
    """A value with its version; absent keys have version 0."""

    value: bytes = b""
    version: int = state.ABSENT_VERSION


class LeaseRequest(msgspec.Struct, kw_only=True):
    """Asks for a lease."""

    holder: str
    ttl_ms: int


class LeaseAnswer(msgspec.Struct, kw_only=True):
    """Tells who holds a lease and under which fencing number."""

    holder: str
    fence: int


class InstanceRecord(msgspec.Struct, kw_only=True):
    """One upstream of the instance list."""

    name: str
    incarnation: int
    service: str
    kind: state.UpstreamKind
    address: str
    region: str
    data_centre: str
    status: state.UpstreamStatus = state.UpstreamStatus.LIVE
    honours_fence: bool = True


_KEY_VALUE = msgspec.msgpack.Decoder(KeyValueAnswer)
_LEASE = msgspec.json.Decoder(LeaseAnswer)
_INSTANCES = msgspec.json.Decoder(list[InstanceRecord])


def decode_key_value(data: bytes) -> state.Versioned:
    """Return a value; raises `msgspec.MsgspecError`."""
    answer = _KEY_VALUE.decode(data)
    return state.Versioned(answer.value, answer.version)


def decode_lease(data: bytes) -> LeaseAnswer:
    """Return a lease's holder; raises `msgspec.MsgspecError`."""
    return _LEASE.decode(data)


def decode_instances(data: bytes) -> tuple[state.Upstream, ...]:
    """Return the listed upstreams.

    Raises
    ------
    msgspec.MsgspecError
        If the list has another form.
    ProtocolError
        If an address is not an IP number with a port.
    """
    return tuple(_to_upstream(record) for record in _INSTANCES.decode(data))


def encode_instances(upstreams: tuple[state.Upstream, ...]) -> bytes:
    """Return the list of upstreams as JSON."""
    records = [
        InstanceRecord(
            name=u.name,
            incarnation=u.incarnation,
            service=u.service,
            kind=u.kind,
            address=str(u.address),
            region=u.location.region,
            data_centre=u.location.data_centre,
            status=u.status,
            honours_fence=u.honours_fence,
        )
        for u in upstreams
    ]
    return msgspec.json.encode(records)


def _to_upstream(record: InstanceRecord) -> state.Upstream:
    return state.Upstream(
        record.name,
        record.incarnation,
        record.service,
        record.kind,
        addresses.parse_address(record.address),
        state.Location(record.region, record.data_centre),
        record.status,
        record.honours_fence,
    )
