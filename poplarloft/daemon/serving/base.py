"""What daemons of both duties have: clock, connections, store, places."""

import random

from poplarloft.coordination import serving
from poplarloft.daemon.serving import peer_link
from poplarloft.daemon.serving import relaying
from poplarloft.daemon import tasks
from poplarloft.protocol import addresses
from poplarloft.protocol import serving_settings
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["ServingBase"]

FAR_MS = 60.0
NEAR_MS = 2.0
CONNECT_TIMEOUT_MS = 400
LIVE_SETTINGS = frozenset({"store", "regions", "grace_s", "drain_notice_ms"})


class ServingBase:
    """One daemon's means, whatever its duty.

    Parameters
    ----------
    settings : serving_settings.ServingSettings
        Validated settings.
    """

    def __init__(self, settings: serving_settings.ServingSettings) -> None:
        self.settings = settings
        self.clock = state.MonotonicClock()
        self.wall_clock = state.WallClock()
        self.rng = random.Random()
        self.task_set = tasks.TaskSet()
        self.client = http_client.HttpClient(CONNECT_TIMEOUT_MS)
        self.store = relaying.RelayedStore(
            self.client,
            addresses.parse_address(settings.store),
            serving.AccessPathSelector(self.clock, self.rng),
        )
        self.relay = relaying.CallRelay(self.client, self.store, settings.name)
        self.peers = peer_link.PeerLink()
        self.regions = settings.region_of()

    def apply(self, settings: serving_settings.ServingSettings) -> list[str]:
        """Take new settings; return the names that need a restart."""
        before, self.settings = self.settings, settings
        self.store.direct.address = addresses.parse_address(settings.store)
        self.regions = settings.region_of()
        return [
            name
            for name in type(settings).model_fields
            if name not in LIVE_SETTINGS
            and getattr(before, name) != getattr(settings, name)
        ]

    async def start_relay(self) -> None:
        """Begin to carry store calls of other daemons, if it is set."""
        if self.settings.relay_listen is not None:
            await self.relay.start(
                addresses.parse_address(self.settings.relay_listen),
                self.task_set,
            )

    def make_balancer(self) -> serving.LeastExpectedTime:
        """Return a balancer that knows how far upstreams are."""
        return serving.LeastExpectedTime(self.clock, self.rng, self.network_ms)

    def is_near(self, data_centre: str) -> bool:
        """Tell whether a data centre is in this region."""
        return self.regions.get(data_centre) == self.settings.region

    def network_ms(self, data_centre: str) -> float:
        """Return the time to a data centre and back."""
        if data_centre == self.settings.data_centre:
            return 0.0
        return NEAR_MS if self.is_near(data_centre) else FAR_MS
