"""One instance's estimates of the load and caches of upstreams."""

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
    """Estimates the load and cache contents of upstreams.

    Load reports are combined with the requests that this instance has
    dispatched since.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    stale_after_ms : int
        Age beyond which a report, or a dispatched prefix, is ignored.
    """

    def __init__(
        self, clock: state.Clock, stale_after_ms: int = 5_000
    ) -> None:
        self.clock = clock
        self.stale_after_ms = stale_after_ms
        self.reports: dict[str, state.LoadReport] = {}
        self.in_flight: dict[str, dict[int, _Dispatch]] = {}
        self.sent_blocks: dict[str, dict[int, int]] = {}
        self.next_ticket = 0

    def on_report(self, report: state.LoadReport) -> None:
        """Store a load report unless a newer one is known."""
        known = self.reports.get(report.upstream)
        if known and known.reported_at_ms > report.reported_at_ms:
            return
        self.reports[report.upstream] = report

    def on_cache_gap(self, upstream: str) -> None:
        """Discard the cache contents of an engine after missed events."""
        self.sent_blocks.pop(upstream, None)
        known = self.reports.get(upstream)
        if known is not None:
            self.reports[upstream] = dataclasses.replace(
                known, cached_prefixes=frozenset()
            )

    def on_dispatch(self, upstream: str, request: routing.RouteRequest) -> int:
        """Record a request in flight; return a ticket for `on_done`."""
        self.next_ticket += 1
        now_ms = self.clock.now_ms()
        in_flight = self.in_flight.setdefault(upstream, {})
        in_flight[self.next_ticket] = _Dispatch(
            now_ms, request.expected_tokens
        )
        blocks = self.sent_blocks.setdefault(upstream, {})
        for block in request.prefix:
            blocks[block] = now_ms
        return self.next_ticket

    def on_done(self, upstream: str, ticket: int) -> None:
        """Remove a request that is no longer in flight."""
        self.in_flight.get(upstream, {}).pop(ticket, None)

    def candidate(
        self, upstream: str, distance_cost_ms: float
    ) -> routing.Candidate:
        """Return the current estimates for `upstream`."""
        now_ms = self.clock.now_ms()
        in_flight = self.in_flight.get(upstream, {})
        report = self.reports.get(upstream)
        if report and now_ms - report.reported_at_ms > self.stale_after_ms:
            report = None
        if report is None:
            queued = sum(d.tokens for d in in_flight.values())
            return routing.Candidate(
                upstream,
                queued,
                distance_cost_ms,
                self._recent_blocks(upstream, now_ms),
            )
        sent_since = sum(
            d.tokens
            for d in in_flight.values()
            if d.sent_at_ms >= report.reported_at_ms
        )
        cached = report.cached_prefixes | self._recent_blocks(upstream, now_ms)
        return routing.Candidate(
            upstream,
            report.queued_tokens + sent_since,
            distance_cost_ms,
            cached,
        )

    def keep_only(self, upstreams: abc.Collection[str]) -> None:
        """Drop the data of all other upstreams."""
        for known in (self.reports, self.in_flight, self.sent_blocks):
            for name in [name for name in known if name not in upstreams]:
                del known[name]

    def _recent_blocks(self, upstream: str, now_ms: int) -> frozenset[int]:
        """Return recently dispatched blocks; older ones may be evicted."""
        blocks = self.sent_blocks.get(upstream, {})
        oldest_ms = now_ms - self.stale_after_ms
        for block in [b for b, at_ms in blocks.items() if at_ms < oldest_ms]:
            del blocks[block]
        return frozenset(blocks)
