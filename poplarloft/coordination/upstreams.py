"""Which upstreams may get new work.

Signs of leaving come from the platform's lagging list, from the engine's
own word, from a refusal and from peers, out of order. Each sign names the
upstream's incarnation; within one incarnation a status only moves forward,
so a late "live" never undoes a "leaving".
"""

import dataclasses
import enum

from poplarloft import state

__all__ = ["LeavingNotice", "NoticeSource", "UpstreamRegistry"]


class NoticeSource(enum.StrEnum):
    """Who said that an upstream is leaving."""

    PLATFORM = "platform"
    UPSTREAM = "upstream"
    REFUSAL = "refusal"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Action: tell peers that an incarnation of an upstream is leaving."""

    upstream: str
    incarnation: int


class UpstreamRegistry:
    """The upstreams known to one instance.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    forget_after_ms : int
        How long an upstream that left the list is remembered, so that an
        old copy of the list can't bring it back.
    """

    def __init__(
        self, clock: state.Clock, forget_after_ms: int = 600_000
    ) -> None:
        self.clock = clock
        self.forget_after_ms = forget_after_ms
        self.known: dict[str, state.Upstream] = {}
        self.leaving: dict[str, int] = {}
        self.unlisted_at_ms: dict[str, int] = {}

    def on_list(
        self, upstreams: tuple[state.Upstream, ...]
    ) -> list[LeavingNotice]:
        """Take a copy of the platform's list, which may be an old one."""
        signs: list[LeavingNotice] = []
        for upstream in upstreams:
            signs += self._on_listed(upstream)
        self._note_unlisted({u.name for u in upstreams})
        return signs

    def on_leaving(
        self, name: str, incarnation: int, source: NoticeSource
    ) -> list[LeavingNotice]:
        """Take a sign that an incarnation is leaving.

        Returns
        -------
        list of LeavingNotice
            What to tell peers; empty for old news.
        """
        if incarnation <= self.leaving.get(name, -1):
            return []
        self.leaving[name] = incarnation
        return [LeavingNotice(name, incarnation)]

    def eligible(self, service: str) -> list[state.Upstream]:
        """Return the upstreams of `service` that may get new work."""
        return [
            upstream
            for upstream in self.known.values()
            if upstream.service == service and self.is_eligible(upstream)
        ]

    def is_eligible(self, upstream: state.Upstream) -> bool:
        """Tell whether this incarnation is live as far as is known."""
        return self.leaving.get(upstream.name, -1) < upstream.incarnation

    def of_kind(self, kind: state.UpstreamKind) -> list[state.Upstream]:
        """Return all known upstreams of one kind, leaving ones too."""
        return [u for u in self.known.values() if u.kind is kind]

    def _on_listed(self, upstream: state.Upstream) -> list[LeavingNotice]:
        known = self.known.get(upstream.name)
        if known is None or upstream.incarnation >= known.incarnation:
            self.known[upstream.name] = upstream
        if upstream.status is not state.UpstreamStatus.LEAVING:
            return []
        return self.on_leaving(
            upstream.name, upstream.incarnation, NoticeSource.PLATFORM
        )

    def _note_unlisted(self, listed: set[str]) -> None:
        now_ms = self.clock.now_ms()
        for name in list(self.known):
            if name in listed:
                self.unlisted_at_ms.pop(name, None)
                continue
            since_ms = self.unlisted_at_ms.setdefault(name, now_ms)
            if now_ms - since_ms >= self.forget_after_ms:
                self._forget(name)

    def _forget(self, name: str) -> None:
        del self.known[name]
        del self.unlisted_at_ms[name]
        self.leaving.pop(name, None)
