"""Measure memory and processor time of idle daemons, as real processes.

Starts a key-value service, an instance list and daemons that gossip with
each other, and stops all of them at the end.
"""

import asyncio
import pathlib
import re
import subprocess
import sys
import typing

from standins import platform

__all__ = ["run"]

DAEMONS = 8
SMALL_DAEMONS = 2
STARTUP_S = 2
MEASURE_S = 10
SMALL_MEASURE_S = 1
CLOCK_TICKS_PER_S = 100


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return the report: one row per daemon, and the key-value call rate."""
    return asyncio.run(_run(seed, small))


async def _run(seed: int, small: bool) -> dict[str, typing.Any]:
    small_platform = platform.SmallPlatform(seed)
    await small_platform.start(engines=5, plains=3, scorers=0)
    small_platform.put_in_force(
        *(platform.owner_document(o) for o in platform.OWNERS)
    )
    daemons: list[subprocess.Popen[bytes]] = []
    measure_s = SMALL_MEASURE_S if small else MEASURE_S
    try:
        for number in range(SMALL_DAEMONS if small else DAEMONS):
            daemons.append(_start(small_platform, number))
        await asyncio.sleep(STARTUP_S)
        before = [_cpu_time_s(d.pid) for d in daemons]
        calls_before = small_platform.key_value.calls
        await asyncio.sleep(measure_s)
        rows = [
            {
                "resident_mb": round(_resident_mb(d.pid), 1),
                "core_percent": round(
                    100 * (_cpu_time_s(d.pid) - before_s) / measure_s, 2
                ),
            }
            for d, before_s in zip(daemons, before, strict=True)
        ]
        calls_made = small_platform.key_value.calls - calls_before
    finally:
        for daemon in daemons:
            daemon.terminate()
        for daemon in daemons:
            daemon.wait()
        await small_platform.stop()
    return {
        "experiment": "idle",
        "seed": seed,
        "key_value_calls_per_s": round(calls_made / measure_s, 2),
        "daemons": rows,
    }


def _start(
    small_platform: platform.SmallPlatform, number: int
) -> "subprocess.Popen[bytes]":
    """Start a daemon process; the first one is the gossip seed of all."""
    port = 20_000 + number
    arguments = {
        "--name": f"entry-{number}",
        "--region": "norte",
        "--data-centre": "norte-a",
        "--listen": "127.0.0.1:0",
        "--peer-listen": f"127.0.0.1:{port}",
        "--seeds": "127.0.0.1:20000",
        "--key-value": str(small_platform.key_value.address),
        "--instance-list": str(small_platform.instances.address),
    }
    command_line = [part for pair in arguments.items() for part in pair]
    print(f"starting entry-{number}", file=sys.stderr)
    return subprocess.Popen(
        [sys.executable, "-m", "poplarloft.daemon", *command_line],
        stdout=subprocess.DEVNULL,
    )


def _cpu_time_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S


def _resident_mb(pid: int) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / 1_024
