"""Stand-in for the weight store, with few concurrent readers."""

import asyncio
import random

from poplarloft.protocol import http
from standins import serving

__all__ = ["WeightStoreServer"]

MS_PER_S = 1_000


class WeightStoreServer(serving.StandIn):
    """Serves published versions to a limited number of concurrent readers.

    Parameters
    ----------
    rng : random.Random or None
        Draws which responses are lost.
    read_ms : int
        Duration of one read.
    max_readers : int
        Maximum number of concurrent reads; further ones wait.
    """

    def __init__(
        self,
        rng: random.Random | None = None,
        read_ms: int = 50,
        max_readers: int = 4,
    ) -> None:
        super().__init__(rng)
        self.read_ms = read_ms
        self.readers = asyncio.Semaphore(max_readers)
        self.published = {0}
        self.reads = 0

    def publish(self, weight_version: int) -> None:
        """Make a version available to readers."""
        self.published.add(weight_version)

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Serve ``GET`` and ``PUT`` of ``/v1/weights/{version}``."""
        weight_version = int(request.path.rpartition("/")[2])
        if request.method == "PUT":
            self.publish(weight_version)
            return serving.json_response({})
        if weight_version not in self.published:
            return http.HttpResponse(404)
        async with self.readers:
            self.reads += 1
            await asyncio.sleep(self.read_ms / MS_PER_S)
        return serving.json_response({"weight_version": weight_version})
