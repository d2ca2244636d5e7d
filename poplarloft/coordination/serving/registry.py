"""The upstreams that may get requests, from their announcements."""

import dataclasses

from poplarloft import state

__all__ = ["EXPIRY_GRACE_MS", "SamplerRegistry"]

EXPIRY_GRACE_MS = 2_500  # announcements are back 2 s after an outage


@dataclasses.dataclass(slots=True)
class _Expired:
    """An upstream whose announcement was removed around an outage."""

    sampler: state.Sampler
    until_ms: int


class SamplerRegistry:
    """The known upstreams, by name.

    An announcement that is removed while the store is available means
    that the upstream is gone. One that is removed around an outage of the
    store may only have expired, and its upstream stays eligible for
    `EXPIRY_GRACE_MS` after the store is available again.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.known: dict[str, state.Sampler] = {}
        self.expired: dict[str, _Expired] = {}
        self.available_since_ms: int | None = None

    def on_store_unavailable(self) -> None:
        """Record that the store is unavailable."""
        self.available_since_ms = None

    def on_store_available(self) -> None:
        """Record that the store is available, and renew the grace period."""
        if self.available_since_ms is None:
            self.available_since_ms = self.clock.now_ms()
            until_ms = self.available_since_ms + EXPIRY_GRACE_MS
            for expired in self.expired.values():
                expired.until_ms = until_ms

    def announce(self, sampler: state.Sampler) -> None:
        """Add an upstream, or replace its earlier announcement."""
        self.known[sampler.name] = sampler
        self.expired.pop(sampler.name, None)

    def remove(self, name: str) -> None:
        """Remove an upstream, at once or after the grace period."""
        sampler = self.known.pop(name, None)
        if sampler is None or sampler.is_leaving:
            return
        if self._may_have_expired():
            until_ms = self.clock.now_ms() + EXPIRY_GRACE_MS
            self.expired[name] = _Expired(sampler, until_ms)

    def keep_only(self, names: set[str]) -> list[str]:
        """Remove the upstreams that a complete listing lacks; return them."""
        missing = [name for name in self.known if name not in names]
        for name in missing:
            self.remove(name)
        return missing

    def of_service(self, service: str) -> list[state.Sampler]:
        """Return the upstreams of a service that may get requests."""
        now_ms = self.clock.now_ms()
        for name in [
            n for n, x in self.expired.items() if x.until_ms < now_ms
        ]:
            del self.expired[name]
        candidates = [*self.known.values()]
        candidates += [expired.sampler for expired in self.expired.values()]
        return [
            sampler
            for sampler in candidates
            if sampler.service == service and not sampler.is_leaving
        ]

    def engine_ids(self) -> set[tuple[str, int]]:
        """Return the runs of all upstreams that are known."""
        expired = [entry.sampler for entry in self.expired.values()]
        return {s.engine_id for s in (*self.known.values(), *expired)}

    def is_current(self, sampler: state.Sampler) -> bool:
        """Return whether this incarnation of an upstream is still known."""
        known = self.known.get(sampler.name)
        if known is None:
            expired = self.expired.get(sampler.name)
            known = expired.sampler if expired else None
        return known is not None and known.engine_id == sampler.engine_id

    def _may_have_expired(self) -> bool:
        since_ms = self.available_since_ms
        if since_ms is None:
            return True
        return self.clock.now_ms() - since_ms < EXPIRY_GRACE_MS
