"""Run seeds of the soak: ``python -m poplarloft_soak --seeds 1-5``."""

import argparse
import asyncio
import collections
import json
import pathlib
import sys
import tempfile

from poplarloft_soak import checks
from poplarloft_soak import clients
from poplarloft_soak import faults
from poplarloft_soak import world as worlds

__all__ = ["main", "run_seed"]

START_DELAY_S = 4.0
RECOVERY_S = 8.0
FAULT_FREE_S = 4.0
CALLERS = 4
TRAINERS = 2
STREAM_CLIENTS = 2


async def run_seed(
    seed: int, seconds: float, entries: int, folder: pathlib.Path
) -> dict[str, object]:
    """Run the faults of one seed against a new world; return its report."""
    world = worlds.World(folder, entries=entries)
    callers = clients.Callers(world, seed)
    plan = faults.FaultPlan(world, seed)
    loop = asyncio.get_running_loop()
    tasks: list[asyncio.Task[None]] = []
    try:
        await world.start()
        await asyncio.sleep(START_DELAY_S)
        for number in range(CALLERS):
            tasks.append(loop.create_task(callers.send_calls(number)))
        tasks.append(loop.create_task(callers.send_poison()))
        for number in range(STREAM_CLIENTS):
            tasks.append(loop.create_task(callers.run_streams(number)))
        for number in range(TRAINERS):
            tasks.append(loop.create_task(callers.run_lots(number)))
        await plan.run(seconds)
        await asyncio.sleep(RECOVERY_S)
        healed_at_s = loop.time()
        await asyncio.sleep(FAULT_FREE_S)
        callers.is_stopping = True
        await asyncio.wait(tasks, timeout=FAULT_FREE_S)
        violations = checks.find_violations(
            world, callers, healed_at_s, plan.injected
        )
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await world.stop()
        callers.client.close()
    statuses = collections.Counter(call.status for call in callers.calls)
    complete = sum(bool(lot.reread) for lot in callers.lots)
    return {
        "seed": seed,
        "violations": violations,
        "faults": dict(collections.Counter(k for _, k in plan.injected)),
        "calls": {str(key): n for key, n in sorted(statuses.items())},
        "lots": len(callers.lots),
        "lots_whole": complete,
        "streams": len(callers.streams),
        "streams_whole": sum(
            len(s.events) == clients.STREAM_EVENTS for s in callers.streams
        ),
        "crashes": sum(len(s.crashes) for s in world.services),
        "logs": str(folder),
    }


def main() -> int:
    """Run the seeds given on the command line; return 1 on any violation."""
    parser = argparse.ArgumentParser(prog="poplarloft_soak")
    parser.add_argument("--seeds", default="1", help="SEED or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--folder", type=pathlib.Path, default=None)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        base = arguments.folder or pathlib.Path(tempfile.mkdtemp())
        folder = base / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(
            run_seed(seed, arguments.seconds, arguments.entries, folder)
        )
        print(json.dumps(report), flush=True)
        failed += bool(report["violations"])
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
