"""Clients that send requests ahead and read no answer, as a process.

    python -m tests.crowd FORM HOST PORT

Each connection sends requests until it has sent `FORMS[FORM].sent_bytes`,
the server has closed it, or nothing could be sent for a while. Then the
process prints how many bytes it has sent in all, and keeps its connections
open until it is killed.
"""

import dataclasses
import socket
import sys
import threading

HOST = "h.example"
QUIET_S = 2.0  # a server that takes nothing for so long takes no more
BLOCK_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 4_096
MIB = 1_048_576


@dataclasses.dataclass(frozen=True)
class Form:
    """What each connection of a crowd sends.

    `headers` is whether a request has an identifier and a deadline.
    """

    connections: int
    sent_bytes: int
    path: str
    headers: bool


FORMS = {
    "without-headers": Form(16, 24 * MIB, "/p/x", False),
    "without-route": Form(16, 24 * MIB, "/nowhere/x", True),
    "few-connections": Form(3, 128 * MIB, "/p/x", True),
}


def requests(form, connection):
    """Return about `BLOCK_BYTES` of complete requests."""
    block = b""
    number = 0
    while len(block) < BLOCK_BYTES:
        head = f"POST {form.path} HTTP/1.1\r\nHost: {HOST}\r\n"
        if form.headers:
            head += f"X-Request-Id: crowd-{connection}-{number}\r\n"
            head += "X-Deadline-Ms: 4000\r\n"
        block += f"{head}Content-Length: 0\r\n\r\n".encode()
        number += 1
    return block


def send(form, connection, address, totals):
    """Send on one connection; add the number of bytes to `totals`."""
    client = socket.socket()
    client.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    block = requests(form, connection)
    sent = 0
    try:
        client.connect(address)
        client.settimeout(QUIET_S)
        while sent < form.sent_bytes:
            sent += client.send(block[sent % len(block) :])
    except OSError:
        pass  # refused, closed or not read
    totals.append((sent, client))


def main(name, host, port):
    form = FORMS[name]
    totals = []
    threads = [
        threading.Thread(
            target=send, args=(form, number, (host, int(port)), totals)
        )
        for number in range(form.connections)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(sum(sent for sent, _ in totals), flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main(*sys.argv[1:])
