"""A rollout route moves to another service; where do its items run?"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

PREFIX = "/pule252/"
ITEMS = 48
OLD, NEW = "pool-a", "pool-b"


def routes(service):
    """Return the routes of a configuration."""
    more = {"due_ms": 7_500, "item_ttl_s": 40}
    return [harness.route("rollout", PREFIX, "rollout", service, **more)]


async def main(world):
    """Move the route, and submit a batch job after `config_ms`."""
    record, store = world.record, world.store
    for number in range(3):
        models = {harness.MODEL: 1}
        engine = world.sampler(f"a-{number}", OLD, models=models)
        await engine.boot_up()
    await world.configure(1, routes(OLD), [harness.pool(OLD)])
    entry = world.daemon("front-norte-a-1", "entry")
    world.daemon("store-norte-a-1", "bulk")
    world.daemon("store-norte-a-2", "bulk")
    for daemon in world.daemons:
        daemon.start()
    await world.wait_ready()
    await world.wait_leader()
    await asyncio.sleep(harness.STABLE_S)

    body = harness.batch_job(PREFIX, "before", ITEMS)
    if await harness.submit(record, entry.port, PREFIX, "before", body) != 202:
        return harness.NOT_RUN
    total, results = await harness.read_results(
        record, entry.port, "before", 20
    )
    if total != ITEMS or len(results) != ITEMS:
        return harness.NOT_RUN

    if harness.TROUBLE:
        # Samplers of a second service are added; then the route moves.
        for number in range(3):
            models = {harness.MODEL: 1}
            engine = world.sampler(f"b-{number}", NEW, models=models)
            await engine.boot_up()
        await asyncio.sleep(3)
        services = [harness.pool(OLD), harness.pool(NEW)]
        await world.configure(2, routes(NEW), services)
    confirmed_s = harness.now()
    await asyncio.sleep(harness.CONFIG_S + 4)

    submitted_s = harness.now()
    body = harness.batch_job(PREFIX, "after", ITEMS)
    if await harness.submit(record, entry.port, PREFIX, "after", body) != 202:
        return harness.NOT_RUN
    await harness.read_results(record, entry.port, "after", 20)
    runs = [
        row
        for sampler in world.samplers
        for row in sampler.runs
        if row["id"].startswith("after-")
    ]
    allowed = NEW if harness.TROUBLE else OLD
    wrong = [row for row in runs if row["service"] != allowed]
    summary = (
        f"batch job sent {submitted_s - confirmed_s:.1f} s after the "
        f"confirmation; {len(runs)} runs of its {ITEMS} items, "
        f"{len(wrong)} of them by a service other than {allowed}"
    )
    record.write(summary)
    print(summary)
    if not runs or store.value("op/config") is None:
        return harness.NOT_RUN
    return harness.BROKEN if wrong else harness.HELD


if __name__ == "__main__":
    harness.run(main, FOLDER)
