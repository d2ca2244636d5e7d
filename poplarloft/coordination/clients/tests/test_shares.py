"""What clients may take of a machine."""

import hypothesis
from hypothesis import strategies

from poplarloft.coordination import clients

BYTES_PER_MB = 1_000_000


def test_shares_follow_what_the_process_uses_itself():
    small = clients.share_machine(clients.Machine(300, 4_100, 40_000_000))
    large = clients.share_machine(clients.Machine(300, 4_100, 200_000_000))
    assert small.requests.max_bytes > 2 * large.requests.max_bytes
    assert small.max_channels == large.max_channels


def test_machine_without_figures_has_the_defaults():
    assert clients.share_machine(clients.Machine()) == clients.MachineShares()


@hypothesis.given(
    strategies.integers(64, 100_000),
    strategies.integers(100, 1_000_000),
    strategies.integers(1, 50),
)
def test_all_shares_together_fit(memory_mb, descriptors, base_mb):
    machine = clients.Machine(memory_mb, descriptors, base_mb * BYTES_PER_MB)
    shares = clients.share_machine(machine)
    listeners = [shares.requests, shares.relay, *2 * [shares.control]]
    held = sum(share.max_bytes for share in listeners) + 2 * shares.lot_bytes
    assert base_mb * BYTES_PER_MB + held <= memory_mb * BYTES_PER_MB
    opened = sum(share.max_connections for share in listeners)
    opened += shares.max_channels + shares.max_peers
    assert opened < descriptors
    kernel_bytes = 2 * shares.max_peers * shares.peer_receive_bytes
    least_bytes = 2 * shares.max_peers * 32_768
    free_bytes = machine.free_bytes
    assert kernel_bytes <= max(least_bytes, 0.1 * free_bytes)
    assert min(share.max_connections for share in listeners) >= 1
