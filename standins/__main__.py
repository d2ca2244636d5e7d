"""Runs one stand-in as a process: ``python -m standins KIND ...``.

The first line of output is the address, as JSON.
"""

import argparse
import asyncio
import dataclasses
import json
import random
import signal

from poplarloft.protocol import addresses
from poplarloft.protocol import platform
from poplarloft import state
from poplarloft.transport import http_client
from standins import engine
from standins import instance_list
from standins import key_value
from standins import plain
from standins import proxy
from standins import scorer
from standins import weight_store

KINDS = (
    "engine",
    "instance-list",
    "key-value",
    "plain",
    "proxy",
    "scorer",
    "weight-store",
)


def parse_arguments() -> argparse.Namespace:
    """Return the parsed flags."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--name", default="upstream-0")
    parser.add_argument("--incarnation", type=int, default=1)
    parser.add_argument("--service", default="service")
    parser.add_argument("--region", default="norte")
    parser.add_argument("--data-centre", default="norte-a")
    parser.add_argument("--instance-list", default=None)
    parser.add_argument("--upstream", default=None)
    parser.add_argument("--work-ms", type=float, default=2.0)
    parser.add_argument("--lag-ms", type=int, default=200)
    return parser.parse_args()


def upstream_of(arguments: argparse.Namespace) -> state.Upstream:
    """Return the entry of an upstream without its address."""
    kind = state.UpstreamKind(arguments.kind)
    return state.Upstream(
        arguments.name,
        arguments.incarnation,
        arguments.service,
        kind,
        addresses.parse_address(arguments.listen),
        state.Location(arguments.region, arguments.data_centre),
    )


async def run(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    listen = addresses.parse_address(arguments.listen)
    lines = await _start(arguments, listen)
    for line in lines:
        print(json.dumps(line), flush=True)
    await stop.wait()


async def _start(
    arguments: argparse.Namespace, listen: state.Address
) -> list[str]:
    """Start the stand-in; return its addresses."""
    rng = random.Random(arguments.seed)
    match arguments.kind:
        case "proxy":
            link = proxy.FaultProxy(
                addresses.parse_address(arguments.upstream)
            )
            await link.start(listen)
            control = proxy.ProxyControl(link)
            await control.start()
            return [str(link.address), str(control.address)]
        case "key-value":
            store = key_value.KeyValueServer(rng)
            await store.start(listen)
            return [str(store.address)]
        case "instance-list":
            listing = instance_list.InstanceListServer(rng, arguments.lag_ms)
            await listing.start(listen)
            return [str(listing.address)]
        case "weight-store":
            weights = weight_store.WeightStoreServer(rng)
            await weights.start(listen)
            return [str(weights.address)]
    return [await _start_upstream(arguments, listen, rng)]


async def _start_upstream(
    arguments: argparse.Namespace, listen: state.Address, rng: random.Random
) -> str:
    upstream = upstream_of(arguments)
    started: engine.EngineServer | plain.PlainServer | scorer.ScorerServer
    match upstream.kind:
        case state.UpstreamKind.ENGINE:
            started = engine.EngineServer(upstream, rng)
        case state.UpstreamKind.PLAIN:
            started = plain.PlainServer(upstream, rng, arguments.work_ms)
        case state.UpstreamKind.SCORER:
            started = scorer.ScorerServer(upstream, rng, arguments.work_ms)
    await started.start(listen)
    started.upstream = dataclasses.replace(upstream, address=started.address)
    if arguments.instance_list:
        await _register(arguments.instance_list, started.upstream)
    return str(started.address)


async def _register(listing: str, upstream: state.Upstream) -> None:
    client = http_client.HttpClient()
    await client.send(
        addresses.parse_address(listing),
        "POST",
        "/v1/instances",
        body=platform.encode_instances((upstream,)),
    )


if __name__ == "__main__":
    asyncio.run(run(parse_arguments()))
