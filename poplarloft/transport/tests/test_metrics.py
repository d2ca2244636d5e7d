"""Metrics in the statsd format, sent over UDP."""

import socket

from poplarloft import state
from poplarloft.transport import metrics


def test_counts_and_timings_are_sent():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        address = state.Address(*server.getsockname())
        sender = metrics.StatsdMetrics(address)
        sender.count("red-peritos.live.answered")
        sender.timing("red-peritos.live.total", 12.0)
        lines = [server.recv(200).decode() for _ in range(2)]
    assert lines[0] == "poplarloft.red-peritos.live.answered:1|c"
    assert lines[1] == "poplarloft.red-peritos.live.total:12.000000|ms"
