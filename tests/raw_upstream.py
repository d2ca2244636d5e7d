"""An upstream that answers every request with the same bytes."""

import asyncio
import contextlib

from poplarloft import state


class RawUpstream:
    """Answers each request on a connection of its own, then closes it."""

    def __init__(self, answer):
        self.answer = answer
        self.requests = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return state.Address(host, port)

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self.answer)
            await writer.drain()
        writer.close()

    def stop(self):
        self.server.close()
