"""What an instance knows of the software versions that began streams."""

from collections import abc
import dataclasses

from poplarloft import state

__all__ = [
    "MAX_SUSPENSION_MS",
    "STREAM_LIFETIME_MS",
    "StreamTable",
    "VersionHistory",
]

STREAM_LIFETIME_MS = 120_000  # clients have given up on older streams
MAX_STREAMS = 100_000
MAX_SUSPENSION_MS = 1_000  # less than an upstream takes to come and go


@dataclasses.dataclass(frozen=True, slots=True)
class _Begun:
    """A stream, and when it was heard of."""

    record: state.StreamRecord
    at_ms: int


class StreamTable:
    """The versions of the streams that have begun recently.

    Streams are forgotten after `STREAM_LIFETIME_MS`, or before it, the
    oldest first, while there are more than `max_streams`.

    Parameters
    ----------
    clock : state.Clock
        Clock that also advances while the machine is suspended.
    max_streams : int
        Number of streams that are kept.
    """

    def __init__(
        self, clock: state.Clock, max_streams: int = MAX_STREAMS
    ) -> None:
        self.clock = clock
        self.max_streams = max_streams
        self.begun: dict[str, _Begun] = {}

    def add(self, record: state.StreamRecord) -> None:
        """Remember where a stream has begun."""
        now_ms = self.clock.now_ms()
        self.begun.pop(record.key, None)
        self.begun[record.key] = _Begun(record, now_ms)
        self._drop_old(now_ms)

    def find(self, key: str) -> state.StreamRecord:
        """Return what is known of a stream."""
        found = self.begun.get(key)
        oldest_ms = self.clock.now_ms() - STREAM_LIFETIME_MS
        if found is None or found.at_ms < oldest_ms:
            return state.StreamRecord(key, "", "")
        return found.record

    def _drop_old(self, now_ms: int) -> None:
        """Drop streams from the oldest on, which come first."""
        while self.begun:
            key = next(iter(self.begun))
            is_old = self.begun[key].at_ms < now_ms - STREAM_LIFETIME_MS
            if not is_old and len(self.begun) <= self.max_streams:
                return
            del self.begun[key]


class VersionHistory:
    """The versions that upstreams have announced while a stream may live.

    It begins anew whenever upstreams may have come and gone unseen.

    Parameters
    ----------
    clock : state.Clock
        Clock that also advances while the machine is suspended.
    steady_clock : state.Clock
        Clock that doesn't.
    """

    def __init__(self, clock: state.Clock, steady_clock: state.Clock) -> None:
        self.clock = clock
        self.steady_clock = steady_clock
        self.suspended_ms = clock.now_ms() - steady_clock.now_ms()
        self.gaps = 0
        self.observed_since_ms: int | None = None
        self.announced: set[tuple[str, str]] = set()
        self.left_at_ms: dict[tuple[str, str], int] = {}

    def observe(
        self, samplers: abc.Iterable[state.Sampler], gaps: int = 0
    ) -> None:
        """Record the versions of all upstreams that are announced.

        Parameters
        ----------
        samplers : iterable of state.Sampler
            The upstreams.
        gaps : int
            Number of times that announcements may have been missed so far.
        """
        self._begin_anew_if_suspended()
        now_ms = self.clock.now_ms()
        if self.observed_since_ms is None or gaps != self.gaps:
            self.observed_since_ms = now_ms
        self.gaps = gaps
        announced = {(s.service, s.software_version) for s in samplers}
        for pair in self.announced - announced:
            self.left_at_ms[pair] = now_ms
        self.announced = announced

    def versions(self, service: str) -> set[str]:
        """Return the versions of a service that may have begun a stream."""
        oldest_ms = self.clock.now_ms() - STREAM_LIFETIME_MS
        self.left_at_ms = {
            pair: left_at_ms
            for pair, left_at_ms in self.left_at_ms.items()
            if left_at_ms >= oldest_ms
        }
        pairs = self.announced | set(self.left_at_ms)
        return {version for name, version in pairs if name == service}

    def only_origin(
        self, key: str, services: tuple[str, ...]
    ) -> state.StreamRecord:
        """Return the only service and version that may have begun a stream.

        There is none where there are several, or upstreams of an unknown
        version, or they have not been observed for long enough.
        """
        unknown = state.StreamRecord(key, "", "")
        self._begin_anew_if_suspended()
        since_ms = self.observed_since_ms
        now_ms = self.clock.now_ms()
        if since_ms is None or now_ms - since_ms < STREAM_LIFETIME_MS:
            return unknown
        if len(services) != 1 or len(self.versions(services[0])) != 1:
            return unknown
        (version,) = self.versions(services[0])
        return state.StreamRecord(key, services[0], version)

    def _begin_anew_if_suspended(self) -> None:
        now_ms = self.clock.now_ms()
        suspended_ms = now_ms - self.steady_clock.now_ms()
        if suspended_ms - self.suspended_ms > MAX_SUSPENSION_MS:
            self.observed_since_ms = now_ms
        self.suspended_ms = suspended_ms
