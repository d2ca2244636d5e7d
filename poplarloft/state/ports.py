"""Interfaces, as `Protocol` types, of services outside the process."""

from collections import abc
import typing

from returns import result

from poplarloft.state import key_value
from poplarloft.state import verdict

__all__ = ["KeyValueStore", "Metrics"]


class KeyValueStore(typing.Protocol):
    """The platform's key-value service."""

    async def get(
        self, key: str
    ) -> result.Result[key_value.Versioned, verdict.Refusal]:
        """Return the value of `key` and its version."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected_version: int
    ) -> key_value.WriteResult:
        """Write `value` if `key` is still at `expected_version`."""

    async def lease(
        self, name: str, holder: str, ttl_ms: int
    ) -> result.Result[key_value.Lease, verdict.Refusal]:
        """Acquire or renew the lease `name` for `ttl_ms` milliseconds."""

    def watch(
        self, key: str, after_version: int
    ) -> abc.AsyncIterator[key_value.Versioned]:
        """Yield values of `key` that are newer than `after_version`."""


class Metrics(typing.Protocol):
    """Counters and timers."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Record one duration in milliseconds under `name`."""
