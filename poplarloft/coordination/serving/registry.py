"""Which upstreams may get requests, from their announcements."""

import dataclasses

from poplarloft import state

__all__ = ["EXPIRY_GRACE_MS", "SamplerRegistry"]

EXPIRY_GRACE_MS = 2_500  # announcements are back 2 s after an outage


@dataclasses.dataclass(slots=True)
class _Lapsed:
    """An upstream whose announcement vanished around an outage."""

    sampler: state.Sampler
    until_ms: int


class SamplerRegistry:
    """The upstreams that are known, by name.

    An announcement that is removed while the store is sound means that
    the upstream is gone. One that vanishes around an outage of the store
    may only have lapsed, and counts as there for `EXPIRY_GRACE_MS` after
    the store answers again.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.known: dict[str, state.Sampler] = {}
        self.lapsed: dict[str, _Lapsed] = {}
        self.sound_since_ms: int | None = None

    def on_store_unavailable(self) -> None:
        """Note that the store doesn't answer."""
        self.sound_since_ms = None

    def on_store_available(self) -> None:
        """Note that the store answers again."""
        if self.sound_since_ms is None:
            self.sound_since_ms = self.clock.now_ms()
            until_ms = self.sound_since_ms + EXPIRY_GRACE_MS
            for lapsed in self.lapsed.values():
                lapsed.until_ms = until_ms

    def announce(self, sampler: state.Sampler) -> None:
        """Take an announcement, which replaces an earlier one."""
        self.known[sampler.name] = sampler
        self.lapsed.pop(sampler.name, None)

    def remove(self, name: str) -> None:
        """Take the removal of an announcement."""
        sampler = self.known.pop(name, None)
        if sampler is None or sampler.is_leaving:
            return
        if self._may_have_lapsed():
            until_ms = self.clock.now_ms() + EXPIRY_GRACE_MS
            self.lapsed[name] = _Lapsed(sampler, until_ms)

    def keep_only(self, names: set[str]) -> list[str]:
        """Remove all that a whole listing doesn't name; return them."""
        missing = [name for name in self.known if name not in names]
        for name in missing:
            self.remove(name)
        return missing

    def of_service(self, service: str) -> list[state.Sampler]:
        """Return the upstreams of a service that may get requests."""
        now_ms = self.clock.now_ms()
        for name in [n for n, x in self.lapsed.items() if x.until_ms < now_ms]:
            del self.lapsed[name]
        there = [*self.known.values()]
        there += [lapsed.sampler for lapsed in self.lapsed.values()]
        return [
            sampler
            for sampler in there
            if sampler.service == service and not sampler.is_leaving
        ]

    def is_current(self, sampler: state.Sampler) -> bool:
        """Tell whether this start of an upstream is still announced."""
        known = self.known.get(sampler.name)
        if known is None:
            lapsed = self.lapsed.get(sampler.name)
            known = lapsed.sampler if lapsed else None
        return known is not None and known.engine_id == sampler.engine_id

    def _may_have_lapsed(self) -> bool:
        since_ms = self.sound_since_ms
        if since_ms is None:
            return True
        return self.clock.now_ms() - since_ms < EXPIRY_GRACE_MS
