"""Peers without a listed key are rejected; TLS certificates reload."""

import asyncio
import os
import ssl

import pytest
import trustme
import zmq

from poplarloft.protocol import errors
from poplarloft.protocol import keys
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import peers
from standins import platform

WAIT_S = 0.5


def make_keys(allowed=(), server_keys=None):
    public, secret = zmq.curve_keypair()
    return peers.CurveKeys(
        public, secret, frozenset({public, *allowed}), server_keys or {}
    )


async def received_messages(receiver_keys, sender_keys, server_key):
    """Return the messages that a receiver received from a sender."""
    received = []
    receiver = peers.PeerSockets(received.append, receiver_keys)
    address = receiver.bind(state.Address("127.0.0.1", 0))
    receiver.start()
    sender = peers.PeerSockets(lambda data: None, sender_keys)
    for _ in range(25):
        sender.send(address, b"hello", server_key)
        await asyncio.sleep(WAIT_S / 25)
        if received:
            break
    sender.close()
    receiver.close()
    return received


async def test_a_listed_peer_is_accepted():
    client_keys = make_keys()
    server_keys = make_keys(allowed=[client_keys.public])
    received = await received_messages(
        server_keys, client_keys, server_keys.public
    )
    assert received[0] == b"hello"


async def test_an_unknown_key_is_rejected():
    server_keys = make_keys()
    received = await received_messages(
        server_keys, make_keys(), server_keys.public
    )
    assert received == []


async def test_a_peer_without_keys_is_rejected():
    assert await received_messages(make_keys(), None, None) == []


def test_key_files_round_trip_and_errors_hold_no_secret():
    public, secret = zmq.curve_keypair()
    pair = keys.KeyPair(public, secret)
    text = keys.format_key_pair(pair)
    assert keys.parse_key_pair(text) == pair
    assert secret.decode() not in repr(pair)
    with pytest.raises(errors.FieldError) as caught:
        keys.parse_key_pair(text[:-5])
    assert secret.decode()[:10] not in str(caught.value)
    with pytest.raises(errors.FieldError, match="line 1") as caught:
        keys.parse_key_pair(secret.decode())
    assert secret.decode()[:10] not in str(caught.value)


def test_allow_list_names_the_malformed_line():
    with pytest.raises(errors.FieldError, match="line 2"):
        keys.parse_allow_list("# daemons\nentry-1 short\n")


def new_certificate(folder):
    """Write a key and a certificate signed by a new authority."""
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(folder / "key.pem")
    issued.cert_chain_pems[0].write_to_path(folder / "cert.pem")
    authority.cert_pem.write_to_path(folder / "authority.pem")


async def status_over_tls(node, folder):
    context = ssl.create_default_context(cafile=folder / "authority.pem")
    client = http_client.HttpClient(tls=context)
    sent = await client.send(node.address, "GET", "/healthz")
    client.close()
    response = sent.value_or(None)
    return response and response.status


async def test_tls_serves_and_reloads_a_new_certificate(tmp_path):
    new_certificate(tmp_path)
    small = platform.SmallPlatform()
    await small.start(engines=0, plains=0, scorers=0)
    node = await small.start_node(
        "entry-1",
        platform.LOCATIONS[0],
        tls_certificate=str(tmp_path / "cert.pem"),
        tls_key=str(tmp_path / "key.pem"),
    )
    assert await status_over_tls(node, tmp_path) == 200
    new_certificate(tmp_path)
    assert await status_over_tls(node, tmp_path) is None
    node.reload_keys()
    assert await status_over_tls(node, tmp_path) == 200
    os.remove(tmp_path / "cert.pem")
    node.reload_keys()
    await small.stop()
