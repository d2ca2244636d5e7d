"""What one instance believes of its upstreams' load and caches."""

from collections import abc
import dataclasses

from poplarloft.coordination import routing
from poplarloft import state

__all__ = ["LoadView"]


@dataclasses.dataclass(slots=True)
class _Dispatch:
    sent_at_ms: int
    tokens: float


class LoadView:
    """What one instance believes of its upstreams' load and caches.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    stale_after_ms : int
        Age from which a report is ignored.
    """

    def __init__(
        self, clock: state.Clock, stale_after_ms: int = 5_000
    ) -> None:
        self.clock = clock
        self.stale_after_ms = stale_after_ms
        self.reports: dict[str, state.LoadReport] = {}
        self.own: dict[str, dict[int, _Dispatch]] = {}
        self.warmed: dict[str, dict[int, int]] = {}
        self.next_ticket = 0

    def on_report(self, report: state.LoadReport) -> None:
        """Take a load report unless a newer one is known."""
        known = self.reports.get(report.upstream)
        if known and known.reported_at_ms > report.reported_at_ms:
            return
        self.reports[report.upstream] = report

    def on_cache_gap(self, upstream: str) -> None:
        """Doubt all that is known of an engine's cache after a gap."""
        self.warmed.pop(upstream, None)
        known = self.reports.get(upstream)
        if known is not None:
            self.reports[upstream] = dataclasses.replace(
                known, cached_prefixes=frozenset()
            )

    def on_dispatch(self, upstream: str, request: routing.RouteRequest) -> int:
        """Note an own dispatch; return a ticket for `on_done`."""
        self.next_ticket += 1
        now_ms = self.clock.now_ms()
        sent = self.own.setdefault(upstream, {})
        sent[self.next_ticket] = _Dispatch(now_ms, request.expected_tokens)
        warmed = self.warmed.setdefault(upstream, {})
        for block in request.prefix:
            warmed[block] = now_ms
        return self.next_ticket

    def on_done(self, upstream: str, ticket: int) -> None:
        """Note that an own dispatch has ended."""
        self.own.get(upstream, {}).pop(ticket, None)

    def candidate(
        self, upstream: str, distance_cost_ms: float
    ) -> routing.Candidate:
        """Return what is believed of `upstream` now."""
        now_ms = self.clock.now_ms()
        own = self.own.get(upstream, {})
        report = self.reports.get(upstream)
        if report and now_ms - report.reported_at_ms > self.stale_after_ms:
            report = None
        if report is None:
            queued = sum(d.tokens for d in own.values())
            return routing.Candidate(
                upstream,
                queued,
                distance_cost_ms,
                self._warm(upstream, now_ms),
            )
        since = sum(
            d.tokens
            for d in own.values()
            if d.sent_at_ms >= report.reported_at_ms
        )
        cached = report.cached_prefixes | self._warm(upstream, now_ms)
        return routing.Candidate(
            upstream, report.queued_tokens + since, distance_cost_ms, cached
        )

    def keep_only(self, upstreams: abc.Collection[str]) -> None:
        """Drop all that is known of upstreams that are gone."""
        for known in (self.reports, self.own, self.warmed):
            for name in [name for name in known if name not in upstreams]:
                del known[name]

    def _warm(self, upstream: str, now_ms: int) -> frozenset[int]:
        """Return blocks sent lately; older ones may be evicted."""
        warmed = self.warmed.get(upstream, {})
        oldest_ms = now_ms - self.stale_after_ms
        for block in [b for b, at_ms in warmed.items() if at_ms < oldest_ms]:
            del warmed[block]
        return frozenset(warmed)
