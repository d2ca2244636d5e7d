"""Output of log lines that never blocks the event loop."""

import os

__all__ = ["LogOutput"]

MAX_PENDING_BYTES = 262_144


class LogOutput:
    """Non-blocking writer for a descriptor whose reader may be slow.

    Lines that cannot be written yet are buffered, up to
    `MAX_PENDING_BYTES`. Further lines are dropped as a whole and counted
    in `dropped`.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.flush()
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.pending += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed; the daemon goes on without logs.
                self.pending = b""
                self.dropped += 1
                return
            self.pending = self.pending[written:]
