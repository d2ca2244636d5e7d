"""Local views of the store: configuration, upstreams, target versions."""

import asyncio
from collections import abc
import dataclasses

import eliot
from returns import result

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import feed_link
from poplarloft.daemon.serving.store import prefix_watcher
from poplarloft.daemon import tasks
from poplarloft.platform import documents
from poplarloft.platform import names
from poplarloft.platform import sealing
from poplarloft.platform import store as platform_store
from poplarloft.protocol import errors
from poplarloft import state

__all__ = ["OperatorView", "SamplerView"]

NO_WAIT_MS = 1
Listener = abc.Callable[[], None]


class OperatorView:
    """The operator's configuration, retirements and target versions.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    prefix : str
        Prefix of the operator's keys to follow.
    """

    def __init__(
        self, clock: state.Clock, prefix: str = names.CONFIGURATION_KEY
    ) -> None:
        self.clock = clock
        self.prefix = prefix
        self.configuration: state.ServingConfiguration | None = None
        self.targets: dict[str, state.WeightsTarget] = {}
        self.retiring: set[str] = set()
        self.listeners: list[Listener] = []
        self.history = serving.PrefixHistory(clock, prefix)

    @property
    def age_ms(self) -> int:
        """Time since the configuration is known to have been in force."""
        return self.clock.now_ms() - self.history.confirmed_at_ms

    def start(
        self,
        store: state.RevisionStore,
        task_set: tasks.TaskSet,
        feed: feed_link.FeedLink | None = None,
    ) -> None:
        """Start following the keys."""
        watcher = prefix_watcher.PrefixWatcher(
            self.clock, store, self.prefix, self, feed=feed, seal=_sealed
        )
        self.history = watcher.history
        task_set.supervise(watcher.run)

    async def read_newest(self, store: state.RevisionStore) -> bool:
        """Read the configuration in force; return whether it was read."""
        found = await store.get(names.CONFIGURATION_KEY)
        match found:
            case result.Success(state.Entry() as entry):
                change = state.Change(
                    entry.key, entry.revision, _sealed(entry)
                )
                self.on_change(change)
                return True
        return False

    def on_listing(self, entries: abc.Sequence[state.Entry]) -> None:
        """Replace the retirements and apply all existing entries."""
        self.retiring.clear()
        for entry in entries:
            self._apply_entry(entry)
        self._notify_listeners()

    def on_change(self, change: state.Change) -> None:
        """Apply one change."""
        if change.entry is not None:
            self._apply_entry(change.entry)
        elif change.key.startswith(names.RETIRE_PREFIX):
            self.retiring.discard(change.key.removeprefix(names.RETIRE_PREFIX))
        self._notify_listeners()

    def on_store_unavailable(self) -> None:
        """Keep the last known state while the store is unavailable."""

    def on_store_available(self) -> None:
        """Continue with the next listing or change."""

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()

    def _apply_entry(self, entry: state.Entry) -> None:
        try:
            if entry.key == names.CONFIGURATION_KEY:
                self._apply_configuration(entry)
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

    def _apply_configuration(self, entry: state.Entry) -> None:
        decoded = documents.decode_configuration(entry.value)
        current = self.configuration
        if current is not None and decoded.version <= current.version:
            return
        self.configuration = decoded
        eliot.log_message(
            "configuration",
            version=decoded.version,
            revision=entry.revision,
            routes=len(decoded.routes),
            accounts=len(decoded.accounts or ()),
        )


def _sealed(entry: state.Entry) -> state.Entry:
    """Return an entry without API keys."""
    if entry.key != names.CONFIGURATION_KEY:
        return entry
    value = sealing.seal_configuration(entry.value)
    return dataclasses.replace(entry, value=value)


class SamplerView:
    """The upstreams announced in the store.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    pause_ms : int
        Pause between two watches.
    last_use_ms : int
        Time for which the last upstreams of a service are used once they
        have said that they leave.
    """

    def __init__(
        self, clock: state.Clock, pause_ms: int, last_use_ms: int
    ) -> None:
        self.clock = clock
        self.registry = serving.SamplerRegistry(clock, last_use_ms)
        self.pause_ms = pause_ms
        self.listeners: list[Listener] = []
        self.is_listed = asyncio.Event()
        self.store: state.RevisionStore | None = None
        self.history = serving.PrefixHistory(clock, names.SAMPLER_PREFIX)

    def start(
        self,
        store: state.RevisionStore,
        task_set: tasks.TaskSet,
        feed: feed_link.FeedLink | None = None,
    ) -> None:
        """Start following the announcements."""
        self.store = store
        watcher = prefix_watcher.PrefixWatcher(
            self.clock, store, names.SAMPLER_PREFIX, self, self.pause_ms, feed
        )
        self.history = watcher.history
        task_set.supervise(watcher.run)

    async def read_newest(self) -> list[state.Sampler] | None:
        """Return the upstreams of now, and any that this view lacks.

        The store is asked for what has changed since the view, and for all
        announcements. Returns None if it can't tell.
        """
        if self.store is None:
            return None
        changed = await self.store.watch(
            names.SAMPLER_PREFIX, self.history.revision, NO_WAIT_MS
        )
        listed = await platform_store.list_all(
            self.store, names.SAMPLER_PREFIX
        )
        match changed, listed:
            case result.Success(state.Changes() as found), result.Success(
                [*entries]
            ):
                news = [c.entry for c in found.changes if c.entry is not None]
                return _decode_all([*news, *entries])
        return None

    def on_listing(self, entries: abc.Sequence[state.Entry]) -> None:
        """Apply all announcements; remove upstreams without one."""
        self.registry.on_store_available()
        announced = {
            entry.key.removeprefix(names.SAMPLER_PREFIX) for entry in entries
        }
        for entry in entries:
            self._apply_entry(entry)
        for name in self.registry.keep_only(announced):
            eliot.log_message("upstream-gone", upstream=name, by="listing")
        self.is_listed.set()
        self._notify_listeners()

    def on_change(self, change: state.Change) -> None:
        """Apply one change."""
        self.registry.on_store_available()
        if change.entry is not None:
            self._apply_entry(change.entry)
        else:
            name = change.key.removeprefix(names.SAMPLER_PREFIX)
            self.registry.remove(name)
            eliot.log_message(
                "upstream-gone",
                upstream=name,
                by="removal",
                revision=change.revision,
            )
        self._notify_listeners()

    def on_leaving(self, engine_id: serving.EngineId) -> bool:
        """Record that a run leaves; return whether it was not known."""
        is_news = self.registry.on_leaving(engine_id)
        if is_news:
            self._notify_listeners()
        return is_news

    def on_replaced(self, sampler: state.Sampler) -> None:
        """Record that another run answers in the place of an upstream."""
        self.registry.on_replaced(sampler.engine_id)
        eliot.log_message(
            "upstream-replaced",
            upstream=sampler.name,
            born_ms=sampler.born_ms,
        )
        self._notify_listeners()

    def on_store_unavailable(self) -> None:
        """Delay the effect of removals around the outage."""
        self.registry.on_store_unavailable()

    def on_store_available(self) -> None:
        """Allow expired announcements a grace period to reappear."""
        self.registry.on_store_available()

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()

    def _apply_entry(self, entry: state.Entry) -> None:
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
        previous = self.registry.known.get(name)
        self.registry.announce(sampler)
        if previous is None or previous.is_leaving != sampler.is_leaving:
            eliot.log_message(
                "upstream",
                upstream=name,
                service=sampler.service,
                leaving=sampler.is_leaving,
                born_ms=sampler.born_ms,
                revision=entry.revision,
            )


def _decode_all(entries: abc.Iterable[state.Entry]) -> list[state.Sampler]:
    """Return the upstreams of all announcements that can be read."""
    found = []
    for entry in entries:
        try:
            found.append(documents.decode_sampler(entry.key, entry.value))
        except errors.ProtocolError:
            continue  # the view has logged it
    return found
