"""Finds out which software version began a stream that a client takes up."""

import asyncio
from collections import abc
import dataclasses
import enum
import itertools

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving.store import shared_read
from poplarloft.daemon.serving.store import view
from poplarloft.daemon.serving.streams import stream_link
from poplarloft.daemon import tasks
from poplarloft import state

__all__ = ["OriginFinder", "Source"]

LOOKUP_TIMEOUT_MS = 400
STORE_TIMEOUT_MS = 600
MIN_READ_INTERVAL_MS = 250
MS_PER_S = 1_000


class Source(enum.StrEnum):
    """How the version of a stream is known."""

    HERE = "known-here"
    PEER = "known-by-peer"
    STORE = "read-from-store"
    ONLY = "only-version"
    ELSEWHERE = "begun-at-other-service"
    NOBODY = "unknown"


@dataclasses.dataclass(slots=True)
class _Lookup:
    """A question to other instances, and their answers so far."""

    open_answers: int
    done: asyncio.Future[None]
    answers: list[state.StreamAnswer] = dataclasses.field(default_factory=list)


class OriginFinder:
    """Looks for the origins of streams, here, at others and in the store.

    Parameters
    ----------
    link : stream_link.StreamLink
        The streams that this instance knows, and who may know others.
    list_members : callable
        List the instances if they are not known yet.
    """

    def __init__(
        self,
        link: stream_link.StreamLink,
        list_members: abc.Callable[[], abc.Awaitable[None]],
    ) -> None:
        self.link = link
        self.peers = link.peers
        self.list_members = list_members
        self.history = serving.VersionHistory(
            state.BootClock(), state.MonotonicClock()
        )
        self.read_newest: shared_read.SharedRead[
            list[state.Sampler] | None
        ] = shared_read.SharedRead(_read_nothing, MIN_READ_INTERVAL_MS)
        self.tickets = itertools.count(1)
        self.lookups: dict[int, _Lookup] = {}
        self.task_set = tasks.TaskSet()
        self.peers.on(state.StreamLookup, self._on_lookup)
        self.peers.on(state.StreamAnswer, self._on_answer)

    def start(self, task_set: tasks.TaskSet) -> None:
        """Answer the questions of other instances in tasks of a set."""
        self.task_set = task_set

    def follow(self, sampler_view: view.SamplerView) -> None:
        """Record the versions that are announced in a view from now on."""
        self.read_newest = shared_read.SharedRead(
            sampler_view.read_newest, MIN_READ_INTERVAL_MS
        )
        sampler_view.listeners.append(
            lambda: self.history.observe(
                sampler_view.registry.known.values(),
                sampler_view.history.gaps,
            )
        )

    async def origin_of(
        self, key: str, route: state.PathRoute, request_id: str
    ) -> state.StreamRecord:
        """Return where a stream has begun, and log how that is known.

        Parameters
        ----------
        key : str
            The stream, empty if its client does not name it.
        route : state.PathRoute
            The route of the request, whose services may have begun it.
        request_id : str
            Identifier of the attempt to take it up.
        """
        services = serving.allowed_services(route.targets)
        origin, source = await self._find_origin(key, services)
        eliot.log_message(
            "stream-taken-up",
            request=request_id,
            stream=key,
            service=origin.service,
            software_version=origin.software_version,
            source=source.value,
        )
        return origin

    async def _find_origin(
        self, key: str, services: tuple[str, ...]
    ) -> tuple[state.StreamRecord, Source]:
        found = self.link.table.find(key)
        if found.service:
            return _allowed(found, services, Source.HERE)
        lookup = await self._ask(key, services)
        for answer in lookup.answers:
            if answer.record.service:
                return _allowed(answer.record, services, Source.PEER)
        # An instance that has not answered may be the one that knows.
        found, own_only = await self._consult_store(
            key, services, reads_log=lookup.open_answers > 0
        )
        if found.service:
            return _allowed(found, services, Source.STORE)
        for only in (*(answer.only for answer in lookup.answers), own_only):
            announced = self.history.versions(only.service)
            if only.software_version and announced == {only.software_version}:
                return only, Source.ONLY
        return state.StreamRecord(key, "", ""), Source.NOBODY

    async def _consult_store(
        self, key: str, services: tuple[str, ...], reads_log: bool
    ) -> tuple[state.StreamRecord, state.StreamRecord]:
        """Return what the store has of a stream, and its only origin.

        Both are unknown if the store doesn't answer in time. The stream
        itself is looked for with `reads_log` only.
        """
        unknown = state.StreamRecord(key, "", "")
        try:
            async with asyncio.timeout(STORE_TIMEOUT_MS / MS_PER_S):
                return await asyncio.gather(
                    self._read_record(key, reads_log),
                    self._only_origin(key, services),
                )
        except TimeoutError:
            return unknown, unknown

    async def _only_origin(
        self, key: str, services: tuple[str, ...]
    ) -> state.StreamRecord:
        """Return the only origin that a stream can have, as of now.

        What this instance has observed may be old: a version that it has not
        heard of may have begun the stream. So the store is asked.
        """
        unknown = state.StreamRecord(key, "", "")
        if not self.history.only_origin(key, services).software_version:
            return unknown
        newest = await self.read_newest()
        only = self.history.only_origin(key, services)
        if newest is None or any(
            sampler.service == only.service
            and sampler.software_version != only.software_version
            for sampler in newest
        ):
            return unknown
        return only

    async def _read_record(
        self, key: str, reads_log: bool
    ) -> state.StreamRecord:
        """Return what is known of a stream, after a read of the store."""
        if key and reads_log:
            await self.link.log.refresh()
        return self.link.table.find(key)

    async def _ask(self, key: str, services: tuple[str, ...]) -> _Lookup:
        """Ask the instances that may know a stream; return their answers."""
        await self.list_members()
        addresses = self.link.keepers(key)
        done = asyncio.get_running_loop().create_future()
        if not addresses:
            return _Lookup(1, done)  # nobody answers
        ticket = next(self.tickets)
        lookup = _Lookup(len(addresses), done)
        self.lookups[ticket] = lookup
        question = state.StreamLookup(
            ticket, self.peers.address, key, services
        )
        for address in addresses:
            self.peers.send_reliably(address, question)
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_MS / MS_PER_S):
                await done
        except TimeoutError:
            pass
        finally:
            del self.lookups[ticket]
        return lookup

    def _on_lookup(self, lookup: state.StreamLookup) -> None:
        self.task_set.spawn(self._answer(lookup))

    async def _answer(self, lookup: state.StreamLookup) -> None:
        """Answer a question, from the store if this instance can't."""
        found = self.link.table.find(lookup.key)
        only = state.StreamRecord(lookup.key, "", "")
        if not found.service:
            found, only = await self._consult_store(
                lookup.key, lookup.services, reads_log=True
            )
        answer = state.StreamAnswer(lookup.ticket, found, only)
        self.peers.send_reliably(lookup.address, answer)

    def _on_answer(self, answer: state.StreamAnswer) -> None:
        lookup = self.lookups.get(answer.ticket)
        if lookup is None or lookup.done.done():
            return
        lookup.answers.append(answer)
        lookup.open_answers -= 1
        if answer.record.software_version or not lookup.open_answers:
            lookup.done.set_result(None)


def _allowed(
    record: state.StreamRecord, services: tuple[str, ...], source: Source
) -> tuple[state.StreamRecord, Source]:
    """Return a stream's origin, unless its route no longer names that."""
    if record.service in services:
        return record, source
    return state.StreamRecord(record.key, "", ""), Source.ELSEWHERE


async def _read_nothing() -> None:
    """Return that it is not known which upstreams there are."""
