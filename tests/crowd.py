"""Clients that don't behave, as a process.

    python -m tests.crowd FORM HOST PORT

Each connection sends what its form says, until it has sent all of it, the
server has closed it, or nothing could be sent for a while. Then the process
prints how many bytes it has sent in all. It reads nothing, and keeps its
connections open until it is killed; a form that pauses goes on to send.
"""

import collections
import dataclasses
import selectors
import socket
import sys
import time

HOST = "h.example"
QUIET_S = 2.0  # a server that takes nothing for so long takes no more
BLOCK_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 4_096
KIB = 1_024
MIB = 1_048_576
ITEMS = 7_000  # as many as fit into a body of a million bytes
ITEM_ROW = (
    '{"id":"%d","path":"/l/%d","tokens":1,"headers":{},"group":"g","body":""}'
)
PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True)
class Machine:
    """The machine of the daemon, as its settings describe it."""

    memory_mb: int = 160
    max_descriptors: int = 120


@dataclasses.dataclass(frozen=True)
class Form:
    """What each connection of a crowd sends.

    Parameters
    ----------
    connections : int
        Number of connections.
    sent_bytes : int
        What each sends, after which it sends nothing more.
    block : callable
        Returns for a connection what it sends again and again.
    opening : bytes
        What it sends first.
    pauses : bool
        Whether it sends only once every `PAUSE_S`.
    leaves : bool
        Whether it closes its connections in the end.
    listener : str
        The listener of the daemon that it connects to.
    queue : int
        Number of requests that the upstream queues once it is full.
    machine : Machine
        The machine that has to bear it.
    """

    connections: int
    sent_bytes: int
    block: collections.abc.Callable[[int], bytes]
    opening: bytes = b""
    pauses: bool = False
    leaves: bool = False
    listener: str = "requests"
    queue: int = 0
    machine: Machine = dataclasses.field(default_factory=Machine)


def head(path, *headers):
    """Return the head of a POST request."""
    rows = [f"POST {path} HTTP/1.1", f"Host: {HOST}", *headers]
    return ("\r\n".join(rows) + "\r\n\r\n").encode()


def ahead(path, *headers, is_named=True):
    """Return a function for `BLOCK_BYTES` of complete requests."""

    def block(connection):
        sent = b""
        number = 0
        while len(sent) < BLOCK_BYTES:
            rows = [*headers, "Content-Length: 0"]
            if is_named:
                rows.append(f"X-Request-Id: crowd-{connection}-{number}")
                rows.append("X-Deadline-Ms: 4000")
            sent += head(path, *rows)
            number += 1
        return sent

    return block


def lot_body():
    """Return a lot of very small items."""
    items = ",".join(ITEM_ROW % (n, n) for n in range(ITEMS))
    return ('{"model":"m","items":[' + items + "]}").encode()


def lot(connection):
    """Return a request that hands in a lot of very small items."""
    body = lot_body()
    named = f"X-Request-Id: lot-{connection}-{time.monotonic_ns()}"
    return head("/l/x", named, f"Content-Length: {len(body)}") + body


def chunks(size):
    """Return a function for chunks of `size` bytes of a body."""
    chunk = b"%x\r\n%s\r\n" % (size, b" " * size)
    return lambda connection: chunk * (BLOCK_BYTES // len(chunk))


def one_chunk(connection):
    return b"1\r\nx\r\n"


def peer_handshake():
    """Return what a ZeroMQ socket sends before its first message."""
    signature = b"\xff" + bytes(8) + b"\x7f"
    greeting = signature + b"\x03\x00" + b"NULL".ljust(20, b"\x00")
    ready = b"\x05READY\x0bSocket-Type\x00\x00\x00\x04PUSH"
    return greeting.ljust(64, b"\x00") + bytes((4, len(ready))) + ready


def messages(size):
    """Return a function for a message of `size` bytes that none expects."""
    message = b"\x02" + size.to_bytes(8, "big") + bytes(size)
    return lambda connection: message


def nothing(connection):
    return b""


CHUNKED = "Transfer-Encoding: chunked"
STREAMED = ("X-Model: m", "X-Token-Counts: 10,71000")
SHORT_STREAMED = ("X-Model: m", "X-Token-Counts: 10,71")
WIDE = Machine(max_descriptors=1_000)

FORMS = {
    "without-headers": Form(16, 24 * MIB, ahead("/p/x", is_named=False)),
    "without-route": Form(16, 24 * MIB, ahead("/nowhere/x")),
    "few-connections": Form(3, 128 * MIB, ahead("/p/x")),
    "many-connections": Form(600, 400 * KIB, ahead("/p/x"), machine=WIDE),
    "small-chunks": Form(
        40, 6 * MIB, chunks(1), head("/l/x", "X-Request-Id: c", CHUNKED)
    ),
    "small-items": Form(40, 4 * MIB, lot),
    "silent": Form(200, 0, nothing),
    "endless-bodies": Form(
        200, 30, one_chunk, head("/p/x", CHUNKED), pauses=True
    ),
    "endless-lots": Form(
        200, 30, one_chunk, head("/l/x", CHUNKED), pauses=True
    ),
    "leaving": Form(100, 200 * KIB, ahead("/p/slow"), leaves=True),
    "streams": Form(40, 200 * KIB, ahead("/s/x", *STREAMED)),
    "short-streams": Form(40, 200 * KIB, ahead("/s/x", *SHORT_STREAMED)),
    "many-streams": Form(
        600, 200 * KIB, ahead("/s/x", *STREAMED), machine=WIDE
    ),
    "queued-streams": Form(
        600, 200 * KIB, ahead("/s/x", *STREAMED), queue=8, machine=WIDE
    ),
    "silent-readiness": Form(200, 0, nothing, listener="readiness"),
    "silent-metrics": Form(200, 0, nothing, listener="metrics"),
    "silent-relay": Form(200, 0, nothing, listener="relay"),
    "ahead-readiness": Form(
        16, 24 * MIB, ahead("/nowhere/x"), listener="readiness"
    ),
    "ahead-metrics": Form(16, 24 * MIB, ahead("/metrics"), listener="metrics"),
    "burst-peers": Form(2_000, 0, nothing, listener="peers"),
    "loud-peers": Form(
        12, 900 * MIB, messages(1_900_000), peer_handshake(), listener="peers"
    ),
    "silent-peers": Form(200, 0, nothing, listener="peers"),
}


class Client:
    """One connection of the crowd."""

    def __init__(self, form, number, address):
        self.form = form
        self.block = form.block(number)
        self.pending = form.opening
        self.sent_bytes = 0
        self.is_open = True
        self.due_s = 0.0
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def is_done(self):
        sent_all = self.sent_bytes >= self.form.sent_bytes
        return not self.is_open or (sent_all and not self.pending)

    def is_due(self):
        return not self.form.pauses or time.monotonic() >= self.due_s

    def send(self):
        """Send as much as the server takes now."""
        self.pending = self.pending or self.block
        try:
            count = self.socket.send(self.pending)
        except BlockingIOError:
            return
        except OSError:
            self.is_open = False  # refused, or closed
            return
        self.pending = self.pending[count:]
        self.sent_bytes += count
        self.due_s = time.monotonic() + PAUSE_S


def play(clients):
    """Send until all have sent, are closed, or no server takes more."""
    selector = selectors.DefaultSelector()
    for client in clients:
        selector.register(client.socket, selectors.EVENT_WRITE, client)
    last_s = time.monotonic()
    while time.monotonic() < last_s + QUIET_S:
        waiting = [c for c in clients if not c.is_done()]
        if not waiting:
            return
        before = sum(client.sent_bytes for client in clients)
        for key, _ in selector.select(PAUSE_S):
            if not key.data.is_done() and key.data.is_due():
                key.data.send()
        if sum(client.sent_bytes for client in clients) > before:
            last_s = time.monotonic()
        elif not any(client.is_due() for client in waiting):
            time.sleep(PAUSE_S)


def main(name, host, port):
    form = FORMS[name]
    clients = [
        Client(form, number, (host, int(port)))
        for number in range(form.connections)
    ]
    play(clients)
    if form.leaves:
        for client in clients:
            client.socket.close()
    print(sum(client.sent_bytes for client in clients), flush=True)
    while True:
        time.sleep(PAUSE_S)
        for client in clients:
            if form.pauses and client.is_open:
                client.send()


if __name__ == "__main__":
    main(*sys.argv[1:])
