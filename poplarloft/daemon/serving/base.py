"""Parts shared by both roles: clock, connections, store access, locations."""

import random

from poplarloft.coordination import clients
from poplarloft.coordination import serving
from poplarloft.daemon import machine
from poplarloft.daemon.serving.fleet import leaving_link
from poplarloft.daemon.serving.fleet import member_registry
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft.daemon.serving.fleet import response_notes
from poplarloft.daemon.serving.fleet import upstream_limits
from poplarloft.daemon.serving.store import store_relay
from poplarloft.daemon.serving.store import view
from poplarloft.daemon.serving.streams import stream_link
from poplarloft.daemon.serving.streams import stream_origins
from poplarloft.daemon import tasks
from poplarloft.platform import samplers
from poplarloft.protocol import addresses
from poplarloft.protocol import serving_settings
from poplarloft import state
from poplarloft.transport import http_client
from poplarloft.transport import http_server

__all__ = ["ServingBase"]

FAR_MS = 60.0
NEAR_MS = 2.0
CONNECT_TIMEOUT_MS = 400
# Part of the time within which an upstream that leaves must get no more
# requests.
LAST_USE_SHARE = 0.5
LIVE_SETTINGS = frozenset({"store", "regions", "grace_s", "drain_notice_ms"})


class ServingBase:
    """Base class of the entry and the bulk daemon.

    Attributes
    ----------
    issues_permits : bool
        Whether daemons of the role offer to issue permits.

    Parameters
    ----------
    settings : serving_settings.ServingSettings
        Validated settings.
    """

    issues_permits = False

    def __init__(self, settings: serving_settings.ServingSettings) -> None:
        self.settings = settings
        self.clock = state.MonotonicClock()
        self.wall_clock = state.WallClock()
        self.rng = random.Random()
        self.task_set = tasks.TaskSet()
        self.shares = machine.machine_shares(settings)
        self.client = http_client.HttpClient(CONNECT_TIMEOUT_MS)
        # Calls to the store do not wait for those to upstreams.
        self.upstream_client = http_client.HttpClient(
            CONNECT_TIMEOUT_MS,
            max_connections=self.shares.max_channels,
            notes_channels=True,
        )
        self.store = store_relay.RelayedStore(
            self.client,
            addresses.parse_address(settings.store),
            serving.AccessPathSelector(self.clock, self.rng),
        )
        self.relay = store_relay.CallRelay(
            self.client,
            self.store,
            http_server.share_limits(self.shares.relay),
        )
        self.peers = peer_link.PeerLink(
            self.shares.max_peers, self.shares.peer_receive_bytes
        )
        self.membership = member_registry.MemberRegistry(
            self.store, settings.name, self.wall_clock
        )
        self.membership.listeners.append(self._on_members)
        self.store.on_reached = self.membership.on_reached
        self.limits = upstream_limits.UpstreamLimits(
            settings.name,
            self.peers,
            self.membership,
            None not in (settings.relay_listen, settings.peer_listen),
        )
        self.streams = stream_link.StreamLink(
            settings.name,
            self.peers,
            lambda: self.membership.members,
            self.store,
        )
        self.origins = stream_origins.OriginFinder(
            self.streams, self.membership.list_once
        )
        self.membership.listeners.append(self.streams.on_listed)
        self.regions = settings.region_by_data_centre()

    def apply(self, settings: serving_settings.ServingSettings) -> list[str]:
        """Apply new settings; return changed names that need a restart."""
        before, self.settings = self.settings, settings
        self.store.direct.address = addresses.parse_address(settings.store)
        self.regions = settings.region_by_data_centre()
        return [
            name
            for name in settings.__struct_fields__
            if name not in LIVE_SETTINGS
            and getattr(before, name) != getattr(settings, name)
        ]

    @property
    def last_use_ms(self) -> int:
        """Time for which the last upstreams that leave are used, in ms."""
        return int(LAST_USE_SHARE * self.settings.leaving_bound_ms)

    def make_sampler_client(
        self, sampler_view: view.SamplerView
    ) -> samplers.SamplerClient:
        """Return a client that notes what upstreams say of themselves."""
        leaving = leaving_link.LeavingLink(
            self.settings.name,
            self.peers,
            self.membership,
            sampler_view,
        )
        notes = response_notes.ResponseNotes(self.limits, leaving)
        return samplers.SamplerClient(self.upstream_client, notes)

    def uses(self) -> list[clients.ResourceUse]:
        """Return what clients and other instances take at the moment."""
        relay = self.relay.server.buffers.uses("relay")
        slots = self.upstream_client.slots
        channels = clients.ResourceUse("channels", slots.taken, slots.count)
        return [*relay, channels]

    def close_clients(self) -> None:
        """Close the idle connections to the store and to upstreams."""
        self.client.close()
        self.upstream_client.close()

    async def start_relay(self) -> None:
        """Join the members if `relay_listen` is set."""
        listen = self.settings.relay_listen
        if listen is not None:
            await self.join_members(addresses.parse_address(listen))

    async def join_members(self, listen: state.Address) -> None:
        """Start relaying store calls of peers, and be listed among them."""
        has_peers = self.settings.peer_listen is not None
        record = state.PeerRecord(
            await self.relay.start(listen),
            self._feed_address(),
            self.peers.address if has_peers else None,
            self.issues_permits,
        )
        self.membership.start(record, self.task_set)

    def _feed_address(self) -> state.Address | None:
        """Return where peers get changes of the store from this daemon."""
        return None

    def _on_members(self) -> None:
        """Use the addresses of the members that were listed."""
        members = self.membership.members
        self.store.update_peers(
            {
                name: member.relay
                for name, member in members.items()
                if name != self.settings.name
            }
        )

    def make_balancer(self) -> serving.LeastExpectedTime:
        """Return a balancer that accounts for network round trips."""
        return serving.LeastExpectedTime(
            self.clock, self.rng, self.round_trip_ms
        )

    def is_near(self, data_centre: str) -> bool:
        """Return whether a data centre is in this daemon's region."""
        return self.regions.get(data_centre) == self.settings.region

    def round_trip_ms(self, data_centre: str) -> float:
        """Return the assumed round-trip time to a data centre."""
        if data_centre == self.settings.data_centre:
            return 0.0
        return NEAR_MS if self.is_near(data_centre) else FAR_MS
