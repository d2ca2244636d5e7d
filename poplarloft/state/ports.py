"""Protocol types of what lies outside the process."""

from collections import abc
import typing

from returns import result

from poplarloft.state import document
from poplarloft.state import verdict

__all__ = ["KeyValueStore", "Metrics"]


class KeyValueStore(typing.Protocol):
    """The platform's key-value service."""

    async def get(
        self, key: str
    ) -> result.Result[document.Versioned, verdict.Refusal]:
        """Return the value and version of `key`."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected_version: int
    ) -> document.WriteResult:
        """Write `value` if the key is still at `expected_version`."""

    async def lease(
        self, name: str, holder: str, ttl_ms: int
    ) -> result.Result[document.Lease, verdict.Refusal]:
        """Take or renew the lease `name` for `ttl_ms` milliseconds."""

    def watch(
        self, key: str, after_version: int
    ) -> abc.AsyncIterator[document.Versioned]:
        """Yield each value of `key` that is newer than `after_version`."""


class Metrics(typing.Protocol):
    """Counters and timers."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Record one duration in milliseconds under `name`."""
