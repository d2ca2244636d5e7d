"""Writes log lines to a descriptor without ever waiting for it."""

import os

__all__ = ["LogOutput"]

MAX_PENDING_BYTES = 262_144


class LogOutput:
    """A descriptor whose reader may be slow.

    What can't be written is kept up to `MAX_PENDING_BYTES`; further
    lines are dropped whole and counted.

    Parameters
    ----------
    descriptor : int
        Where to write.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or keep it, or drop it."""
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.flush()
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.pending += line
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor takes now."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the daemon goes on without logs.
                self.pending = b""
                self.dropped += 1
                return
            self.pending = self.pending[written:]
