"""Recorded answers of claimed requests, bounded in bytes."""

import collections
import dataclasses

__all__ = ["CachedResponse", "ResponseCache"]


@dataclasses.dataclass(frozen=True, slots=True)
class CachedResponse:
    """A whole answer that a resend of the same key may be given."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Return the memory that the answer counts for."""
        head = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + head


class ResponseCache:
    """Keeps the answers used last.

    Parameters
    ----------
    max_bytes : int
        Bytes of all answers together.
    max_answer_bytes : int
        A larger answer is not kept.
    """

    def __init__(
        self,
        max_bytes: int = 8_388_608,
        max_answer_bytes: int = 262_144,
    ) -> None:
        self.max_bytes = max_bytes
        self.max_answer_bytes = max_answer_bytes
        self.answers: collections.OrderedDict[bytes, CachedResponse] = (
            collections.OrderedDict()
        )
        self.size_bytes = 0

    def put(self, digest: bytes, answer: CachedResponse) -> None:
        """Keep an answer under the digest of its claim key."""
        if answer.size_bytes > self.max_answer_bytes:
            return
        if digest in self.answers:
            return
        self.answers[digest] = answer
        self.size_bytes += answer.size_bytes
        while self.size_bytes > self.max_bytes:
            _, dropped = self.answers.popitem(last=False)
            self.size_bytes -= dropped.size_bytes

    def get(self, digest: bytes) -> CachedResponse | None:
        """Return the answer under a digest, if it is still held."""
        answer = self.answers.get(digest)
        if answer is not None:
            self.answers.move_to_end(digest)
        return answer
