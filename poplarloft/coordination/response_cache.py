"""Cache of responses to claimed requests, bounded in bytes."""

import collections
import dataclasses

__all__ = ["CachedResponse", "ResponseCache"]


@dataclasses.dataclass(frozen=True, slots=True)
class CachedResponse:
    """A complete response, returned again if the same key is resent."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Number of bytes that count towards the cache size."""
        head = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + head


class ResponseCache:
    """Least-recently-used cache of responses.

    Parameters
    ----------
    max_bytes : int
        Maximum total size of the cached responses.
    max_response_bytes : int
        Maximum size of a single response; larger ones are not cached.
    """

    def __init__(
        self,
        max_bytes: int = 8_388_608,
        max_response_bytes: int = 262_144,
    ) -> None:
        self.max_bytes = max_bytes
        self.max_response_bytes = max_response_bytes
        self.responses: collections.OrderedDict[bytes, CachedResponse] = (
            collections.OrderedDict()
        )
        self.size_bytes = 0

    def put(self, digest: bytes, response: CachedResponse) -> None:
        """Store a response under the digest of its claim key."""
        if response.size_bytes > self.max_response_bytes:
            return
        if digest in self.responses:
            return
        self.responses[digest] = response
        self.size_bytes += response.size_bytes
        while self.size_bytes > self.max_bytes:
            _, evicted = self.responses.popitem(last=False)
            self.size_bytes -= evicted.size_bytes

    def get(self, digest: bytes) -> CachedResponse | None:
        """Return the response for a digest, if it is still cached."""
        response = self.responses.get(digest)
        if response is not None:
            self.responses.move_to_end(digest)
        return response
