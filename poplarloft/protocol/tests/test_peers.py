"""Decoding an encoded peer message gives an equal message."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from poplarloft import coordination
from poplarloft.protocol import errors
from poplarloft.protocol import peers
from poplarloft import state

names = strategies.text("abc-1", min_size=1, max_size=6)
numbers = strategies.integers(0, 2**62)
hosts = strategies.ip_addresses(v=4).map(str)
addresses = strategies.builds(
    state.Address, hosts, strategies.integers(0, 65_535)
)
updates = strategies.one_of(
    strategies.builds(
        state.MemberRecord,
        names,
        numbers,
        numbers,
        strategies.sampled_from(state.MemberStatus),
        addresses,
        addresses,
        strategies.builds(state.Location, names, names),
    ),
    strategies.builds(state.LeavingUpdate, names, numbers),
    strategies.builds(state.HeadUpdate, numbers, names),
    strategies.builds(
        state.CrashUpdate, names, names, numbers, strategies.booleans()
    ),
    strategies.builds(
        state.ClearedUpdate,
        names,
        numbers,
        strategies.lists(strategies.tuples(names, numbers)).map(tuple),
    ),
    strategies.builds(state.QuarantineUpdate, names, numbers, numbers),
    strategies.builds(
        state.UsageUpdate,
        names,
        numbers,
        numbers,
        strategies.tuples(
            strategies.tuples(names, names, names, numbers),
        ),
    ),
)
piggybacked = strategies.lists(updates, max_size=3).map(tuple)
empty = strategies.just("")
messages = strategies.one_of(
    strategies.builds(
        coordination.SendPing, empty, numbers, names, piggybacked
    ),
    strategies.builds(
        coordination.SendAck, empty, numbers, names, names, piggybacked
    ),
    strategies.builds(
        coordination.SendPingRequest, empty, names, numbers, piggybacked
    ),
    strategies.builds(
        coordination.SendDigest,
        empty,
        strategies.lists(numbers, max_size=4).map(tuple),
        strategies.booleans(),
    ),
    strategies.builds(coordination.SendUpdates, empty, piggybacked),
    strategies.builds(
        state.ClaimRequest,
        strategies.builds(state.ClaimKey, strategies.binary(), numbers),
        numbers,
        names,
        numbers,
    ),
    strategies.builds(state.ClaimAnswer, numbers, names, names),
    strategies.builds(state.HeadRequest, numbers),
    strategies.builds(state.HeadAnswer, numbers, strategies.binary()),
)


@hypothesis.given(sender=names, message=messages)
def test_messages_survive_encoding_and_decoding(sender, message):
    decoded = peers.decode_peer_message(
        peers.encode_peer_message(sender, message)
    )
    assert decoded == peers.Envelope(sender, message)


@hypothesis.given(data=strategies.binary(max_size=40))
def test_any_bytes_are_decoded_or_rejected(data):
    try:
        peers.decode_peer_message(data)
    except (msgspec.MsgspecError, errors.ProtocolError):
        return


def test_host_name_in_a_member_record_is_rejected():
    data = msgspec.msgpack.encode(
        ["a", ["G", [["m", "b", 1, 0, 0, "host:1", "host:1", "r", "d"]]]]
    )
    with pytest.raises(errors.ProtocolError, match="not an IP address"):
        peers.decode_peer_message(data)
