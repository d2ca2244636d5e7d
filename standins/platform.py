"""A whole small platform in one process, with daemons before it."""

import dataclasses
import hashlib
import random

from poplarloft.daemon import node
from poplarloft.protocol import documents
from poplarloft.protocol import settings
from poplarloft import state
from standins import engine
from standins import instance_list
from standins import key_value
from standins import plain
from standins import scorer
from standins import weight_store

__all__ = [
    "OWNERS",
    "PLACES",
    "SmallPlatform",
    "caller_token",
    "operator_token",
    "owner_document",
]

OWNERS = ("red-peritos", "asociacion")
PLACES = (
    state.Location("norte", "norte-a"),
    state.Location("centro", "centro-a"),
    state.Location("sur", "sur-a"),
)
ENGINE_SERVICE = "modelo-pool"
PLAIN_SERVICE = "directorio-app"
SCORER_SERVICE = "scorer"
LOCALHOST = "127.0.0.1"


def caller_token(owner: str) -> str:
    """Return the token of an owner's callers."""
    return f"{owner}-caller"


def operator_token(owner: str) -> str:
    """Return the token of an owner's operators."""
    return f"{owner}-operator"


def owner_document(owner: str, share: float = 0.5) -> state.Document:
    """Return the document of an owner with the stand-ins' tokens."""
    body = state.OwnerBody(
        share,
        10_000.0,
        (hashlib.sha256(caller_token(owner).encode()).hexdigest(),),
        (hashlib.sha256(operator_token(owner).encode()).hexdigest(),),
    )
    return state.Document(state.DocumentKind.OWNER, owner, owner, body)


class SmallPlatform:
    """Key-value service, instance list, weight store and upstreams.

    Parameters
    ----------
    seed : int
        Seeds all randomness.
    list_lag_ms : int
        Lag of the instance list.
    """

    def __init__(self, seed: int = 0, list_lag_ms: int = 200) -> None:
        self.rng = random.Random(seed)
        self.key_value = key_value.KeyValueServer(self.rng)
        self.instances = instance_list.InstanceListServer(
            self.rng, list_lag_ms
        )
        self.weights = weight_store.WeightStoreServer(self.rng)
        self.engines: list[engine.EngineServer] = []
        self.plains: list[plain.PlainServer] = []
        self.scorers: list[scorer.ScorerServer] = []
        self.nodes: list[node.Node] = []

    async def start(
        self, engines: int = 6, plains: int = 3, scorers: int = 1
    ) -> None:
        """Start all stand-ins, spread over the data centres."""
        await self.key_value.start()
        await self.instances.start()
        await self.weights.start()
        for number in range(engines):
            await self._add_engine(number)
        for number in range(plains):
            await self._add_plain(number)
        for number in range(scorers):
            await self._add_scorer(number)
        self.instances.publish_now()

    def put_in_force(self, *parts: state.Document) -> None:
        """Write a first configuration past the operators' interface."""
        head = state.Configuration(revision=1, documents=parts)
        table = self.key_value.table
        version = table.get(documents.HEAD_KEY).version
        table.compare_and_swap(
            documents.HEAD_KEY, documents.encode_head(head), version
        )

    def settings(
        self, name: str, location: state.Location, **changes: object
    ) -> settings.DaemonSettings:
        """Return a daemon's settings that lead to these stand-ins."""
        values: dict[str, object] = {
            "name": name,
            "region": location.region,
            "data_centre": location.data_centre,
            "listen": f"{LOCALHOST}:0",
            "key_value": str(self.key_value.address),
            "instance_list": str(self.instances.address),
            "poll_interval_ms": 100,
            "drain_notice_ms": 100,
            "seeds": [
                str(running.fleet.membership.own_record.peer_address)
                for running in self.nodes[:2]
                if running.fleet is not None
            ],
        }
        return settings.DaemonSettings.model_validate({**values, **changes})

    async def start_node(
        self, name: str, location: state.Location, **changes: object
    ) -> node.Node:
        """Start a daemon in this process."""
        started = node.Node(
            self.settings(name, location, **changes),
            random.Random(self.rng.getrandbits(32)),
        )
        await started.start()
        self.nodes.append(started)
        return started

    async def stop(self) -> None:
        """Stop everything that still runs."""
        for running in self.nodes:
            await running.kill()
        stand_ins = [
            *self.engines,
            *self.plains,
            *self.scorers,
            self.key_value,
            self.instances,
            self.weights,
        ]
        for stand_in in stand_ins:
            await stand_in.stop()

    def _upstream(
        self, name: str, service: str, kind: state.UpstreamKind, number: int
    ) -> state.Upstream:
        return state.Upstream(
            name,
            1,
            service,
            kind,
            state.Address(LOCALHOST, 0),
            PLACES[number % len(PLACES)],
            honours_fence=number % 2 == 0,
        )

    async def _add_engine(self, number: int) -> None:
        upstream = self._upstream(
            f"engine-{number}",
            ENGINE_SERVICE,
            state.UpstreamKind.ENGINE,
            number,
        )
        started = engine.EngineServer(
            upstream,
            random.Random(self.rng.getrandbits(32)),
            weight_store=self.weights.address,
        )
        started.on_restart = self.instances.put
        await self._register(started)
        self.engines.append(started)

    async def _add_plain(self, number: int) -> None:
        upstream = self._upstream(
            f"plain-{number}", PLAIN_SERVICE, state.UpstreamKind.PLAIN, number
        )
        started = plain.PlainServer(upstream)
        await self._register(started)
        self.plains.append(started)

    async def _add_scorer(self, number: int) -> None:
        upstream = self._upstream(
            f"scorer-{number}",
            SCORER_SERVICE,
            state.UpstreamKind.SCORER,
            number,
        )
        started = scorer.ScorerServer(upstream)
        await self._register(started)
        self.scorers.append(started)

    async def _register(
        self,
        stand_in: engine.EngineServer
        | plain.PlainServer
        | scorer.ScorerServer,
    ) -> None:
        await stand_in.start()
        stand_in.upstream = dataclasses.replace(
            stand_in.upstream, address=stand_in.address
        )
        self.instances.put(stand_in.upstream)
