"""Finds out which software version began a stream that a client takes up."""

import asyncio
from collections import abc
import dataclasses
import enum
import itertools

import eliot

from poplarloft.coordination import routing
from poplarloft.coordination import serving
from poplarloft.daemon.serving import peer_link
from poplarloft import state

__all__ = ["StreamLink"]

KEEPERS = 2  # instances that remember a stream
MAX_ASKED = 3  # one more, as they may have changed since
BATCH_DELAY_MS = 50
LOOKUP_TIMEOUT_MS = 400
MS_PER_S = 1_000
Members = abc.Callable[[], abc.Mapping[str, state.PeerRecord]]


class Source(enum.StrEnum):
    """How the version of a stream is known."""

    HERE = "known-here"
    PEER = "known-by-peer"
    ONLY = "only-version"
    NOBODY = "unknown"


@dataclasses.dataclass(slots=True)
class _Lookup:
    """A question to other instances, and their answers so far."""

    open_answers: int
    done: asyncio.Future[None]
    answers: list[state.StreamAnswer] = dataclasses.field(default_factory=list)


class StreamLink:
    """Remembers streams of this instance and of others.

    The instances that keep a stream are chosen among all by rendezvous
    hash, so that whoever looks for it knows whom to ask.

    Parameters
    ----------
    name : str
        Name of this instance.
    peers : peer_link.PeerLink
        Messages from and to other instances.
    members : callable
        Return the instances by name, empty until they are known.
    list_members : callable
        List the instances if they are not known yet.
    """

    def __init__(
        self,
        name: str,
        peers: peer_link.PeerLink,
        members: Members,
        list_members: abc.Callable[[], abc.Awaitable[None]],
    ) -> None:
        self.name = name
        self.peers = peers
        self.members = members
        self.list_members = list_members
        clock = state.BootClock()
        self.table = serving.StreamTable(clock)
        self.history = serving.VersionHistory(clock)
        self.batch: list[state.StreamRecord] = []
        self.tickets = itertools.count(1)
        self.lookups: dict[int, _Lookup] = {}
        peers.on(state.StreamNotice, self._on_notice)
        peers.on(state.StreamLookup, self._on_lookup)
        peers.on(state.StreamAnswer, self._on_answer)

    def follow(self, registry: serving.SamplerRegistry) -> None:
        """Record the versions that are announced."""
        self.history.observe(registry.known.values())

    def record(self, key: str, sampler: state.Sampler) -> None:
        """Remember that an upstream has begun a stream."""
        if not sampler.software_version:
            return
        record = state.StreamRecord(
            key, sampler.service, sampler.software_version
        )
        self.table.add(record)
        if not self.batch:
            asyncio.get_running_loop().call_later(
                BATCH_DELAY_MS / MS_PER_S, self._send_batch
            )
        self.batch.append(record)

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
        services = tuple(target.service for target in route.targets)
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
        found = self.table.find(key)
        if found.service in services:
            return found, Source.HERE
        answers = await self._ask(key, services)
        for answer in answers:
            if answer.record.service in services:
                return answer.record, Source.PEER
        judged = [answer.only for answer in answers]
        judged.append(self.history.only_origin(key, services))
        for only in judged:
            announced = self.history.versions(only.service)
            if only.software_version and announced == {only.software_version}:
                return only, Source.ONLY
        return state.StreamRecord(key, "", ""), Source.NOBODY

    async def _ask(
        self, key: str, services: tuple[str, ...]
    ) -> list[state.StreamAnswer]:
        """Return the answers of the instances that may know a stream."""
        await self.list_members()
        addresses = self._keepers(key, MAX_ASKED)
        if not addresses:
            return []
        ticket = next(self.tickets)
        done = asyncio.get_running_loop().create_future()
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
        return lookup.answers

    def _keepers(self, key: str, count: int) -> list[state.Address]:
        """Return the addresses of the other instances that keep a stream."""
        members = self.members()
        reachable = [
            name
            for name, row in members.items()
            if row.peers is not None and name != self.name
        ]
        offering = [name for name in reachable if members[name].issues_permits]
        ranked = routing.rendezvous_rank(key, offering or reachable)
        return [
            address
            for name in ranked[:count]
            if (address := members[name].peers) is not None
        ]

    def _send_batch(self) -> None:
        by_address: dict[state.Address, list[state.StreamRecord]] = {}
        for record in self.batch:
            for address in self._keepers(record.key, KEEPERS):
                by_address.setdefault(address, []).append(record)
        self.batch = []
        for address, records in by_address.items():
            self.peers.send_reliably(
                address, state.StreamNotice(tuple(records))
            )

    def _on_notice(self, notice: state.StreamNotice) -> None:
        for record in notice.records:
            self.table.add(record)

    def _on_lookup(self, lookup: state.StreamLookup) -> None:
        answer = state.StreamAnswer(
            lookup.ticket,
            self.table.find(lookup.key),
            self.history.only_origin(lookup.key, lookup.services),
        )
        self.peers.send_reliably(lookup.address, answer)

    def _on_answer(self, answer: state.StreamAnswer) -> None:
        lookup = self.lookups.get(answer.ticket)
        if lookup is None or lookup.done.done():
            return
        lookup.answers.append(answer)
        lookup.open_answers -= 1
        if answer.record.software_version or not lookup.open_answers:
            lookup.done.set_result(None)
