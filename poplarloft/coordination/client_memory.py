"""What clients make an instance hold, and which of them have to go.

A client costs memory by what it sends ahead of the answers, by the bodies of
its requests, and by answers that it does not read. Each connection has
bounds of its own, but many connections together may still take more than
the machine has. Then the connections that hold most beyond a request being
served are closed first; a request that is being served is not.
"""

import dataclasses

__all__ = ["ClientHold", "ClientMemory"]


@dataclasses.dataclass(slots=True)
class ClientHold:
    """What one connection holds, in bytes.

    Parameters
    ----------
    ahead_bytes : int
        Sent by the client and not yet part of a request.
    body_bytes : int
        Body of the request that is read or served.
    unread_bytes : int
        Answers that the client has not read.
    """

    ahead_bytes: int = 0
    body_bytes: int = 0
    unread_bytes: int = 0

    @property
    def total_bytes(self) -> int:
        """All that is held."""
        return self.ahead_bytes + self.body_bytes + self.unread_bytes

    @property
    def excess_bytes(self) -> int:
        """What a client that waits for its answers does not cause."""
        return self.ahead_bytes + self.unread_bytes


class ClientMemory:
    """Keeps the bytes held for all clients within a bound.

    Parameters
    ----------
    max_bytes : int
        Bound for all connections together.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.holds: dict[int, ClientHold] = {}
        self.total_bytes = 0

    def update(self, client: int, hold: ClientHold) -> None:
        """Set what a connection holds."""
        known = self.holds.get(client)
        before = 0 if known is None else known.total_bytes
        self.holds[client] = hold
        self.total_bytes += hold.total_bytes - before

    def remove(self, client: int) -> None:
        """Forget a connection that has been closed."""
        hold = self.holds.pop(client, None)
        if hold is not None:
            self.total_bytes -= hold.total_bytes

    def may_take_body(self, client: int, size: int) -> bool:
        """Return whether a body of `size` bytes may be read.

        A single request is always read, however small the bound.
        """
        hold = self.holds.get(client, ClientHold())
        others_bytes = self.total_bytes - hold.total_bytes
        if not others_bytes:
            return True
        return others_bytes + hold.excess_bytes + size <= self.max_bytes

    def to_close(self) -> list[int]:
        """Return the connections to close, so that the bound holds.

        They are removed; those that hold most in excess come first.
        """
        closed: list[int] = []
        if self.total_bytes <= self.max_bytes:
            return closed
        ranked = sorted(
            self.holds,
            key=lambda client: self.holds[client].excess_bytes,
            reverse=True,
        )
        for client in ranked:
            if self.total_bytes <= self.max_bytes:
                break
            if not self.holds[client].excess_bytes:
                break
            self.remove(client)
            closed.append(client)
        return closed
