"""Upstreams that are eligible for new requests.

Leaving notices come from the platform's list, which lags behind, from the
upstream itself, from a refused request and from peers, in any order. Each
notice names the upstream's incarnation. Within one incarnation the status
only moves forward, so a late "live" never reverts a "leaving".
"""

import dataclasses
import enum

from poplarloft import state

__all__ = ["LeavingNotice", "NoticeSource", "UpstreamRegistry"]


class NoticeSource(enum.StrEnum):
    """Origin of a leaving notice."""

    PLATFORM = "platform"
    UPSTREAM = "upstream"
    REFUSAL = "refusal"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Action: notify peers that an upstream's incarnation is leaving."""

    upstream: str
    incarnation: int


class UpstreamRegistry:
    """Upstreams known to one instance.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    retention_ms : int
        Time for which an upstream that is no longer listed is remembered,
        so that an outdated copy of the list can't restore it.
    """

    def __init__(
        self, clock: state.Clock, retention_ms: int = 600_000
    ) -> None:
        self.clock = clock
        self.retention_ms = retention_ms
        self.known: dict[str, state.Upstream] = {}
        self.leaving: dict[str, int] = {}
        self.unlisted_at_ms: dict[str, int] = {}

    def on_list(
        self, upstreams: tuple[state.Upstream, ...]
    ) -> list[LeavingNotice]:
        """Apply a copy of the platform's list, which may be outdated."""
        notices: list[LeavingNotice] = []
        for upstream in upstreams:
            notices += self._on_listed(upstream)
        self._expire_unlisted({u.name for u in upstreams})
        return notices

    def on_leaving(
        self, name: str, incarnation: int, source: NoticeSource
    ) -> list[LeavingNotice]:
        """Record that an incarnation is leaving.

        Returns
        -------
        list of LeavingNotice
            Notices for peers; empty if the fact was known already.
        """
        if incarnation <= self.leaving.get(name, -1):
            return []
        self.leaving[name] = incarnation
        return [LeavingNotice(name, incarnation)]

    def eligible(self, service: str) -> list[state.Upstream]:
        """Return the upstreams of `service` eligible for new requests."""
        return [
            upstream
            for upstream in self.known.values()
            if upstream.service == service and self.is_eligible(upstream)
        ]

    def is_eligible(self, upstream: state.Upstream) -> bool:
        """Return whether no leaving notice covers this incarnation."""
        return self.leaving.get(upstream.name, -1) < upstream.incarnation

    def of_kind(self, kind: state.UpstreamKind) -> list[state.Upstream]:
        """Return all known upstreams of a kind, including leaving ones."""
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

    def _expire_unlisted(self, listed: set[str]) -> None:
        now_ms = self.clock.now_ms()
        for name in list(self.known):
            if name in listed:
                self.unlisted_at_ms.pop(name, None)
                continue
            since_ms = self.unlisted_at_ms.setdefault(name, now_ms)
            if now_ms - since_ms >= self.retention_ms:
                self._drop(name)

    def _drop(self, name: str) -> None:
        del self.known[name]
        del self.unlisted_at_ms[name]
        self.leaving.pop(name, None)
