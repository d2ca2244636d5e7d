"""The upstreams that may get requests, from their announcements."""

import dataclasses

from poplarloft import state

__all__ = ["EXPIRY_GRACE_MS", "SamplerRegistry"]

EXPIRY_GRACE_MS = 2_500  # announcements are back 2 s after an outage
LEAVING_KEPT_MS = 3_600_000  # no upstream takes longer to leave


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

    A run that has said itself that it leaves gets no requests, whatever is
    announced, for as long as it may be heard of. If no other upstream of its
    service is left, it may be used for `last_use_ms` more.

    A run whose name and address another run has taken gets no requests: what
    its announcement says, such as the version of its software, doesn't hold
    for the other one, which is used once it is announced itself.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    last_use_ms : int
        Time for which the last upstreams of a service are used once they
        have said that they leave.
    """

    def __init__(self, clock: state.Clock, last_use_ms: int = 0) -> None:
        self.clock = clock
        self.last_use_ms = last_use_ms
        self.leaving_since_ms: dict[tuple[str, int], int] = {}
        self.replaced: set[tuple[str, int]] = set()
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

    def on_leaving(self, engine_id: tuple[str, int]) -> bool:
        """Record that a run has said that it leaves; return if it is news."""
        if engine_id in self.leaving_since_ms:
            return False
        now_ms = self.clock.now_ms()
        oldest_ms = now_ms - LEAVING_KEPT_MS
        self.leaving_since_ms = {
            run: since_ms
            for run, since_ms in self.leaving_since_ms.items()
            if since_ms >= oldest_ms
        }
        self.leaving_since_ms[engine_id] = now_ms
        return True

    def on_replaced(self, engine_id: tuple[str, int]) -> None:
        """Record that another run answers in the place of a run."""
        self.replaced &= self.engine_ids()
        self.replaced.add(engine_id)

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
        announced = [
            sampler
            for sampler in candidates
            if sampler.service == service
            and not sampler.is_leaving
            and sampler.engine_id not in self.replaced
        ]
        if not self.leaving_since_ms:
            return announced
        return self._staying(announced) or self._last(announced, now_ms)

    def _staying(self, announced: list[state.Sampler]) -> list[state.Sampler]:
        leaving = self.leaving_since_ms
        return [s for s in announced if s.engine_id not in leaving]

    def _last(
        self, announced: list[state.Sampler], now_ms: int
    ) -> list[state.Sampler]:
        """Return the upstreams that have said so only recently."""
        since_ms = self.leaving_since_ms
        return [
            sampler
            for sampler in announced
            if now_ms - since_ms[sampler.engine_id] < self.last_use_ms
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
