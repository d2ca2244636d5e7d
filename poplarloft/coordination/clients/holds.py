"""What one connection holds, and what it waits for."""

import dataclasses
import enum

__all__ = ["ClientHold", "Phase"]


class Phase(enum.Enum):
    """What a connection waits for.

    In all phases but `SERVED`, the client is to act next.
    """

    SILENT = "silent"  # for the first byte after it was opened
    IDLE = "idle"  # for the next request after a response
    RECEIVING = "receiving"  # for the rest of a request
    SERVED = "served"  # for the response
    UNREAD = "unread"  # for the client to read the response


@dataclasses.dataclass(frozen=True, slots=True)
class ClientHold:
    """What one connection holds, in bytes.

    Parameters
    ----------
    ahead_bytes : int
        Sent by the client and not yet part of a request.
    body_bytes : int
        Memory for the request that is read or served.
    unread_bytes : int
        Answers that the client has not read.
    kernel_bytes : int
        What may have arrived and was not read from the kernel.
    """

    ahead_bytes: int = 0
    body_bytes: int = 0
    unread_bytes: int = 0
    kernel_bytes: int = 0

    @property
    def total_bytes(self) -> int:
        """All that is held."""
        return self.body_bytes + self.excess_bytes

    @property
    def excess_bytes(self) -> int:
        """What a client that waits for its answers does not cause."""
        return self.ahead_bytes + self.unread_bytes + self.kernel_bytes

    def closable_bytes(self, phase: Phase) -> int:
        """Return what closing the connection frees at once.

        What a complete request uses is held until its handling has ended.
        """
        if phase in (Phase.SERVED, Phase.UNREAD):
            return self.excess_bytes
        return self.total_bytes
