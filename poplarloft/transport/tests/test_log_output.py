"""Log output to a pipe whose reader is slow or has closed."""

import os

from poplarloft.transport import log_output


def test_full_pipe_drops_and_counts_without_waiting():
    reader, writer = os.pipe()
    output = log_output.LogOutput(writer)
    line = b"x" * 999 + b"\n"
    for _ in range(1_000):
        output.write(line)
    assert output.dropped > 0
    assert len(output.pending) <= log_output.MAX_PENDING_BYTES
    received = b""
    while output.pending:
        received += os.read(reader, 65_536)
        output.flush()
    os.close(writer)
    while piece := os.read(reader, 65_536):
        received += piece
    os.close(reader)
    assert received.count(b"\n") == 1_000 - output.dropped
    assert len(received) == 1_000 * received.count(b"\n")


def test_closed_reader_does_not_raise():
    reader, writer = os.pipe()
    output = log_output.LogOutput(writer)
    os.close(reader)
    output.write(b"line\n")
    assert output.dropped == 1
    os.close(writer)
