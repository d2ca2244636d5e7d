"""The leader orders engines where the configuration has prices for them."""

import json

import pytest

from standins import infrastructure
from tests import serving_fleet

PRICES = {"z": 1.0, "y": 2.0}
MOST = 16


def configuration(version, scaling):
    document = json.loads(serving_fleet.configuration(version))
    pool = next(s for s in document["services"] if s["name"] == "pool")
    if scaling is not None:
        pool["scaling"] = scaling
    return json.dumps(document).encode()


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet(services=2, engines=2)
    made.infrastructure = infrastructure.InfrastructureStandin()
    made.extra = [f"--infrastructure={await made.infrastructure.start()}"]
    await made.start()
    yield made
    await made.stop()
    await made.infrastructure.stop()


async def scale(fleet, **changes):
    scaling = {
        "min": 1,
        "max": 4,
        "boot_s": 1,
        "spot_price": 0.2,
        "zone_prices": PRICES,
        **changes,
    }
    await fleet.store.put("op/config", configuration(2, scaling))


async def steps(fleet, count):
    for number in range(count):
        body = serving_fleet.lot_body(8, events=40)
        assert await fleet.submit(f"lot-{number}", body) == 202
        await fleet.read_all(f"lot-{number}")
        await fleet.call("DELETE", f"/poplarloft/lots/lot-{number}")


async def test_engines_are_ordered_once_demand_is_known(fleet):
    # At a need of all engines that there may be, none would be reclaimable.
    await scale(fleet, max=MOST)
    await steps(fleet, 8)
    orders = fleet.infrastructure.bodies
    await serving_fleet.eventually(
        lambda: any(body.get("spot") for body in orders("/scale"))
    )
    for body in orders("/scale"):
        assert body["service"] == "pool"
        assert body["zone"] in PRICES
        assert 0 <= body["group_count"] <= MOST


async def test_nothing_is_ordered_without_prices(fleet):
    await steps(fleet, 8)
    assert not fleet.infrastructure.calls


async def test_contradictory_bounds_keep_the_last_good_configuration(fleet):
    await scale(fleet, min=5)
    await fleet.store.put("op/x", b"")
    await steps(fleet, 8)
    assert not fleet.infrastructure.calls
    assert fleet.bulks[0].views.operator.configuration.version == 1
