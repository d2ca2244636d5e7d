"""What a daemon knows from the store: configuration, upstreams, weights."""

import asyncio
from collections import abc

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving import feed_link
from poplarloft.daemon.serving import prefix_watcher
from poplarloft.daemon import tasks
from poplarloft.platform import documents
from poplarloft.platform import names
from poplarloft.protocol import errors
from poplarloft import state

__all__ = ["OperatorView", "SamplerView"]

Told = abc.Callable[[], None]


class OperatorView:
    """The operator's configuration, retirements, named versions.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    prefix : str
        The part of the operator's keys that matters here.
    """

    def __init__(
        self, clock: state.Clock, prefix: str = names.CONFIGURATION_KEY
    ) -> None:
        self.clock = clock
        self.prefix = prefix
        self.configuration: state.ServingConfiguration | None = None
        self.targets: dict[str, state.WeightsTarget] = {}
        self.retiring: set[str] = set()
        self.listeners: list[Told] = []

    def start(
        self,
        store: state.RevisionStore,
        to: tasks.TaskSet,
        link: feed_link.FeedLink | None = None,
    ) -> None:
        """Follow the keys from now on."""
        followed = prefix_watcher.PrefixWatcher(
            self.clock, store, self.prefix, self, link=link
        )
        to.spawn(followed.run())

    def on_listing(self, entries: abc.Sequence[state.Entry]) -> None:
        """Take all entries that exist."""
        self.retiring.clear()
        for entry in entries:
            self._take(entry)
        self._tell()

    def on_change(self, change: state.Change) -> None:
        """Take one change."""
        if change.entry is not None:
            self._take(change.entry)
        elif change.key.startswith(names.RETIRE_PREFIX):
            self.retiring.discard(change.key.removeprefix(names.RETIRE_PREFIX))
        self._tell()

    def on_store_unavailable(self) -> None:
        """Keep what is known while the store is away."""

    def on_store_available(self) -> None:
        """Go on with what the store shows next."""

    def _tell(self) -> None:
        for listener in self.listeners:
            listener()

    def _take(self, entry: state.Entry) -> None:
        try:
            if entry.key == names.CONFIGURATION_KEY:
                self._take_configuration(entry)
            elif entry.key.startswith(names.VERSION_PREFIX):
                target = documents.decode_weights_target(entry.value)
                self.targets[target.model] = target
                eliot.log_message(
                    "version-named",
                    model=target.model,
                    version=target.version,
                    revision=entry.revision,
                )
            elif entry.key.startswith(names.RETIRE_PREFIX):
                self.retiring.add(entry.key.removeprefix(names.RETIRE_PREFIX))
        except errors.ProtocolError as error:
            eliot.log_message(
                "entry-unreadable",
                key=entry.key,
                revision=entry.revision,
                error=str(error)[:200],
            )

    def _take_configuration(self, entry: state.Entry) -> None:
        decoded = documents.decode_configuration(entry.value)
        known = self.configuration
        if known is not None and decoded.version <= known.version:
            return
        self.configuration = decoded
        eliot.log_message(
            "configuration",
            version=decoded.version,
            revision=entry.revision,
            routes=len(decoded.routes),
        )


class SamplerView:
    """The announced upstreams.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    pause_ms : int
        Time between two looks at changes.
    """

    def __init__(self, clock: state.Clock, pause_ms: int) -> None:
        self.clock = clock
        self.registry = serving.SamplerRegistry(clock)
        self.pause_ms = pause_ms
        self.listeners: list[Told] = []
        self.is_listed = asyncio.Event()

    def start(
        self,
        store: state.RevisionStore,
        to: tasks.TaskSet,
        link: feed_link.FeedLink | None = None,
    ) -> None:
        """Follow the announcements from now on."""
        followed = prefix_watcher.PrefixWatcher(
            self.clock, store, names.SAMPLER_PREFIX, self, self.pause_ms, link
        )
        to.spawn(followed.run())

    def on_listing(self, entries: abc.Sequence[state.Entry]) -> None:
        """Take all announcements that exist."""
        self.registry.on_store_available()
        there = {
            entry.key.removeprefix(names.SAMPLER_PREFIX) for entry in entries
        }
        for entry in entries:
            self._take(entry)
        for name in self.registry.keep_only(there):
            eliot.log_message("upstream-gone", upstream=name, by="listing")
        self.is_listed.set()
        self._tell()

    def on_change(self, change: state.Change) -> None:
        """Take one change."""
        self.registry.on_store_available()
        if change.entry is not None:
            self._take(change.entry)
        else:
            name = change.key.removeprefix(names.SAMPLER_PREFIX)
            self.registry.remove(name)
            eliot.log_message(
                "upstream-gone",
                upstream=name,
                by="removal",
                revision=change.revision,
            )
        self._tell()

    def on_store_unavailable(self) -> None:
        """Doubt removals that come around an outage."""
        self.registry.on_store_unavailable()

    def on_store_available(self) -> None:
        """Give lapsed announcements some time to come back."""
        self.registry.on_store_available()

    def _tell(self) -> None:
        for listener in self.listeners:
            listener()

    def _take(self, entry: state.Entry) -> None:
        name = entry.key.removeprefix(names.SAMPLER_PREFIX)
        try:
            sampler = documents.decode_sampler(entry.key, entry.value)
        except errors.ProtocolError as error:
            self.registry.remove(name)
            eliot.log_message(
                "upstream-unreadable",
                upstream=name,
                revision=entry.revision,
                error=str(error)[:200],
            )
            return
        before = self.registry.known.get(name)
        self.registry.announce(sampler)
        if before is None or before.is_leaving != sampler.is_leaving:
            eliot.log_message(
                "upstream",
                upstream=name,
                service=sampler.service,
                leaving=sampler.is_leaving,
                born_ms=sampler.born_ms,
                revision=entry.revision,
            )
