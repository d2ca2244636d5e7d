"""An entry that is out of step during a release joins no streams."""

import asyncio

import pytest

from poplarloft.coordination import serving
from poplarloft.coordination.serving.streams import stream_versions
from tests import serving_streams

LIFETIME_MS = 2_000
STREAMS = serving_streams.STREAMS


@pytest.fixture
def lifetime_ms():
    """Return for how long streams are remembered."""
    return LIFETIME_MS


@pytest.fixture
async def fleet(monkeypatch, lifetime_ms):
    monkeypatch.setattr(stream_versions, "STREAM_LIFETIME_MS", lifetime_ms)
    made = await serving_streams.start_fleet(monkeypatch, entries=3, bulks=2)
    for service in made.services[2:]:
        await made.store.remove(f"servers/{service.name}")
    await serving_streams.set_versions(made, made.services[:2], "a")
    await asyncio.sleep(1.2 * lifetime_ms / 1_000)
    yield made
    await made.stop()


class Cut:
    """A cut of some daemons from the store, or from all other daemons."""

    def __init__(self, fleet, *daemons, store=False, peers=False):
        self.fleet = fleet
        self.daemons = daemons
        self.inside = {daemon.peers.address for daemon in daemons}
        self.is_healed = False
        if peers:
            for daemon in (*fleet.entries, *fleet.bulks):
                self._cut_peers(daemon)
        if store:
            for daemon in daemons:
                daemon.store.direct.address = fleet.store.refusing_address
                daemon.store.direct.client.close_idle(fleet.store_address)
                if peers:
                    daemon.store.update_peers({})

    def _cut_peers(self, daemon):
        send = daemon.peers.sockets.send
        is_inside = daemon in self.daemons

        def filtered(address, data, is_bulk=False):
            if self.is_healed or is_inside == (address in self.inside):
                return send(address, data, is_bulk=is_bulk)
            return True  # lost on the way

        daemon.peers.sockets.send = filtered

    def heal(self):
        self.is_healed = True
        for daemon in self.daemons:
            daemon.store.direct.address = self.fleet.store_address


async def release(fleet):
    """Let upstreams of another version join, and begin streams there too.

    A call to the store that was waiting when it was cut off ends before.
    """
    await asyncio.sleep(2)
    for service in fleet.services[2:]:
        service.software_version = "b"
        await fleet.announce(service)
    await asyncio.sleep(0.5)
    streams = [
        serving_streams.Stream(fleet, f"s{number}")
        for number in range(STREAMS)
    ]
    await asyncio.gather(
        *(s.attempt(1, fleet.entries[n % 2], 8) for n, s in enumerate(streams))
    )
    versions = {
        v for s in streams for v in serving_streams.versions_in(s.lines)
    }
    assert versions == {"a", "b"}
    return streams


async def take_up(streams, entry):
    """Take streams up at an entry; return how many go on."""
    statuses = await asyncio.gather(*(s.attempt(2, entry) for s in streams))
    assert serving_streams.joined([s.lines for s in streams]) == []
    return statuses.count(200)


@pytest.mark.parametrize("cut_from", ["store", "peers"])
async def test_an_entry_that_reaches_some_joins_none_and_goes_on(
    fleet, cut_from
):
    # Guards against a view of before that counts as the only version.
    entry = fleet.entries[2]
    Cut(fleet, entry, **{cut_from: True})
    streams = await release(fleet)
    await asyncio.sleep(0.7)  # for the store to have them
    assert await take_up(streams, entry) >= 0.9 * STREAMS


@pytest.mark.parametrize("heals", [False, True], ids=["cut", "healed"])
async def test_an_entry_that_is_cut_off_joins_no_streams(fleet, heals):
    # Guards against the first moments after a cut, when take-ups come
    # before any news.
    entry = fleet.entries[2]
    cut = Cut(fleet, entry, store=True, peers=True)
    streams = await release(fleet)
    if heals:
        cut.heal()
    await take_up(streams, entry)


async def test_an_entry_with_a_peer_that_is_cut_off_too_joins_none(fleet):
    # Guards against the answer of a peer whose view is as old.
    entry, bulk = fleet.entries[2], fleet.bulks[0]
    Cut(fleet, entry, bulk, store=True, peers=True)
    streams = await release(fleet)
    await take_up(streams, entry)


@pytest.mark.parametrize("lifetime_ms", [6_000])
async def test_a_version_that_came_and_went_during_a_cut_counts(fleet):
    # Guards against a history with a gap that counts as complete.
    entry = fleet.entries[2]
    gaps = entry.samplers.history.gaps
    cut = Cut(fleet, entry, store=True, peers=True)
    streams = await release(fleet)
    for service in fleet.services[2:]:
        await fleet.store.remove(f"servers/{service.name}")
    await asyncio.sleep(0.7)  # all streams have been reported
    # Nobody remembers them.
    for daemon in (*fleet.entries, *fleet.bulks):
        daemon.streams.table.begun.clear()
    for key in [k for k in fleet.store.entries if k.startswith("streams/")]:
        await fleet.store.remove(key)
    await asyncio.sleep(serving.MAX_GAP_MS / 1_000)
    cut.heal()
    await asyncio.sleep(0.5)
    assert await take_up(streams, entry) == 0
    assert entry.samplers.history.gaps > gaps
