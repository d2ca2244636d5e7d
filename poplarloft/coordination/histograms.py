"""Histograms of durations per owner, class and stage."""

from collections import abc
import dataclasses

from hdrh import histogram

__all__ = ["HistogramKey", "HistogramSet", "HistogramSummary"]

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class HistogramKey:
    """Owner, request class and stage that a histogram covers.

    `stage` is one of wait, first-byte and total.
    """

    owner: str
    request_class: str
    stage: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistogramSummary:
    """Count, mean, maximum and percentiles of durations in milliseconds."""

    key: HistogramKey
    count: int
    mean_ms: float
    max_ms: int
    percentiles_ms: tuple[tuple[float, int], ...]


class HistogramSet:
    """Histograms by key, each created when first used."""

    def __init__(self) -> None:
        self.histograms: dict[HistogramKey, histogram.HdrHistogram] = {}

    def record(self, key: HistogramKey, duration_ms: int) -> None:
        """Record a duration, clamped to the range of the histogram."""
        found = self.histograms.get(key)
        if found is None:
            found = histogram.HdrHistogram(
                LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS
            )
            self.histograms[key] = found
        found.record_value(min(max(duration_ms, LOWEST_MS), HIGHEST_MS))

    def summaries(self) -> abc.Iterator[HistogramSummary]:
        """Yield a summary per key, sorted by key."""
        for key in sorted(self.histograms):
            found = self.histograms[key]
            yield HistogramSummary(
                key,
                found.get_total_count(),
                found.get_mean_value(),
                found.get_max_value(),
                tuple(
                    (p, found.get_value_at_percentile(p)) for p in PERCENTILES
                ),
            )
